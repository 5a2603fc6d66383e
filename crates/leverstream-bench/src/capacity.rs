//! Slopes.

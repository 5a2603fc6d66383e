use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// Whether the request that an answer belongs to ran.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// not-run
    NotRun,
    /// unknown
    Unknown,
    /// ran
    Ran,
}

/// What the caller may do after an error.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Next {
    /// retry with the same ticket and key
    RetrySame,
    /// ask again where to connect and start anew
    AskAgain,
    /// correct the request
    Correct,
    /// find out from the service itself whether the request ran
    Check,
}

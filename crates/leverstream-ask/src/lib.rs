//! What callers and leverstream say to each other besides plain HTTP.
//!
//! The answer to where to connect, and the headers of requests and answers. The headers of errors
//! are in `leverstream-error`.

mod answer;

pub use answer::{ConnectAddress, ConnectAnswer};

/// Names the service that a request is for; without it the host name does.
pub const SERVICE_HEADER: &str = "leverstream-service";

/// The time left to answer a request, in milliseconds.
pub const DEADLINE_HEADER: &str = "leverstream-deadline-ms";

/// The header that carries a request's ticket.
pub const TICKET_HEADER: &str = "leverstream-ticket";

/// The header that names one piece of work under a ticket.
pub const KEY_HEADER: &str = "idempotency-key";

/// Marks an answer that was kept from an earlier arrival of the same work.
pub const REPLAYED_HEADER: &str = "leverstream-replayed";

//! The protocol between callers and leverstream on top of HTTP: the connect answer and the headers of requests and
//! answers. The headers of errors are in `leverstream-error`.

mod answer;

pub use answer::{ConnectAddress, ConnectAnswer};

/// The header with the service of a request; without it, the host name selects the service.
pub const SERVICE_HEADER: &str = "leverstream-service";

/// The header with the time left to answer a request, in milliseconds.
pub const DEADLINE_HEADER: &str = "leverstream-deadline-ms";

/// The header with the ticket of a request.
pub const TICKET_HEADER: &str = "leverstream-ticket";

/// The header with the idempotency key, which identifies a request under its ticket.
pub const KEY_HEADER: &str = "idempotency-key";

/// The header that marks an answer stored from an earlier try of the same request.
pub const REPLAYED_HEADER: &str = "leverstream-replayed";

//! The outcomes of requests and health checks.

/// The outcome of a request to a backend server, as evidence of the backend server's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A complete answer that shows no fault.
    Good,
    /// An answer that shows a fault of the backend server, or an incomplete answer.
    Failed,
    /// The connection was refused or could not be opened.
    ConnectFailed,
    /// No evidence: the caller disconnected, or the backend server shed the request.
    NoEvidence,
}

/// The result of a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Probe {
    /// The answer was good.
    Good,
    /// The answer was bad, or came too late.
    Bad,
    /// The connection was refused. A health check cannot misreport this.
    Refused,
}

/// How a piece of real work ended, as far as it tells of the backend server's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    /// A whole answer that does not tell of a fault.
    Good,
    /// An answer that tells of a fault of the backend server, or a broken one.
    Failed,
    /// The connection was refused or could not be opened.
    ConnectFailed,
    /// Nothing can be learned: the caller went away, or the work was shed.
    Nothing,
}

/// How a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Probe {
    /// It was answered well.
    Good,
    /// It was answered badly, or not in time.
    Bad,
    /// The connection was refused, which no check can misreport.
    Refused,
}

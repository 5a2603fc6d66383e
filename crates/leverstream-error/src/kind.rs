use displaydoc::Display;

use crate::{Next, Outcome};

/// The kind of an error that leverstream returns.
///
/// The list is closed: every error is mapped to one of these kinds.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Kind {
    /// bad-request
    BadRequest,
    /// service-unknown
    ServiceUnknown,
    /// route-unknown
    RouteUnknown,
    /// service-elsewhere
    ServiceElsewhere,
    /// body-too-large
    BodyTooLarge,
    /// rate-limited
    RateLimited,
    /// queue-full
    QueueFull,
    /// deadline-passed
    DeadlinePassed,
    /// no-slot-in-time
    NoSlot,
    /// no-backend-server
    NoBackend,
    /// connect-failed
    ConnectFailed,
    /// shed
    Shed,
    /// stopping
    Stopping,
    /// no-catalog
    NoCatalog,
    /// ticket-missing
    TicketMissing,
    /// ticket-invalid
    TicketInvalid,
    /// ticket-expired
    TicketExpired,
    /// key-reused
    KeyReused,
    /// answer-store-full
    StoreFull,
    /// home-gone
    HomeGone,
    /// home-unreachable
    HomeUnreachable,
    /// relay-loop
    RelayLoop,
    /// send-failed
    SendFailed,
    /// answer-timeout
    AnswerTimeout,
    /// answer-cut
    AnswerCut,
    /// answer-invalid
    AnswerInvalid,
    /// answer-dropped
    AnswerDropped,
    /// unauthorized
    Unauthorized,
    /// keys-unsure
    KeysUnsure,
    /// allotment-unsure
    AllotmentUnsure,
    /// cell-unknown
    CellUnknown,
    /// edit-conflict
    EditConflict,
    /// edit-invalid
    EditInvalid,
    /// edit-unknown
    EditUnknown,
    /// platform-away
    PlatformAway,
    /// ends-backend-servers
    EndsBackends,
    /// backend-servers-hold-off
    BackendsHoldOff,
    /// memory-short
    MemoryShort,
    /// head-too-large
    HeadTooLarge,
    /// head-timeout
    HeadTimeout,
}

/// The answer for a [`Kind`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The HTTP status code.
    pub status: u16,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// What the caller may do next.
    pub next: Next,
    /// The delay before the caller may retry, in milliseconds, if a retry can help.
    pub retry_after_ms: Option<u32>,
}

impl Kind {
    /// Every kind, in order of declaration.
    pub const ALL: [Kind; 40] = [
        Kind::BadRequest,
        Kind::ServiceUnknown,
        Kind::RouteUnknown,
        Kind::ServiceElsewhere,
        Kind::BodyTooLarge,
        Kind::RateLimited,
        Kind::QueueFull,
        Kind::DeadlinePassed,
        Kind::NoSlot,
        Kind::NoBackend,
        Kind::ConnectFailed,
        Kind::Shed,
        Kind::Stopping,
        Kind::NoCatalog,
        Kind::TicketMissing,
        Kind::TicketInvalid,
        Kind::TicketExpired,
        Kind::KeyReused,
        Kind::StoreFull,
        Kind::HomeGone,
        Kind::HomeUnreachable,
        Kind::RelayLoop,
        Kind::SendFailed,
        Kind::AnswerTimeout,
        Kind::AnswerCut,
        Kind::AnswerInvalid,
        Kind::AnswerDropped,
        Kind::Unauthorized,
        Kind::KeysUnsure,
        Kind::AllotmentUnsure,
        Kind::CellUnknown,
        Kind::EditConflict,
        Kind::EditInvalid,
        Kind::EditUnknown,
        Kind::PlatformAway,
        Kind::EndsBackends,
        Kind::BackendsHoldOff,
        Kind::MemoryShort,
        Kind::HeadTooLarge,
        Kind::HeadTimeout,
    ];

    /// Returns the answer for this kind.
    pub fn answer(self) -> Answer {
        use Next::{AskAgain, Check, Correct, RetrySame};
        use Outcome::{NotRun, Ran, Unknown};
        let (status, outcome, next, retry_after_ms) = match self {
            Kind::BadRequest => (400, NotRun, Correct, None),
            Kind::ServiceUnknown | Kind::RouteUnknown => (404, NotRun, Correct, None),
            Kind::ServiceElsewhere => (421, NotRun, AskAgain, None),
            Kind::BodyTooLarge => (413, NotRun, Correct, None),
            Kind::RateLimited => (429, NotRun, RetrySame, Some(1_000)),
            Kind::QueueFull => (503, NotRun, RetrySame, Some(250)),
            Kind::DeadlinePassed => (504, NotRun, RetrySame, Some(250)),
            Kind::NoSlot => (503, NotRun, RetrySame, Some(500)),
            Kind::NoBackend => (503, NotRun, RetrySame, Some(1_000)),
            Kind::ConnectFailed => (503, NotRun, RetrySame, Some(250)),
            Kind::Shed => (503, NotRun, RetrySame, Some(500)),
            Kind::Stopping => (503, NotRun, AskAgain, Some(0)),
            Kind::NoCatalog => (503, NotRun, AskAgain, Some(1_000)),
            Kind::TicketMissing => (428, NotRun, AskAgain, None),
            Kind::TicketInvalid => (403, NotRun, AskAgain, None),
            Kind::TicketExpired => (410, Unknown, Check, None),
            Kind::KeyReused => (422, NotRun, Correct, None),
            Kind::StoreFull => (503, NotRun, AskAgain, Some(1_000)),
            Kind::HomeGone => (502, Unknown, Check, None),
            Kind::HomeUnreachable => (502, Unknown, RetrySame, Some(500)),
            Kind::RelayLoop => (508, NotRun, AskAgain, Some(500)),
            Kind::SendFailed => (502, Unknown, RetrySame, Some(250)),
            Kind::AnswerTimeout => (504, Unknown, RetrySame, Some(250)),
            Kind::AnswerCut => (502, Unknown, RetrySame, Some(250)),
            Kind::AnswerInvalid => (502, Unknown, RetrySame, Some(250)),
            Kind::AnswerDropped => (410, Ran, Check, None),
            Kind::Unauthorized => (401, NotRun, Correct, None),
            Kind::KeysUnsure => (503, NotRun, AskAgain, Some(500)),
            Kind::AllotmentUnsure => (503, NotRun, AskAgain, Some(500)),
            Kind::CellUnknown => (404, NotRun, Correct, None),
            Kind::EditConflict => (409, NotRun, Correct, None),
            Kind::EditInvalid => (422, NotRun, Correct, None),
            Kind::EditUnknown => (504, Unknown, RetrySame, Some(1_000)),
            Kind::PlatformAway => (503, NotRun, RetrySame, Some(1_000)),
            // A request that ends backend servers stays refused until ten minutes pass without a further attempt.
            Kind::EndsBackends => (503, NotRun, Correct, Some(600_000)),
            // This is the default delay: a caller of this function that knows when the first backend server accepts
            // requests again returns that time instead.
            Kind::BackendsHoldOff => (503, NotRun, RetrySame, Some(500)),
            Kind::MemoryShort => (503, NotRun, RetrySame, Some(1_000)),
            Kind::HeadTooLarge => (431, NotRun, Correct, None),
            Kind::HeadTimeout => (408, NotRun, RetrySame, None),
        };
        Answer { status, outcome, next, retry_after_ms }
    }

    /// Finds a kind by its name in the [`KIND_HEADER`](crate::KIND_HEADER).
    pub fn from_name(name: &str) -> Option<Kind> {
        Kind::ALL.into_iter().find(|kind| kind.to_string() == name)
    }

    /// Combines the errors of this attempt and the next attempt of the same request.
    ///
    /// If one attempt may have run, the combined error must not report the request as not run.
    pub fn combined_with(self, next: Kind) -> Kind {
        if next.is_not_run() && !self.is_not_run() { self } else { next }
    }

    /// Returns whether a request that failed with this kind has certainly not run.
    pub fn is_not_run(self) -> bool {
        self.answer().outcome == Outcome::NotRun
    }
}

//! The decisions of a gateway VM: which backend server gets a request, and which VMs accept
//! callers.
//!
//! [`Fleet`] holds the backend servers with their observed state, [`choose`] selects one for a
//! request, and [`choose_entry_vms`] selects the VMs that accept callers. [`Links`] holds which
//! services this VM cannot reach itself, and [`StopPeriod`] decides which requests it accepts during a
//! planned stop. [`judge_answer`] tells what the answer of a backend server says about the request. The crate does no I/O; time and randomness are arguments.

mod demand;
mod entry;
mod fleet;
mod floor;
mod freshness;
mod hedge;
mod latency;
mod links;
mod notices;
mod profile;
mod select;
mod stop;
mod verdict;

pub use demand::Demand;
pub use entry::choose_entry_vms;
pub use fleet::{
    Applied, Availability, BackendReport, Candidates, Coverage, Delta, EmptiedHalls, EntryChange,
    Fleet, IdleBackend, LimitNotice, LimitUpdate, Outcome, Report, RequestOrigin, RouteKey,
    StateCounts, StoreChanges, StoreUpdate,
};
pub use floor::{Floor, assign_claims, used_share};
pub use freshness::{Confirmation, Freshness, ReadTurn};
pub use hedge::{PendingRequest, hedge_gain, is_hedge_worthwhile, next_hedge_check_ms};
pub use latency::LatencyHistogram;
pub use links::{HelperAnswer, Links, RelayTarget};
pub use notices::{AppliedNotices, NoticeSync, Notices};
pub use profile::RouteProfile;
pub use select::{Pick, PickRequest, choose};
pub use stop::{Liveness, StopArrival, StopPeriod};
pub use verdict::{AnswerFacts, AnswerVerdict, judge_answer, promises_not_run};

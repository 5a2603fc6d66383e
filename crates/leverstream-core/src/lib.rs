//! What a gateway VM decides, without I/O: which backend server gets a request, and who takes callers.
//!
//! [`Fleet`] holds the backend servers with what was seen of them, [`choose`] picks one for a request, and
//! [`choose_entry`] says which VMs take callers. Time and chance are arguments.

mod demand;
mod entry;
mod fleet;
mod floor;
mod hedge;
mod profile;
mod select;
mod times;
mod words;

pub use demand::Demand;
pub use entry::choose_entry;
pub use fleet::{
    Applied, Asker, BackendReport, Candidates, Census, Delta, Emptied, Fleet, LimitTold, LimitWord,
    Openness, Outcome, Report, RouteKey,
};
pub use floor::{Floor, claim, used_share};
pub use hedge::{Pending, hedge_gain, hedge_look_ms, is_hedge_worth};
pub use profile::RouteProfile;
pub use select::{Pick, Want, choose};
pub use times::Times;
pub use words::{Words, WordsHeard, WordsTold};

//! Tickets and kept answers: how a request runs at most once without coordination.
//!
//! A [`Ticket`] names the one process that may run the requests made with it, its home. The home's
//! [`TicketIssuer`] makes and checks tickets; its [`Ledger`] knows every request that was begun under a
//! ticket that still holds. An expired ticket is refused, so nothing is ever forgotten too early.

mod issuer;
mod ledger;
mod ticket;

pub use issuer::{TicketError, TicketIssuer};
pub use ledger::{
    BeginOutcome, Ledger, LedgerSettings, Reply, RunGuard, RunKey, StoredResult, Waiter,
};
pub use ticket::{STEM_BYTES, Stem, Ticket};

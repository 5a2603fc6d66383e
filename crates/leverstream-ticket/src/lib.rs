//! Tickets and stored answers, which let a request run at most once without coordination between processes.
//!
//! A [`Ticket`] names its home: the only process that may run the requests sent with it. The home's
//! [`TicketIssuer`] issues and verifies tickets. Its [`Ledger`] records every request begun under a
//! ticket until the ticket expires. Because an expired ticket is rejected, a request whose record
//! was removed cannot run again.

mod issuer;
mod ledger;
mod ticket;

pub use issuer::{TicketError, TicketIssuer};
pub use ledger::{
    BeginOutcome, Ledger, LedgerSettings, Reply, RequestKey, RunGuard, StoredResult, Waiter,
};
pub use ticket::{STEM_BYTES, Stem, Ticket};

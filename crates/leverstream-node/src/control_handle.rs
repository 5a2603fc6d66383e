//! A handle to the control thread for the calls between VMs.

use actix::dev::ToEnvelope;
use actix::{Actor, Addr, Handler, Recipient};

use crate::messages::{
    Compare, Exchange, Fetch, ListMembers, MergeDocs, MergeMembers, OfferVersions,
};

/// The messages that calls to and from other VMs send to the control thread.
///
/// The handle does not expose the control state.
#[derive(Clone)]
pub struct ControlHandle {
    /// Delivers evidence and returns the evidence of this VM.
    pub exchange: Recipient<Exchange>,
    /// Returns the versions that differ.
    pub compare: Recipient<Compare>,
    /// Returns the member list.
    pub members: Recipient<ListMembers>,
    /// Returns documents.
    pub fetch: Recipient<Fetch>,
    /// Merges documents into the table.
    pub merge_docs: Recipient<MergeDocs>,
    /// Offers the versions that another VM has.
    pub offer_versions: Recipient<OfferVersions>,
    /// Merges the member list of another VM.
    pub merge_members: Recipient<MergeMembers>,
}

impl ControlHandle {
    /// Creates a handle to an actor that handles all of these messages.
    pub fn new<A>(actor: &Addr<A>) -> ControlHandle
    where
        A: Actor
            + Handler<Exchange>
            + Handler<Compare>
            + Handler<ListMembers>
            + Handler<Fetch>
            + Handler<MergeDocs>
            + Handler<OfferVersions>
            + Handler<MergeMembers>,
        A::Context: ToEnvelope<A, Exchange>
            + ToEnvelope<A, Compare>
            + ToEnvelope<A, ListMembers>
            + ToEnvelope<A, Fetch>
            + ToEnvelope<A, MergeDocs>
            + ToEnvelope<A, OfferVersions>
            + ToEnvelope<A, MergeMembers>,
    {
        ControlHandle {
            exchange: actor.clone().recipient(),
            compare: actor.clone().recipient(),
            members: actor.clone().recipient(),
            fetch: actor.clone().recipient(),
            merge_docs: actor.clone().recipient(),
            offer_versions: actor.clone().recipient(),
            merge_members: actor.clone().recipient(),
        }
    }
}

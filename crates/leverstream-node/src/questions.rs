use actix::dev::ToEnvelope;
use actix::{Actor, Addr, Handler, Recipient};

use crate::messages::{Adopt, Compare, Exchange, Fetch, ListMembers, MergeMembers, Offered};

/// What calls of and to other VMs ask of the control state and tell it; whoever holds one does not see that
/// state.
#[derive(Clone)]
pub struct Questions {
    /// Takes evidence in and answers with this VM's.
    pub exchange: Recipient<Exchange>,
    /// Answers which versions differ.
    pub compare: Recipient<Compare>,
    /// Answers who is there.
    pub members: Recipient<ListMembers>,
    /// Answers with documents.
    pub fetch: Recipient<Fetch>,
    /// Takes documents in.
    pub adopt: Recipient<Adopt>,
    /// Takes in which versions another VM holds.
    pub offer: Recipient<Offered>,
    /// Takes in who another VM says is there.
    pub merge: Recipient<MergeMembers>,
}

impl Questions {
    /// The questions that an actor answers.
    pub fn to<A>(actor: &Addr<A>) -> Questions
    where
        A: Actor
            + Handler<Exchange>
            + Handler<Compare>
            + Handler<ListMembers>
            + Handler<Fetch>
            + Handler<Adopt>
            + Handler<Offered>
            + Handler<MergeMembers>,
        A::Context: ToEnvelope<A, Exchange>
            + ToEnvelope<A, Compare>
            + ToEnvelope<A, ListMembers>
            + ToEnvelope<A, Fetch>
            + ToEnvelope<A, Adopt>
            + ToEnvelope<A, Offered>
            + ToEnvelope<A, MergeMembers>,
    {
        Questions {
            exchange: actor.clone().recipient(),
            compare: actor.clone().recipient(),
            members: actor.clone().recipient(),
            fetch: actor.clone().recipient(),
            adopt: actor.clone().recipient(),
            offer: actor.clone().recipient(),
            merge: actor.clone().recipient(),
        }
    }
}

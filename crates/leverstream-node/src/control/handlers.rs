//! The messages that the control thread answers.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use actix::{Actor, AsyncContext, Context, Handler, ResponseFuture};
use leverstream_member::{Member, watchers};
use leverstream_peer::{Digest, MemberUpdate, ServiceObject, ServiceVersion};
use leverstream_proxy::Clock;
use leverstream_table::ServiceDoc;

use super::{ALONE_MS, Control, TICK_MS};
use crate::edit;
use crate::messages::{
    Adopt, Compare, Datagram, Duty, Exchange, Fetch, GetDuty, GetHealth, GetStatus, Hints, Leave,
    ListDocs, ListMembers, MakeEdit, MayStop, MergeMembers, Offered, Probed, Repair, ServeService,
    Stored,
};
use crate::reports::{EditReply, Failure, HealthReport, StatusReport};
use crate::survey::{health_report, status};

impl Actor for Control {
    type Context = Context<Control>;

    fn started(&mut self, context: &mut Context<Control>) {
        context.set_mailbox_capacity(4_096);
        self.swim.set_seeds(self.settings.peers.seeds.clone());
        context.run_interval(Duration::from_millis(TICK_MS), Control::tick);
    }
}

impl Handler<Datagram> for Control {
    type Result = ();

    fn handle(&mut self, message: Datagram, context: &mut Context<Control>) {
        let now_ms = self.proxy.now_ms();
        self.peer_heard_ms = Some(now_ms);
        let out = self.swim.receive(message.from, &message.packet, now_ms);
        self.send(out);
        for (from, news) in self.swim.take_received_versions() {
            self.fetch(from, &[news], context);
        }
        for leaving in self.swim.take_leaving() {
            if let Ok(address) = leaving.address.parse() {
                self.take_leaving(address, leaving.marked_s);
            }
        }
    }
}

impl Handler<Adopt> for Control {
    type Result = ();

    fn handle(&mut self, message: Adopt, _: &mut Context<Control>) {
        let now_ms = self.proxy.now_ms();
        self.adopt(message.docs, now_ms);
    }
}

impl Handler<Stored> for Control {
    type Result = Vec<Repair>;

    /// Takes in what the platform holds and returns what it holds in too old a version.
    fn handle(&mut self, message: Stored, _: &mut Context<Control>) -> Vec<Repair> {
        let now_ms = self.proxy.now_ms();
        self.store_heard_ms = Some(now_ms);
        let mut stored: HashMap<String, u64> = HashMap::new();
        let mut repairs = Vec::new();
        let mut docs = Vec::new();
        for (doc, expected) in message.docs {
            stored.insert(doc.service.clone(), expected);
            match self.book.doc(&doc.service) {
                Some(held) if held.version > doc.version => {
                    repairs.push(Repair { doc: held.as_ref().clone(), expected });
                }
                _ => docs.push(doc),
            }
        }
        if message.is_complete {
            let missing =
                self.book.docs().values().filter(|doc| !stored.contains_key(&doc.service));
            repairs.extend(missing.map(|doc| Repair { doc: doc.as_ref().clone(), expected: 0 }));
        }
        self.adopt(docs, now_ms);
        repairs
    }
}

impl Handler<GetDuty> for Control {
    type Result = actix::MessageResult<GetDuty>;

    fn handle(&mut self, _: GetDuty, _: &mut Context<Control>) -> Self::Result {
        let me = &self.swim.me().identity;
        let chosen = watchers(&me.hall, &self.members.list);
        let is_chosen = chosen.iter().any(|member| member.identity.id == me.id);
        let is_alone = self.members.list.len() <= 1;
        // At the start the others are given time to answer; they may have the table already.
        let is_watcher = is_chosen && (!is_alone || self.proxy.now_ms() >= ALONE_MS);
        actix::MessageResult(Duty { is_watcher, is_alone })
    }
}

impl Handler<Hints> for Control {
    type Result = ();

    fn handle(&mut self, mut message: Hints, _: &mut Context<Control>) {
        message.addresses.extend(&self.settings.peers.seeds);
        self.swim.set_seeds(message.addresses);
        let marked_s = Clock::unix_ms() / 1_000;
        for address in message.leaving {
            self.take_leaving(address, marked_s);
        }
    }
}

impl Handler<Exchange> for Control {
    type Result = actix::MessageResult<Exchange>;

    fn handle(&mut self, message: Exchange, _: &mut Context<Control>) -> Self::Result {
        let now_ms = self.proxy.now_ms();
        let reporter = message.digest.reporter;
        for told in &message.digest.services {
            if let Some(service) = self.services.get_mut(&told.service) {
                service.report(reporter, told, now_ms);
            }
        }
        if message.is_answer {
            return actix::MessageResult(Digest::default());
        }
        let shared: HashSet<&str> =
            message.digest.services.iter().map(|part| part.service.as_str()).collect();
        let mut digest = self.digest(now_ms);
        digest.services.retain(|part| shared.contains(part.service.as_str()));
        actix::MessageResult(digest)
    }
}

impl Handler<Compare> for Control {
    type Result = Vec<ServiceVersion>;

    fn handle(&mut self, message: Compare, _: &mut Context<Control>) -> Vec<ServiceVersion> {
        self.book.versions_differing(&message.buckets)
    }
}

impl Handler<Fetch> for Control {
    type Result = Vec<ServiceObject>;

    fn handle(&mut self, message: Fetch, _: &mut Context<Control>) -> Vec<ServiceObject> {
        self.book.objects(&message.services)
    }
}

impl Handler<Offered> for Control {
    type Result = ();

    fn handle(&mut self, message: Offered, context: &mut Context<Control>) {
        if message.versions.is_empty() {
            self.fetching.clear();
        }
        self.fetch(message.from, &message.versions, context);
    }
}

impl Handler<ListMembers> for Control {
    type Result = Vec<MemberUpdate>;

    fn handle(&mut self, _: ListMembers, _: &mut Context<Control>) -> Vec<MemberUpdate> {
        self.swim.members().map(Member::to_update).collect()
    }
}

impl Handler<MergeMembers> for Control {
    type Result = ();

    fn handle(&mut self, message: MergeMembers, _: &mut Context<Control>) {
        let now_ms = self.proxy.now_ms();
        self.swim.merge(&message.members, now_ms);
    }
}

impl Handler<Probed> for Control {
    type Result = ();

    fn handle(&mut self, message: Probed, _: &mut Context<Control>) {
        let now_ms = self.proxy.now_ms();
        let mut services = self.services.values_mut();
        if let Some(service) = services.find(|service| service.key == message.service) {
            service.health.probe(message.backend, message.probe);
            if message.is_draining {
                service.health.drain(message.backend, now_ms);
            }
        }
    }
}

impl Handler<MakeEdit> for Control {
    type Result = ResponseFuture<Result<EditReply, Failure>>;

    fn handle(&mut self, message: MakeEdit, context: &mut Context<Control>) -> Self::Result {
        let service = message.0.changes.first().map(|change| change.cell.service.clone());
        let held = service.and_then(|service| self.book.doc(&service).cloned());
        Box::pin(edit::make(
            self.platform.clone(),
            context.address(),
            self.proxy.clock,
            held,
            message.0,
        ))
    }
}

impl Handler<ListDocs> for Control {
    type Result = Vec<Arc<ServiceDoc>>;

    fn handle(&mut self, message: ListDocs, _: &mut Context<Control>) -> Vec<Arc<ServiceDoc>> {
        let is_wanted = |doc: &&Arc<ServiceDoc>| {
            message.service.as_ref().is_none_or(|service| doc.service == *service)
        };
        let mut docs: Vec<Arc<ServiceDoc>> =
            self.book.docs().values().filter(is_wanted).cloned().collect();
        docs.sort_by(|a, b| a.service.cmp(&b.service));
        docs
    }
}

impl Handler<ServeService> for Control {
    type Result = ();

    fn handle(&mut self, message: ServeService, _: &mut Context<Control>) {
        let now_ms = self.proxy.now_ms();
        self.serve_for_a_while(&message.service, now_ms);
    }
}

impl Handler<GetStatus> for Control {
    type Result = ResponseFuture<StatusReport>;

    fn handle(&mut self, _: GetStatus, _: &mut Context<Control>) -> Self::Result {
        Box::pin(status(self))
    }
}

impl Handler<GetHealth> for Control {
    type Result = Option<HealthReport>;

    fn handle(&mut self, message: GetHealth, _: &mut Context<Control>) -> Option<HealthReport> {
        let service = self.services.get(&message.service)?;
        Some(health_report(service, self.proxy.now_ms()))
    }
}

impl Handler<Leave> for Control {
    type Result = ();

    fn handle(&mut self, _: Leave, _: &mut Context<Control>) {
        let now_ms = self.proxy.now_ms();
        if self.leaving_since_ms.is_some() {
            return;
        }
        log::info!("node: leaves the answers and finishes what is under way.");
        self.leaving_since_ms = Some(now_ms);
        let out = self.swim.leave(now_ms);
        self.send(out);
        self.publish(now_ms);
    }
}

impl Handler<MayStop> for Control {
    type Result = bool;

    fn handle(&mut self, _: MayStop, _: &mut Context<Control>) -> bool {
        let now_ms = self.proxy.now_ms();
        let Some(since_ms) = self.leaving_since_ms else { return false };
        let times = &self.settings.times;
        let has_run_out = now_ms >= since_ms + times.answer_holds_ms + 2 * times.ping_period_ms;
        let is_idle = self.proxy.metrics.in_flight.get() == 0;
        let is_overdue = now_ms >= since_ms + times.stop_limit_ms;
        is_overdue || (has_run_out && is_idle && self.proxy.ledger.is_empty())
    }
}

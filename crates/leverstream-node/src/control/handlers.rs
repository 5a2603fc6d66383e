//! The handlers of the messages to the control thread.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use actix::{Actor, AsyncContext, Context, Handler, ResponseFuture};
use leverstream_member::{Member, watchers};
use leverstream_peer::{Digest, MemberUpdate, ServiceObject, ServiceVersion};
use leverstream_proxy::Clock;
use leverstream_table::ServiceDoc;

use super::{Control, PEER_DISCOVERY_MS, TICK_MS};
use crate::build_reports::{collect_status, health_report};
use crate::edit;
use crate::messages::{
    BeginStop, Compare, Datagram, Duty, Exchange, Fetch, GetDuty, GetHealth, GetStatus, ListDocs,
    ListMembers, MayStop, MergeDocs, MergeMembers, OfferVersions, ProbeResult, Repair,
    ServeService, StoreListing, SubmitEdit, VmList,
};
use crate::reports::{EditReply, ErrorReply, HealthReport, StatusReport};

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
        self.peer_last_heard_ms = Some(now_ms);
        let datagrams = self.swim.receive(message.from, &message.packet, now_ms);
        self.send_datagrams(datagrams);
        for (from, version) in self.swim.take_received_versions() {
            self.fetch_outdated(from, &[version], context);
        }
        for leaving in self.swim.take_leaving() {
            if let Ok(address) = leaving.address.parse() {
                self.record_leaving(address, leaving.marked_s);
            }
        }
    }
}

impl Handler<MergeDocs> for Control {
    type Result = ();

    fn handle(&mut self, message: MergeDocs, _: &mut Context<Control>) {
        let now_ms = self.proxy.now_ms();
        self.merge_docs(message.docs, now_ms);
    }
}

impl Handler<StoreListing> for Control {
    type Result = Vec<Repair>;

    /// Merges documents from the store and returns those that it must write back.
    fn handle(&mut self, message: StoreListing, _: &mut Context<Control>) -> Vec<Repair> {
        let now_ms = self.proxy.now_ms();
        self.store_last_heard_ms = Some(now_ms);
        let mut stored: HashMap<String, u64> = HashMap::new();
        let mut repairs = Vec::new();
        let mut docs = Vec::new();
        for (doc, revision) in message.docs {
            stored.insert(doc.service.clone(), revision);
            match self.replica.doc(&doc.service) {
                Some(newer) if newer.version > doc.version => {
                    repairs
                        .push(Repair { doc: newer.as_ref().clone(), expected_revision: revision });
                }
                _ => docs.push(doc),
            }
        }
        if message.is_complete {
            let missing =
                self.replica.docs().values().filter(|doc| !stored.contains_key(&doc.service));
            repairs.extend(
                missing.map(|doc| Repair { doc: doc.as_ref().clone(), expected_revision: 0 }),
            );
        }
        self.merge_docs(docs, now_ms);
        repairs
    }
}

impl Handler<GetDuty> for Control {
    type Result = actix::MessageResult<GetDuty>;

    fn handle(&mut self, _: GetDuty, _: &mut Context<Control>) -> Self::Result {
        let me = &self.swim.me().identity;
        let chosen = watchers(&me.hall, &self.members.list);
        let is_chosen = chosen.iter().any(|member| member.identity.id == me.id);
        let is_only_member = self.members.list.len() <= 1;
        // Other VMs get time to answer after the start, as they may have the table already.
        let is_watcher = is_chosen && (!is_only_member || self.proxy.now_ms() >= PEER_DISCOVERY_MS);
        actix::MessageResult(Duty { is_watcher, is_only_member })
    }
}

impl Handler<VmList> for Control {
    type Result = ();

    fn handle(&mut self, mut message: VmList, _: &mut Context<Control>) {
        message.peer_addresses.extend(&self.settings.peers.seeds);
        self.swim.set_seeds(message.peer_addresses);
        let marked_s = Clock::unix_ms() / 1_000;
        for address in message.leaving_backends {
            self.record_leaving(address, marked_s);
        }
    }
}

impl Handler<Exchange> for Control {
    type Result = actix::MessageResult<Exchange>;

    fn handle(&mut self, message: Exchange, _: &mut Context<Control>) -> Self::Result {
        let now_ms = self.proxy.now_ms();
        let reporter = message.digest.reporter;
        for reported in &message.digest.services {
            if let Some(service) = self.services.get_mut(&reported.service) {
                service.report(reporter, reported, now_ms);
            }
        }
        if message.is_answer {
            return actix::MessageResult(Digest::default());
        }
        let shared: HashSet<&str> = message
            .digest
            .services
            .iter()
            .map(|service_digest| service_digest.service.as_str())
            .collect();
        let mut digest = self.collect_evidence(now_ms);
        digest.services.retain(|service_digest| shared.contains(service_digest.service.as_str()));
        actix::MessageResult(digest)
    }
}

impl Handler<Compare> for Control {
    type Result = Vec<ServiceVersion>;

    fn handle(&mut self, message: Compare, _: &mut Context<Control>) -> Vec<ServiceVersion> {
        self.replica.versions_differing(&message.buckets)
    }
}

impl Handler<Fetch> for Control {
    type Result = Vec<ServiceObject>;

    fn handle(&mut self, message: Fetch, _: &mut Context<Control>) -> Vec<ServiceObject> {
        self.replica.objects(&message.services)
    }
}

impl Handler<OfferVersions> for Control {
    type Result = ();

    fn handle(&mut self, message: OfferVersions, context: &mut Context<Control>) {
        if message.versions.is_empty() {
            self.fetching.clear();
        }
        self.fetch_outdated(message.from, &message.versions, context);
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

impl Handler<ProbeResult> for Control {
    type Result = ();

    fn handle(&mut self, message: ProbeResult, _: &mut Context<Control>) {
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

impl Handler<SubmitEdit> for Control {
    type Result = ResponseFuture<Result<EditReply, ErrorReply>>;

    fn handle(&mut self, message: SubmitEdit, context: &mut Context<Control>) -> Self::Result {
        let service = message.0.changes.first().map(|change| change.cell.service.clone());
        let local_doc = service.and_then(|service| self.replica.doc(&service).cloned());
        Box::pin(edit::submit(
            self.platform.clone(),
            context.address(),
            self.proxy.clock,
            local_doc,
            message.0,
        ))
    }
}

impl Handler<ListDocs> for Control {
    type Result = Vec<Arc<ServiceDoc>>;

    fn handle(&mut self, message: ListDocs, _: &mut Context<Control>) -> Vec<Arc<ServiceDoc>> {
        let is_requested = |doc: &&Arc<ServiceDoc>| {
            message.service.as_ref().is_none_or(|service| doc.service == *service)
        };
        let mut docs: Vec<Arc<ServiceDoc>> =
            self.replica.docs().values().filter(is_requested).cloned().collect();
        docs.sort_by(|a, b| a.service.cmp(&b.service));
        docs
    }
}

impl Handler<ServeService> for Control {
    type Result = ();

    fn handle(&mut self, message: ServeService, _: &mut Context<Control>) {
        let now_ms = self.proxy.now_ms();
        self.serve_temporarily(&message.service, now_ms);
    }
}

impl Handler<GetStatus> for Control {
    type Result = ResponseFuture<StatusReport>;

    fn handle(&mut self, _: GetStatus, _: &mut Context<Control>) -> Self::Result {
        Box::pin(collect_status(self))
    }
}

impl Handler<GetHealth> for Control {
    type Result = Option<HealthReport>;

    fn handle(&mut self, message: GetHealth, _: &mut Context<Control>) -> Option<HealthReport> {
        let service = self.services.get(&message.service)?;
        Some(health_report(service, self.proxy.now_ms()))
    }
}

impl Handler<BeginStop> for Control {
    type Result = ();

    fn handle(&mut self, _: BeginStop, _: &mut Context<Control>) {
        let now_ms = self.proxy.now_ms();
        if self.stopping_since_ms.is_some() {
            return;
        }
        log::info!("node: leaves the answers and finishes the requests in flight.");
        self.stopping_since_ms = Some(now_ms);
        let datagrams = self.swim.leave(now_ms);
        self.send_datagrams(datagrams);
        self.publish_snapshot(now_ms);
    }
}

impl Handler<MayStop> for Control {
    type Result = bool;

    fn handle(&mut self, _: MayStop, _: &mut Context<Control>) -> bool {
        let now_ms = self.proxy.now_ms();
        let Some(since_ms) = self.stopping_since_ms else { return false };
        let times = &self.settings.times;
        let have_answers_expired =
            now_ms >= since_ms + times.answer_holds_ms + 2 * times.ping_period_ms;
        let is_idle = self.proxy.metrics.in_flight.get() == 0;
        let is_overdue = now_ms >= since_ms + times.stop_limit_ms;
        is_overdue || (have_answers_expired && is_idle && self.proxy.ledger.is_empty())
    }
}

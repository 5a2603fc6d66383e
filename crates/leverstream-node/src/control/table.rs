//! The replica of the table: comparisons with other VMs, new documents and leaving marks.

use std::net::SocketAddr;

use actix::{AsyncContext, Context};
use leverstream_peer::ServiceVersion;
use leverstream_table::ServiceDoc;

use super::Control;
use crate::control_handle::ControlHandle;
use crate::peers;

/// The interval between comparisons of the table with another VM.
const COMPARE_INTERVAL_MS: u64 = 1_000;

/// The interval between comparisons while this process has no table yet.
const EMPTY_TABLE_COMPARE_INTERVAL_MS: u64 = 100;

/// The minimum interval between requests to another VM for its full member list.
const MIN_LIST_MEMBERS_INTERVAL_MS: u64 = 30_000;

/// The interval between requests for the full member list, per known member.
const LIST_MEMBERS_INTERVAL_MS_PER_MEMBER: u64 = 43;

/// How long after its last announcement a leaving mark that still applies is announced again.
///
/// A mark is valid for a minute.
const LEAVING_REANNOUNCE_S: u64 = 30;

/// How long a leaving mark is remembered.
const LEAVING_RETENTION_S: u64 = 300;

impl Control {
    /// Compares the table with another VM and periodically requests a full member list.
    pub(super) fn compare_tables(&mut self, context: &Context<Control>, now_ms: u64) {
        let fingerprint = self.replica.fingerprint();
        let interval_ms =
            if fingerprint == 0 { EMPTY_TABLE_COMPARE_INTERVAL_MS } else { COMPARE_INTERVAL_MS };
        if now_ms.saturating_sub(self.compared_ms) < interval_ms {
            return;
        }
        self.compared_ms = now_ms;
        let differing = self.members.list.iter().find(|member| {
            member.takes_callers() && member.table != 0 && member.table != fingerprint
        });
        let differing = differing.map(|member| member.identity.peer_address);
        if let Some(peer) = differing {
            let buckets = self.replica.buckets().to_vec();
            peers::compare_tables(
                &self.channels,
                peer,
                buckets,
                ControlHandle::new(&context.address()),
            );
        }
        let listed_age_ms = self.listed_ms.map(|listed_ms| now_ms.saturating_sub(listed_ms));
        let list_interval_ms = MIN_LIST_MEMBERS_INTERVAL_MS
            .max(self.members.list.len() as u64 * LIST_MEMBERS_INTERVAL_MS_PER_MEMBER);
        if listed_age_ms.is_none_or(|age_ms| age_ms >= list_interval_ms)
            && let Some(peer) = self.swim.choose_peer()
        {
            self.listed_ms = Some(now_ms);
            peers::list_members(&self.channels, peer, ControlHandle::new(&context.address()));
        }
    }

    /// Merges documents into the table and announces the newer ones to other VMs.
    pub(super) fn merge_docs(&mut self, docs: Vec<ServiceDoc>, now_ms: u64) {
        let mut newer = Vec::new();
        for doc in docs {
            let (service, version) = (doc.service.clone(), doc.version);
            self.fetching.remove(&service);
            if self.replica.merge(doc) {
                log::info!("table: applied version {version} of {service}.");
                newer.push((service, version));
            }
        }
        let datagrams = self.swim.set_table(self.replica.fingerprint());
        self.send_datagrams(datagrams);
        let changed = self.swim.take_changed();
        if !changed.is_empty() {
            self.update_placements(&changed, now_ms);
        }
        for (service, version) in newer {
            if let Some(doc) = self.replica.doc(&service).cloned() {
                self.update_placement(&doc, now_ms);
            }
            let datagrams = self.swim.announce(&service, version);
            self.send_datagrams(datagrams);
        }
        self.publish_snapshot(now_ms);
    }

    /// Records that a backend server is leaving and announces it, unless this was done recently.
    pub(super) fn record_leaving(&mut self, address: SocketAddr, marked_s: u64) {
        let now_ms = self.proxy.now_ms();
        let previous_s = self.leaving.get(&address).copied().unwrap_or(0);
        if marked_s < previous_s + LEAVING_REANNOUNCE_S {
            return;
        }
        log::info!("table: the platform marks the backend server at {address} as leaving.");
        self.leaving.insert(address, marked_s);
        self.leaving.retain(|_, previous_s| *previous_s + LEAVING_RETENTION_S > marked_s);
        for service in self.services.values_mut() {
            service.drain_address(address, now_ms);
        }
        let datagrams = self.swim.announce_leaving(address, marked_s);
        self.send_datagrams(datagrams);
        self.publish_snapshot(now_ms);
    }

    /// Fetches the documents of which another VM has a newer version.
    pub(super) fn fetch_outdated(
        &mut self,
        from: SocketAddr,
        versions: &[ServiceVersion],
        context: &Context<Control>,
    ) {
        let mut services = self.replica.outdated(versions);
        services.retain(|service| self.fetching.insert(service.clone()));
        if !services.is_empty() {
            peers::fetch_docs(
                &self.channels,
                from,
                services,
                ControlHandle::new(&context.address()),
            );
        }
    }
}

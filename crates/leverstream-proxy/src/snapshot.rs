//! The immutable view of the fleet and the service table that traffic threads read.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use leverstream_health::BackendKey;
use leverstream_member::{Member, MemberState, Placement, entry_set_size};
use leverstream_table::{BackendRow, ServiceDoc};

use crate::flight::{BackendState, ServiceState};

/// An immutable view of the fleet and the service table, which the control thread replaces.
#[derive(Default)]
pub struct Snapshot {
    /// The VM of this process.
    pub own_vm: VmView,
    /// The services that this VM serves, by name.
    pub serving: HashMap<String, Arc<ServiceView>>,
    /// The whole table, by service name.
    pub docs: Arc<HashMap<String, Arc<ServiceDoc>>>,
    /// The members of the fleet.
    pub members: Arc<Members>,
}

/// The members of the fleet, as a list and by process id.
#[derive(Default)]
pub struct Members {
    /// The members that are not dead.
    pub list: Vec<Member>,
    /// All members by process id, with remembered dead ones: one declared dead may still answer.
    by_id: HashMap<u64, Member>,
    /// The number of data halls with a member that is not dead.
    pub halls: usize,
}

/// A VM as traffic threads see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmView {
    /// The id of its process.
    pub id: u64,
    /// Its data hall.
    pub hall: String,
    /// The address of its callers' listener.
    pub caller_address: SocketAddr,
    /// The address of its peers' listener.
    pub peer_address: SocketAddr,
    /// Whether callers may connect to it.
    pub takes_callers: bool,
    /// Whether the members have declared it dead.
    pub is_dead: bool,
}

/// A service as a snapshot has it.
pub struct ServiceView {
    /// Its document in the table.
    pub doc: Arc<ServiceDoc>,
    /// The VMs that serve it, its entry set.
    pub entry_vms: Vec<VmView>,
    /// The serving state, if this VM serves it.
    pub serving: Option<Serving>,
}

/// What a VM needs to serve a service itself.
pub struct Serving {
    /// The mutable state of the service.
    pub state: Arc<ServiceState>,
    /// The backend servers.
    pub backends: Vec<BackendView>,
    /// The typical duration of a request.
    pub typical_ms: f64,
}

/// A backend server as a snapshot has it.
pub struct BackendView {
    /// Its key.
    pub key: BackendKey,
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
    /// The limit of requests that all VMs together may have in flight there.
    pub slots: u32,
    /// The limit of connections that this VM may hold to it.
    pub connections: u32,
    /// Its configured weight times the share of traffic that its health allows.
    pub weight: f64,
    /// Whether it gets trial requests only: single, repeatable ones.
    pub is_trial: bool,
    /// The number of requests that other VMs have in flight there.
    pub others_in_flight: u32,
    /// The duration from which a request there counts as slow.
    pub slow_ms: f64,
    /// The mutable state of the backend server.
    pub state: Arc<BackendState>,
}

impl Snapshot {
    /// Finds a service by name; the VMs of a service not served here are computed on each call.
    pub fn service(&self, name: &str) -> Option<Arc<ServiceView>> {
        if let Some(view) = self.serving.get(name) {
            return Some(Arc::clone(view));
        }
        let doc = self.docs.get(name).filter(|doc| !doc.removed)?;
        let entry_vms = self.members.entry_vms_of(doc);
        Some(Arc::new(ServiceView { doc: Arc::clone(doc), entry_vms, serving: None }))
    }

    /// Finds a VM by its process id.
    pub fn vm(&self, id: u64) -> Option<VmView> {
        self.members.get(id).map(VmView::from)
    }
}

impl Members {
    /// Creates the view from all remembered members, dead ones included.
    pub fn new(remembered: Vec<Member>) -> Members {
        let is_not_dead = |member: &&Member| member.state != MemberState::Dead;
        let list: Vec<Member> = remembered.iter().filter(is_not_dead).cloned().collect();
        let halls: HashSet<&str> =
            list.iter().map(|member| member.identity.hall.as_str()).collect();
        let halls = halls.len();
        let by_id = remembered.into_iter().map(|member| (member.identity.id, member)).collect();
        Members { list, by_id, halls }
    }

    /// Finds a member by its process id.
    pub fn get(&self, id: u64) -> Option<&Member> {
        self.by_id.get(&id)
    }

    /// The VMs that serve a service.
    pub fn entry_vms_of(&self, doc: &ServiceDoc) -> Vec<VmView> {
        self.placement_of(doc).1
    }

    /// The VMs that serve a service, and the placement, by which later changes are detected.
    pub fn placement_of(&self, doc: &ServiceDoc) -> (Placement, Vec<VmView>) {
        let slots = doc.backends.values().map(BackendRow::usable_slots).sum();
        let size = entry_set_size(doc.row.entry_vms, slots, self.halls);
        let (placement, set) = Placement::choose(&doc.service, &self.list, size);
        (placement, set.into_iter().map(VmView::from).collect())
    }
}

impl From<&Member> for VmView {
    fn from(member: &Member) -> VmView {
        VmView {
            id: member.identity.id,
            hall: member.identity.hall.clone(),
            caller_address: member.identity.caller_address,
            peer_address: member.identity.peer_address,
            takes_callers: member.takes_callers(),
            is_dead: member.state == MemberState::Dead,
        }
    }
}

impl Default for VmView {
    fn default() -> Self {
        let unset = SocketAddr::from(([0, 0, 0, 0], 0));
        VmView {
            id: 0,
            hall: String::new(),
            caller_address: unset,
            peer_address: unset,
            takes_callers: false,
            is_dead: false,
        }
    }
}

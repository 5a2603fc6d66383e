use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use leverstream_health::BackendKey;
use leverstream_member::{Member, MemberState, Placement, entry_set_size};
use leverstream_table::{BackendRow, ServiceDoc};

use crate::flight::{BackendLive, ServiceLive};

/// What traffic threads know of the fleet and the table; never changed, only replaced.
#[derive(Default)]
pub struct Snapshot {
    /// This process.
    pub me: VmView,
    /// The services that this VM serves, by name.
    pub serving: HashMap<String, Arc<ServiceView>>,
    /// The whole table, by service.
    pub docs: Arc<HashMap<String, Arc<ServiceDoc>>>,
    /// The members of the fleet.
    pub members: Arc<Members>,
}

/// The members of the fleet, as a list and by process.
#[derive(Default)]
pub struct Members {
    /// The members that are not dead.
    pub list: Vec<Member>,
    /// All by process, with the dead that are still remembered: one held for dead may yet answer.
    by_id: HashMap<u64, Member>,
    /// How many halls they stand in.
    pub halls: usize,
}

/// A VM as traffic threads know it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmView {
    /// The process.
    pub id: u64,
    /// The hall it stands in.
    pub hall: String,
    /// Where its callers' listener is.
    pub caller_address: SocketAddr,
    /// Where its peers' listener is.
    pub peer_address: SocketAddr,
    /// Whether callers may be sent to it.
    pub takes_callers: bool,
    /// Whether it is held for dead.
    pub is_dead: bool,
}

/// A service.
pub struct ServiceView {
    /// Its document.
    pub doc: Arc<ServiceDoc>,
    /// The VMs that serve it.
    pub entry: Vec<VmView>,
    /// What this VM needs to serve it, if it does.
    pub serving: Option<Serving>,
}

/// What a VM needs to serve a service.
pub struct Serving {
    /// What changes between snapshots.
    pub live: Arc<ServiceLive>,
    /// The backend servers.
    pub backends: Vec<BackendView>,
    /// How long work usually takes.
    pub typical_ms: f64,
}

/// A backend server.
pub struct BackendView {
    /// Its key.
    pub key: BackendKey,
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// How many requests leverstream may have under way there.
    pub slots: u32,
    /// How many connections this VM may hold to it.
    pub connections: u32,
    /// Its weight times the share that its health allows.
    pub weight: f64,
    /// Whether it may only be given single repeatable requests.
    pub is_trial: bool,
    /// The requests that other VMs have under way there.
    pub others_in_flight: u32,
    /// From which time work there counts as slow.
    pub slow_ms: f64,
    /// What changes between snapshots.
    pub live: Arc<BackendLive>,
}

impl Snapshot {
    /// Finds a service; for one that this VM does not serve, its VMs are worked out now.
    pub fn service(&self, name: &str) -> Option<Arc<ServiceView>> {
        if let Some(view) = self.serving.get(name) {
            return Some(Arc::clone(view));
        }
        let doc = self.docs.get(name).filter(|doc| !doc.removed)?;
        let entry = self.members.entry_of(doc);
        Some(Arc::new(ServiceView { doc: Arc::clone(doc), entry, serving: None }))
    }

    /// Finds a VM by its process.
    pub fn vm(&self, id: u64) -> Option<VmView> {
        self.members.get(id).map(VmView::from)
    }
}

impl Members {
    /// Lists members, dead ones too.
    pub fn new(remembered: Vec<Member>) -> Members {
        let is_there = |member: &&Member| member.state != MemberState::Dead;
        let list: Vec<Member> = remembered.iter().filter(is_there).cloned().collect();
        let halls: HashSet<&str> =
            list.iter().map(|member| member.identity.hall.as_str()).collect();
        let halls = halls.len();
        let by_id = remembered.into_iter().map(|member| (member.identity.id, member)).collect();
        Members { list, by_id, halls }
    }

    /// Finds a member by its process.
    pub fn get(&self, id: u64) -> Option<&Member> {
        self.by_id.get(&id)
    }

    /// The VMs that serve a service.
    pub fn entry_of(&self, doc: &ServiceDoc) -> Vec<VmView> {
        self.place(doc).1
    }

    /// The VMs that serve a service, with what it takes to see whether a change moves them.
    pub fn place(&self, doc: &ServiceDoc) -> (Placement, Vec<VmView>) {
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
        let nowhere = SocketAddr::from(([0, 0, 0, 0], 0));
        VmView {
            id: 0,
            hall: String::new(),
            caller_address: nowhere,
            peer_address: nowhere,
            takes_callers: false,
            is_dead: false,
        }
    }
}

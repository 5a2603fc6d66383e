//! The state of a gateway VM, its start and its planned stop.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use displaydoc::Display;
use leverstream_admission::{GrantRate, Pressure, RankDemand};
use leverstream_catalog::{Catalog, Incarnation};
use leverstream_core::{Demand, Fleet, Freshness, NoticeSync, StopPeriod};
use leverstream_pace::Clock;
use leverstream_platform::{CallCounts, Store};
use leverstream_workspace::KeyHasher;
use tracing::{info, warn};

use crate::admission::{Admission, UsageReporter};
use crate::connection_pool::{ConnectionPool, Listener};
use crate::connections::Connections;
use crate::follow::RefusedRecords;
use crate::idle::IdlePool;
use crate::leases::{LeaseRenewer, Leases};
use crate::limits::{PermitState, Permits};
use crate::links::LinkMonitor;
use crate::memory::Memory;
use crate::mesh::Mesh;
use crate::meters::Meters;
use crate::overload::ServiceLoad;
use crate::repeats::Repeats;
use crate::starts::StartDecider;
use crate::state_sync::{FetchState, PackedBodies};
use crate::stop::StopState;
use crate::suspects::SuspectTracker;
use crate::waiting::WaitQueue;
use crate::{
    Settings, coverage, evidence, follow, freshness, listeners, mesh, pressure, reader,
    refused_store,
};

/// The interval at which a planned stop checks whether it may end, in milliseconds.
const STOP_POLL_MS: u64 = 20;

/// The number of validity periods of a directory answer after which no caller uses it any more.
const ANSWER_VALIDITY_PERIODS: u64 = 3;

/// A running gateway VM; clones share its state. It runs on one thread.
#[derive(Clone)]
pub struct Gateway {
    /// The state that clones share.
    inner: Rc<Inner>,
}

/// The state of a gateway VM.
pub(crate) struct Inner {
    /// The settings that the VM was started with.
    pub settings: Settings,
    /// The clock of all decisions.
    pub clock: Clock,
    /// The configuration in force.
    pub catalog: RefCell<Option<Rc<Catalog>>>,
    /// Whether the configuration in force has more than one rank.
    pub has_ranks: Cell<bool>,
    /// The backend servers and what is known of each.
    pub fleet: RefCell<Fleet>,
    /// How recent this VM's knowledge of the store is.
    pub freshness: RefCell<Freshness>,
    /// The counts of calls to the store.
    pub store_calls: Arc<CallCounts>,
    /// Whether the backend servers have been received once.
    pub has_fleet: Cell<bool>,
    /// Whether any caller has sent a request or asked where to connect.
    pub has_caller: Cell<bool>,
    /// Idle connections to backend servers.
    pub idle_pool: RefCell<IdlePool<Incarnation>>,
    /// Whether this VM's own links to backend servers are lost.
    pub links: LinkMonitor,
    /// Idle connections to VMs that requests are passed on to, by callers' address.
    pub relay_pool: RefCell<IdlePool<SocketAddr>>,
    /// The state of each service by name.
    pub services: RefCell<HashMap<String, ServiceState>>,
    /// The connection to the other VMs.
    pub mesh: Rc<Mesh>,
    /// The leases that bound how long known keys are valid.
    pub leases: Rc<Leases>,
    /// Admission by the allotments of workspaces.
    pub admission: Rc<Admission>,
    /// The retry budgets of the services.
    pub repeats: Repeats,
    /// Computes digests of workspace keys.
    pub hasher: KeyHasher,
    /// Requests during which backend servers have ended.
    pub suspect_tracker: Rc<SuspectTracker>,
    /// Synchronizes the notices of backend servers with other VMs.
    pub notice_sync: Cell<NoticeSync>,
    /// Permits for requests to backend servers that announce a rate limit.
    pub limits: PermitState,
    /// Whether an update is being fetched from another VM.
    pub fetch_state: FetchState,
    /// Compressed bodies that other VMs fetch.
    pub packed_bodies: PackedBodies,
    /// Records of backend servers that could not be used.
    pub refused_records: RefusedRecords,
    /// The memory for bodies and answers.
    pub memory: Arc<Memory>,
    /// The metrics.
    pub meters: Rc<Meters>,
    /// The accepted connections.
    pub connections: Rc<Connections>,
    /// Those of callers.
    pub callers: Rc<ConnectionPool>,
    /// The number of callers' requests in progress.
    pub in_flight: Cell<u32>,
    /// The planned stop, once it has begun.
    pub stop: StopState,
}

/// The state of a service.
#[derive(Default)]
pub(crate) struct ServiceState {
    /// The demand for the service.
    pub demand: Demand,
    /// The requests that wait for a slot.
    pub wait_queue: WaitQueue,
    /// The rate at which slots are granted here while requests wait.
    pub grant_rate: GrantRate,
    /// The requests for slots at this VM by rank, without those that the admission level refuses.
    pub queued: RankDemand,
    /// Those of them that may be sent again after a failure.
    pub queued_repeatable: RankDemand,
    /// The demand and the granted slots of all VMs, with the admission level.
    pub pressure: Pressure,
    /// The load of its backend servers, when it was last needed.
    pub load: Option<ServiceLoad>,
}

/// Why a gateway could not start.
#[derive(Debug, Display)]
pub enum GatewayError {
    /// cannot listen on the address in `{setting}`: {error}
    Bind {
        /// The setting that holds the address.
        setting: &'static str,
        /// The error of the operating system.
        error: std::io::Error,
    },
}

impl std::error::Error for GatewayError {}

impl Gateway {
    /// Binds the listeners and starts all tasks on the present thread's runtime.
    pub async fn open(settings: Settings) -> Result<Gateway, GatewayError> {
        let clock = Clock::start();
        let bind = |setting| move |error| GatewayError::Bind { setting, error };
        let mesh = Mesh::open(&settings, clock.now_ms()).await.map_err(bind("listen.peers"))?;
        let store = Store::new(settings.store.address);
        let meters = Meters::open(&store);
        let memory = Memory::open(settings.memory, clock, meters.memory.clone());
        let connection_meters = meters.connections.clone();
        let limits = settings.connection_limits();
        let callers = ConnectionPool::open(Listener::Callers, limits, clock, connection_meters);
        let mut fleet = Fleet::default();
        fleet.set_last_resort(settings.leaving.serves_on_ms());
        let inner = Rc::new(Inner {
            clock,
            catalog: RefCell::default(),
            has_ranks: Cell::new(false),
            fleet: RefCell::new(fleet),
            freshness: RefCell::new(Freshness::open(mesh.id())),
            store_calls: store.calls(),
            has_fleet: Cell::new(false),
            has_caller: Cell::new(false),
            idle_pool: RefCell::default(),
            links: LinkMonitor::default(),
            relay_pool: RefCell::default(),
            services: RefCell::default(),
            mesh: Rc::new(mesh),
            leases: Rc::new(Leases::open(settings.keys.revoke_ms())),
            admission: Rc::new(Admission::open(
                settings.allotments.slack,
                settings.allotments.by_rank,
            )),
            repeats: Repeats::open(&settings),
            hasher: KeyHasher::derive(&settings.peers.key),
            suspect_tracker: Rc::new(SuspectTracker::open(&settings.peers.key)),
            notice_sync: Cell::default(),
            limits: PermitState::default(),
            fetch_state: FetchState::default(),
            packed_bodies: PackedBodies::default(),
            refused_records: RefusedRecords::default(),
            memory: Arc::new(memory),
            meters: Rc::new(meters),
            connections: Rc::default(),
            callers,
            in_flight: Cell::new(0),
            stop: StopState::default(),
            settings,
        });
        let gateway = Gateway { inner: Rc::clone(&inner) };
        let listen = &inner.settings.listen;
        listeners::callers(listen.callers, &inner).await.map_err(bind("listen.callers"))?;
        listeners::readiness(listen.readiness, &inner).await.map_err(bind("listen.readiness"))?;
        listeners::directory(listen.directory, &inner).await.map_err(bind("listen.directory"))?;
        listeners::peers(listen.peers, &inner).await.map_err(bind("listen.peers"))?;
        listeners::metrics(listen.metrics, &inner).await.map_err(bind("listen.metrics"))?;
        actix_rt::spawn(reader::run(store.clone(), Rc::clone(&inner)));
        actix_rt::spawn(refused_store::write(store.clone(), Rc::clone(&inner)));
        gateway.keep_leases(store.clone());
        gateway.report_allotments();
        gateway.start_allotments(store);
        gateway.report_suspects();
        actix_rt::spawn(mesh::receive(Rc::clone(&inner)));
        actix_rt::spawn(mesh::tick(Rc::clone(&inner)));
        actix_rt::spawn(evidence::report_changes(Rc::clone(&inner)));
        actix_rt::spawn(coverage::observe(Rc::clone(&inner)));
        actix_rt::spawn(freshness::observe(Rc::clone(&inner)));
        if inner.settings.queue.by_rank {
            actix_rt::spawn(pressure::report(Rc::clone(&inner)));
        }
        let Settings { vm, hall, region, .. } = &inner.settings;
        info!(vm, hall, region, callers = %listen.callers, "start");
        if !clock.counts_suspension() {
            warn!(
                "no clock advances while the machine is suspended; leases and other timed state outlive a suspension"
            );
        }
        Ok(gateway)
    }

    /// Starts the task that renews the leases on keys.
    fn keep_leases(&self, store: Store) {
        let inner = Rc::clone(&self.inner);
        let (leases, mesh) = (Rc::clone(&inner.leases), Rc::clone(&inner.mesh));
        let keeper =
            LeaseRenewer { clock: inner.clock, leases, mesh, meters: Rc::clone(&inner.meters) };
        let of_reader = Rc::clone(&inner);
        let reader = move || {
            let latest = of_reader.freshness.borrow().latest()?;
            of_reader.mesh.peer_address_of(latest.reader)
        };
        let read = move || follow::read_catalog(store.clone(), Rc::clone(&inner));
        actix_rt::spawn(keeper.run(read, reader));
    }

    /// Starts the task that reports to other VMs how many requests of each workspace this VM admits.
    fn report_allotments(&self) {
        let inner = &self.inner;
        let (admission, mesh) = (Rc::clone(&inner.admission), Rc::clone(&inner.mesh));
        let meters = Rc::clone(&inner.meters);
        if inner.settings.allotments.by_rank {
            actix_rt::spawn(Rc::clone(&admission).watch_stalls(inner.clock));
        }
        actix_rt::spawn(UsageReporter { clock: inner.clock, admission, mesh, meters }.run());
    }

    /// Starts the task that decides this VM's initial share of the allotments.
    fn start_allotments(&self, store: Store) {
        let inner = &self.inner;
        let starts = StartDecider {
            vm: inner.settings.vm.clone(),
            is_first_start: inner.settings.peers.is_first_start,
            clock: inner.clock,
            store,
            admission: Rc::clone(&inner.admission),
            mesh: Rc::clone(&inner.mesh),
        };
        actix_rt::spawn(starts.run());
    }

    /// Starts the task that reports to other VMs during which requests backend servers ended.
    fn report_suspects(&self) {
        let inner = &self.inner;
        let (suspect_tracker, mesh) = (Rc::clone(&inner.suspect_tracker), Rc::clone(&inner.mesh));
        let (meters, clock) = (Rc::clone(&inner.meters), inner.clock);
        actix_rt::spawn(async move {
            suspect_tracker.run(|| clock.now_ms(), &mesh, &meters).await;
        });
    }

    /// Applies changed settings at run time: only the seeds take effect, the listeners keep their addresses.
    pub fn reload(&self, settings: &Settings) {
        let has_changed = *settings != self.inner.settings;
        self.inner.mesh.set_seeds(settings.peers.seeds.clone());
        info!(has_changed, seeds = ?settings.peers.seeds, "reload");
    }

    /// Performs a planned stop: leaves the directory, serves requests that still arrive, and finishes those in progress.
    ///
    /// A request is in progress until its caller has its whole answer, on any listener.
    pub async fn stop(&self) {
        let inner = &self.inner;
        let now_ms = inner.now_ms();
        let period = inner.stop.begin(inner.settings.grace_ms(), now_ms);
        let busy = inner.connections.busy();
        let noticed_after_ms = now_ms - period.since_ms;
        info!(in_flight = inner.in_flight.get(), busy, noticed_after_ms, "stop begins");
        inner.mesh.leave(inner);
        let drained_ms = now_ms + inner.settings.entry.answer_holds_ms * ANSWER_VALIDITY_PERIODS;
        let drain_ms = drained_ms.min(period.ends_ms()).saturating_sub(inner.now_ms());
        tokio::time::sleep(Duration::from_millis(drain_ms)).await;
        // No caller should use this VM any more; those that do can go to another at once.
        inner.stop.close_listeners();
        self.finish_requests(period).await;
        let busy = inner.connections.busy();
        info!(in_flight = inner.in_flight.get(), busy, "stop ends");
        inner.connections.leave();
    }

    /// Waits until no connection has a request in progress, at most until a stop ends. What came in just before counts, too.
    async fn finish_requests(&self, period: StopPeriod) {
        let inner = &self.inner;
        loop {
            tokio::time::sleep(Duration::from_millis(STOP_POLL_MS)).await;
            if inner.connections.busy() == 0 || inner.now_ms() >= period.ends_ms() {
                return;
            }
        }
    }
}

impl Inner {
    /// Returns the present time.
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Returns whether the configuration and the backend servers are known.
    pub fn has_initial_state(&self) -> bool {
        self.catalog.borrow().is_some() && self.has_fleet.get()
    }

    /// Returns whether callers can be served.
    pub fn is_ready(&self) -> bool {
        !self.stop.has_begun() && self.has_initial_state()
    }

    /// Returns the total slots of the backend servers that accept requests of configured services.
    pub fn slots(&self) -> u32 {
        let Some(catalog) = self.catalog() else { return 0 };
        let fleet = self.fleet.borrow();
        catalog.services.keys().map(|service| fleet.slots(service)).sum()
    }

    /// Returns access to the permits for requests to backend servers that announce a rate limit.
    pub fn permits(&self) -> Permits<'_> {
        Permits {
            limits: &self.limits,
            clock: self.clock,
            fleet: &self.fleet,
            mesh: &self.mesh,
            meters: &self.meters,
            vms: self.repeats.fleet_size(self.now_ms()),
        }
    }

    /// Notes the arrival of a request for a service.
    pub fn note_arrival(&self, service: &str, now_ms: u64) {
        let mut services = self.services.borrow_mut();
        services.entry(service.to_owned()).or_default().demand.note_arrival(now_ms);
    }

    /// Returns the configuration in force, if one is known.
    pub fn catalog(&self) -> Option<Rc<Catalog>> {
        self.catalog.borrow().clone()
    }

    /// Tells whether a full service goes to urgent requests first. Where all requests are equally
    /// urgent, refusing some of them for their rank would gain nothing.
    pub fn serves_by_rank(&self) -> bool {
        self.settings.queue.by_rank && self.has_ranks.get()
    }

    /// Tells whether requests wait for a slot of a service.
    pub fn has_waiting(&self, service: &str) -> bool {
        self.services.borrow().get(service).is_some_and(|state| state.grant_rate.waiting() > 0)
    }

    /// Wakes all requests that wait for a slot of any service.
    pub fn wake_all(&self) {
        for state in self.services.borrow_mut().values_mut() {
            let count = state.wait_queue.count();
            state.wait_queue.wake(count);
        }
    }
}

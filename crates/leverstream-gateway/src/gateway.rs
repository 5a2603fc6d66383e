use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use displaydoc::Display;
use leverstream_catalog::Catalog;
use leverstream_core::{Demand, Fleet, NoticeSync};
use leverstream_pace::Clock;
use leverstream_platform::Store;
use leverstream_workspace::KeyHasher;
use tracing::{info, warn};

use crate::admission::{Admission, UsageReporter};
use crate::follow::RefusedRecords;
use crate::idle::IdlePool;
use crate::leases::{LeaseRenewer, Leases};
use crate::limits::{PermitState, Permits};
use crate::mesh::Mesh;
use crate::meters::Meters;
use crate::news::{Fetching, Packed};
use crate::repeats::Repeats;
use crate::starts::StartDecider;
use crate::suspects::SuspectTracker;
use crate::waiting::WaitQueue;
use crate::{Settings, emptied, evidence, follow, listeners, mesh, refused_store};

/// How often a planned stop looks whether it may end, in milliseconds.
const STOP_POLL_MS: u64 = 20;

/// How many lives of an answer callers may go on using it, after which none comes any more.
const ANSWER_LIVES: u64 = 3;

/// What a stop leaves of the grace before the process is ended by force, in milliseconds.
const STOP_MARGIN_MS: u64 = 250;

/// A running gateway VM; clones share it. All of it runs on one thread.
#[derive(Clone)]
pub struct Gateway {
    /// What clones share.
    inner: Rc<Inner>,
}

/// The state of a gateway VM.
pub(crate) struct Inner {
    /// The settings.
    pub settings: Settings,
    /// The clock.
    pub clock: Clock,
    /// The configuration in force.
    pub catalog: RefCell<Option<Rc<Catalog>>>,
    /// The backend servers.
    pub fleet: RefCell<Fleet>,
    /// Whether the backend servers have been read once.
    pub has_fleet: Cell<bool>,
    /// Whether a caller has come.
    pub has_caller: Cell<bool>,
    /// Idle connections to backend servers.
    pub idle: RefCell<IdlePool>,
    /// What is held for each service.
    pub services: RefCell<HashMap<String, ServiceState>>,
    /// The other VMs.
    pub mesh: Rc<Mesh>,
    /// How long what is known of keys may be trusted.
    pub leases: Rc<Leases>,
    /// The allotments of workspaces.
    pub admission: Rc<Admission>,
    /// What may be repeated.
    pub repeats: Repeats,
    /// Makes digests of keys.
    pub hasher: KeyHasher,
    /// Requests under which backend servers end.
    pub suspect_tracker: Rc<SuspectTracker>,
    /// Backend servers that leave by their own word.
    pub notice_sync: Cell<NoticeSync>,
    /// Permits for requests to backend servers that name a limit.
    pub limits: PermitState,
    /// Whether news are being fetched from another VM.
    pub fetching: Fetching,
    /// The configuration as other VMs are sent it.
    pub packed: Packed,
    /// Records of backend servers that could not be used.
    pub refused: RefusedRecords,
    /// The counts.
    pub meters: Rc<Meters>,
    /// Requests of callers under way.
    pub in_flight: Cell<u32>,
    /// When the planned stop began.
    pub stopping_since_ms: Cell<Option<u64>>,
}

/// What is held for a service.
#[derive(Default)]
pub(crate) struct ServiceState {
    /// What is asked of it.
    pub demand: Demand,
    /// Who waits for a slot.
    pub waiting: WaitQueue,
}

/// Why a gateway could not start.
#[derive(Debug, Display)]
pub enum GatewayError {
    /// `{place}` cannot be listened on: {error}
    Bind {
        /// The settings' field.
        place: &'static str,
        /// What the system said.
        error: std::io::Error,
    },
}

impl std::error::Error for GatewayError {}

impl Gateway {
    /// Binds the listeners and starts all parts on the present thread's runtime.
    pub async fn open(settings: Settings) -> Result<Gateway, GatewayError> {
        let clock = Clock::start();
        let bind = |place| move |error| GatewayError::Bind { place, error };
        let mesh = Mesh::open(&settings, clock.now_ms()).await.map_err(bind("listen.peers"))?;
        let store = Store::new(settings.store.address);
        let mut fleet = Fleet::default();
        fleet.set_last_resort(settings.leaving.serves_on_ms());
        let inner = Rc::new(Inner {
            clock,
            catalog: RefCell::default(),
            fleet: RefCell::new(fleet),
            has_fleet: Cell::new(false),
            has_caller: Cell::new(false),
            idle: RefCell::default(),
            services: RefCell::default(),
            mesh: Rc::new(mesh),
            leases: Rc::new(Leases::open(settings.keys.revoke_ms())),
            admission: Rc::new(Admission::open(settings.allotments.slack)),
            repeats: Repeats::open(&settings),
            hasher: KeyHasher::derive(&settings.peers.key),
            suspect_tracker: Rc::new(SuspectTracker::open(&settings.peers.key)),
            notice_sync: Cell::default(),
            limits: PermitState::default(),
            fetching: Fetching::default(),
            packed: Packed::default(),
            refused: RefusedRecords::default(),
            meters: Rc::new(Meters::open(&store)),
            in_flight: Cell::new(0),
            stopping_since_ms: Cell::new(None),
            settings,
        });
        let gateway = Gateway { inner: Rc::clone(&inner) };
        let listen = &inner.settings.listen;
        listeners::callers(listen.callers, &inner).await.map_err(bind("listen.callers"))?;
        listeners::readiness(listen.readiness, &inner).await.map_err(bind("listen.readiness"))?;
        listeners::directory(listen.directory, &inner).await.map_err(bind("listen.directory"))?;
        listeners::peers(listen.peers, &inner).await.map_err(bind("listen.peers"))?;
        listeners::metrics(listen.metrics, &inner).await.map_err(bind("listen.metrics"))?;
        actix_rt::spawn(follow::catalogs(store.clone(), Rc::clone(&inner)));
        actix_rt::spawn(follow::backends(store.clone(), Rc::clone(&inner)));
        actix_rt::spawn(emptied::follow(store.clone(), Rc::clone(&inner)));
        actix_rt::spawn(refused_store::write(store.clone(), Rc::clone(&inner)));
        gateway.keep_leases(store.clone());
        gateway.tell_allotments();
        gateway.begin_allotments(store);
        gateway.tell_suspects();
        actix_rt::spawn(mesh::receive(Rc::clone(&inner)));
        actix_rt::spawn(mesh::tick(Rc::clone(&inner)));
        actix_rt::spawn(evidence::report_changes(Rc::clone(&inner)));
        let Settings { vm, hall, region, .. } = &inner.settings;
        info!(vm, hall, region, callers = %listen.callers, "start");
        if !clock.counts_suspension() {
            warn!(
                "no clock goes on while the machine is suspended; what was believed before counts on after it"
            );
        }
        Ok(gateway)
    }

    /// Keeps what is known of keys young.
    fn keep_leases(&self, store: Store) {
        let inner = Rc::clone(&self.inner);
        let (leases, mesh) = (Rc::clone(&inner.leases), Rc::clone(&inner.mesh));
        let keeper =
            LeaseRenewer { clock: inner.clock, leases, mesh, meters: Rc::clone(&inner.meters) };
        actix_rt::spawn(keeper.run(move || follow::read_catalog(store.clone(), Rc::clone(&inner))));
    }

    /// Tells other VMs what this one lets in of workspaces' allotments.
    fn tell_allotments(&self) {
        let inner = &self.inner;
        let (admission, mesh) = (Rc::clone(&inner.admission), Rc::clone(&inner.mesh));
        let meters = Rc::clone(&inner.meters);
        actix_rt::spawn(UsageReporter { clock: inner.clock, admission, mesh, meters }.run());
    }

    /// Decides how this VM begins with allotments.
    fn begin_allotments(&self, store: Store) {
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

    /// Tells other VMs under which requests backend servers end.
    fn tell_suspects(&self) {
        let inner = &self.inner;
        let (suspect_tracker, mesh) = (Rc::clone(&inner.suspect_tracker), Rc::clone(&inner.mesh));
        let (meters, clock) = (Rc::clone(&inner.meters), inner.clock);
        actix_rt::spawn(async move {
            suspect_tracker.run(|| clock.now_ms(), &mesh, &meters).await;
        });
    }

    /// Takes in settings that have changed while it runs; listeners stay where they are.
    pub fn reload(&self, settings: &Settings) {
        let has_changed = *settings != self.inner.settings;
        self.inner.mesh.set_seeds(settings.peers.seeds.clone());
        info!(has_changed, seeds = ?settings.peers.seeds, "reload");
    }

    /// Stops as planned: leaves the directory, serves whoever still comes, finishes what runs.
    pub async fn stop(&self) {
        let inner = &self.inner;
        let since_ms = inner.now_ms();
        inner.stopping_since_ms.set(Some(since_ms));
        info!(in_flight = inner.in_flight.get(), "stop begins");
        inner.mesh.leave(inner);
        let quiet_ms = since_ms + inner.settings.entry.answer_holds_ms * ANSWER_LIVES;
        let last_ms = inner.stop_ends_ms().unwrap_or(since_ms);
        loop {
            let now_ms = inner.now_ms();
            let is_quiet = now_ms >= quiet_ms && inner.in_flight.get() == 0;
            if is_quiet || now_ms >= last_ms {
                break;
            }
            tokio::time::sleep(Duration::from_millis(STOP_POLL_MS)).await;
        }
        info!(in_flight = inner.in_flight.get(), "stop ends");
    }
}

impl Inner {
    /// The present time.
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Tells whether the configuration and the backend servers are known.
    pub fn knows_all(&self) -> bool {
        self.catalog.borrow().is_some() && self.has_fleet.get()
    }

    /// Tells whether callers can be served.
    pub fn is_ready(&self) -> bool {
        self.stopping_since_ms.get().is_none() && self.knows_all()
    }

    /// When a planned stop ends at the latest, if one has begun.
    pub fn stop_ends_ms(&self) -> Option<u64> {
        let since_ms = self.stopping_since_ms.get()?;
        Some(since_ms + self.settings.grace_ms().saturating_sub(STOP_MARGIN_MS))
    }

    /// The slots of all backend servers that may take work of a service that is configured.
    pub fn slots(&self) -> u32 {
        let Some(catalog) = self.catalog() else { return 0 };
        let fleet = self.fleet.borrow();
        catalog.services.keys().map(|service| fleet.slots(service)).sum()
    }

    /// Permits for requests to backend servers that name a limit.
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

    /// Notes that a request for a service came.
    pub fn note_arrival(&self, service: &str, now_ms: u64) {
        let mut services = self.services.borrow_mut();
        services.entry(service.to_owned()).or_default().demand.note_arrival(now_ms);
    }

    /// The configuration in force.
    pub fn catalog(&self) -> Option<Rc<Catalog>> {
        self.catalog.borrow().clone()
    }

    /// Wakes those who wait for a slot of any service.
    pub fn wake_all(&self) {
        for state in self.services.borrow_mut().values_mut() {
            let count = state.waiting.count();
            state.waiting.wake(count);
        }
    }
}

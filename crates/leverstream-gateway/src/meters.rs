use std::sync::atomic::AtomicU64;

use leverstream_catalog::Notice;
use leverstream_core::StateCounts;
use leverstream_error::Kind;
use leverstream_observe::{Registry, register_count};
use leverstream_platform::{Call, Store};
use leverstream_route::Headroom;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};

/// The label of an answer of the VM's own.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KindLabel {
    /// The kind's name.
    kind: String,
}

/// The label of what concerns one service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabel {
    /// The service's name.
    service: String,
}

/// How a backend server stands, as this VM knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
enum BackendsState {
    /// It takes work.
    InService,
    /// The platform lists it as leaving.
    Leaving,
    /// It has said that it leaves; the platform does not tell.
    LeavingByWord,
    /// It wants nothing of this VM for now.
    HoldingOff,
    /// It names how many requests a second it takes from all VMs together.
    Limited,
    /// Its data hall is to be emptied.
    Emptied,
}

/// The label of a number of backend servers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StateLabel {
    /// How they stand.
    state: BackendsState,
}

/// What bytes between data halls are sent for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum CrossHallCause {
    /// Requests to backend servers.
    Request,
    /// Answers of backend servers.
    Answer,
    /// What VMs that share the traffic tell each other.
    Evidence,
    /// Pings and what goes with them.
    Members,
    /// Configuration and backend servers.
    News,
    /// How many requests of workspaces were let in.
    Allotments,
    /// What VMs lend each other of what they may repeat.
    Repeats,
    /// What they know of requests under which backend servers end.
    Suspects,
    /// What backend servers say of themselves.
    Words,
    /// Permits for requests to backend servers that name a limit.
    Permits,
}

/// The label of bytes between data halls.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CauseLabel {
    /// What they were sent for.
    cause: CrossHallCause,
}

/// What a gateway VM counts.
pub(crate) struct Meters {
    /// All of it, for whoever reads the metrics.
    pub registry: Registry,
    /// Requests of callers.
    pub requests: Counter,
    /// Answers of the VM's own, by kind.
    refusals: Family<KindLabel, Counter>,
    /// Requests sent to backend servers.
    pub attempts: Counter,
    /// Those among them that repeat another.
    pub repeats: Counter,
    /// Repeats that the allowance did not cover.
    pub repeats_denied: Counter,
    /// What this VM has repeated or lent in the window that ended with the last wish for a repeat, by service.
    repeats_spent: Family<ServiceLabel, Gauge<f64, AtomicU64>>,
    /// What it was allowed to in that window, with what others had lent it.
    repeats_allowed: Family<ServiceLabel, Gauge<f64, AtomicU64>>,
    /// Requests under which a backend server has ended.
    pub suspects: Gauge,
    /// Those among them that are refused.
    pub suspects_refused: Gauge,
    /// Listed backend servers, by how they stand.
    backends: Family<StateLabel, Gauge>,
    /// Answers in which a backend server said that it leaves.
    notices_leaving: Counter,
    /// Answers in which a backend server said for how long it wants nothing.
    notices_hold_off: Counter,
    /// Those among them whose time could not be read.
    notices_garbled: Counter,
    /// Answers in which a backend server named a limit.
    notices_limit: Counter,
    /// Answers in which it named one that could not be read.
    notices_limit_garbled: Counter,
    /// Permits for requests to limited backend servers that were had, by service.
    permits: Family<ServiceLabel, Counter>,
    /// Those that were not.
    permits_denied: Family<ServiceLabel, Counter>,
    /// The limits that listed backend servers name, by service.
    limits_per_s: Family<ServiceLabel, Gauge<f64, AtomicU64>>,
    /// Questions where to connect.
    pub questions: Counter,
    /// Configurations that could not be used.
    pub catalogs_refused: Counter,
    /// Records of backend servers that could not be used, each once a change.
    pub records_refused: Counter,
    /// Bytes of news sent to other VMs.
    pub news_bytes: Counter,
    /// Bytes exchanged with other data halls, by what they were sent for.
    far_bytes: Family<CauseLabel, Counter>,
    /// How long requests took, in seconds.
    pub seconds: Histogram,
    /// How long requests waited for a slot, in seconds.
    pub waited_seconds: Histogram,
}

impl Meters {
    /// Registers the counts, with those of calls to the store.
    pub fn open(store: &Store) -> Meters {
        let buckets = || exponential_buckets(0.001, 2.0, 15);
        let mut meters = Meters {
            registry: Registry::with_prefix("leverstream"),
            requests: Counter::default(),
            refusals: Family::default(),
            attempts: Counter::default(),
            repeats: Counter::default(),
            repeats_denied: Counter::default(),
            repeats_spent: Family::default(),
            repeats_allowed: Family::default(),
            suspects: Gauge::default(),
            suspects_refused: Gauge::default(),
            backends: Family::default(),
            notices_leaving: Counter::default(),
            notices_hold_off: Counter::default(),
            notices_garbled: Counter::default(),
            notices_limit: Counter::default(),
            permits: Family::default(),
            permits_denied: Family::default(),
            limits_per_s: Family::default(),
            notices_limit_garbled: Counter::default(),
            questions: Counter::default(),
            catalogs_refused: Counter::default(),
            records_refused: Counter::default(),
            news_bytes: Counter::default(),
            far_bytes: Family::default(),
            seconds: Histogram::new(buckets()),
            waited_seconds: Histogram::new(buckets()),
        };
        let registry = &mut meters.registry;
        let counts = [(Call::List, "store_lists"), (Call::Watch, "store_watches")];
        for (call, name) in counts {
            let calls = store.calls();
            register_count(registry, name, "Calls to the store", move || calls.count(call));
        }
        let calls = store.calls();
        let help = "Calls to the store without a useful answer";
        register_count(registry, "store_failures", help, move || calls.failures());
        registry.register("requests", "Requests of callers", meters.requests.clone());
        registry.register("refusals", "Own answers by kind", meters.refusals.clone());
        registry.register("attempts", "Requests to backend servers", meters.attempts.clone());
        registry.register("repeats", "Attempts that repeat another", meters.repeats.clone());
        registry.register(
            "repeats_denied",
            "Repeats that the allowance did not cover",
            meters.repeats_denied.clone(),
        );
        let help = "Repeats made or lent in the last window, by service";
        registry.register("repeats_spent", help, meters.repeats_spent.clone());
        let help = "Repeats allowed in the last window, by service";
        registry.register("repeats_allowed", help, meters.repeats_allowed.clone());
        let help = "Requests under which a backend server has ended";
        registry.register("suspects", help, meters.suspects.clone());
        let help = "Requests that are refused, as backend servers end under them";
        registry.register("suspects_refused", help, meters.suspects_refused.clone());
        let help = "Listed backend servers by how they stand";
        registry.register("backends", help, meters.backends.clone());
        let help = "Answers in which a backend server said that it leaves";
        registry.register("notices_leaving", help, meters.notices_leaving.clone());
        let help = "Answers in which a backend server said for how long it wants nothing";
        registry.register("notices_hold_off", help, meters.notices_hold_off.clone());
        let help = "Those of them whose time could not be read";
        registry.register("notices_garbled", help, meters.notices_garbled.clone());
        let help = "Answers in which a backend server said how many requests a second it takes";
        registry.register("notices_limit", help, meters.notices_limit.clone());
        let help = "Those in which that could not be read";
        registry.register("notices_limit_garbled", help, meters.notices_limit_garbled.clone());
        let help = "Permits for requests to limited backend servers, by service";
        registry.register("permits", help, meters.permits.clone());
        let help = "Permits that were denied, by service";
        registry.register("permits_denied", help, meters.permits_denied.clone());
        let help = "The limits that listed backend servers name, in requests a second, by service";
        registry.register("limits_per_s", help, meters.limits_per_s.clone());
        registry.register("questions", "Questions where to connect", meters.questions.clone());
        registry.register(
            "catalogs_refused",
            "Configurations that could not be used",
            meters.catalogs_refused.clone(),
        );
        let help = "Records of backend servers that could not be used";
        registry.register("records_refused", help, meters.records_refused.clone());
        let help = "Bytes of news sent to other VMs";
        registry.register("news_bytes", help, meters.news_bytes.clone());
        let help = "Bytes exchanged with other data halls";
        registry.register("far_bytes", help, meters.far_bytes.clone());
        registry.register("request_seconds", "How long requests took", meters.seconds.clone());
        registry.register(
            "waited_seconds",
            "How long requests waited for a slot",
            meters.waited_seconds.clone(),
        );
        meters
    }

    /// Counts bytes exchanged with another data hall.
    pub fn count_cross_hall(&self, cause: CrossHallCause, bytes: usize) {
        self.far_bytes.get_or_create(&CauseLabel { cause }).inc_by(bytes as u64);
    }

    /// Takes in what may be repeated for a service.
    pub fn note_room(&self, service: &str, room: Headroom) {
        let label = ServiceLabel { service: service.to_owned() };
        self.repeats_spent.get_or_create(&label).set(room.spent);
        let allowed = room.spent + room.own + room.lent;
        self.repeats_allowed.get_or_create(&label).set(allowed);
    }

    /// Shows how the listed backend servers stand.
    pub fn show_backends(&self, state_counts: StateCounts) {
        let counts = [
            (BackendsState::InService, state_counts.in_service),
            (BackendsState::Leaving, state_counts.leaving),
            (BackendsState::LeavingByWord, state_counts.leaving_announced),
            (BackendsState::HoldingOff, state_counts.holding_off),
            (BackendsState::Limited, state_counts.limited),
            (BackendsState::Emptied, state_counts.emptied),
        ];
        for (state, count) in counts {
            self.backends.get_or_create(&StateLabel { state }).set(count.into());
        }
    }

    /// Counts a permit for a request to a limited backend server, or that there was none.
    pub fn note_permit(&self, service: &str, is_granted: bool) {
        let count = if is_granted { &self.permits } else { &self.permits_denied };
        count.get_or_create(&ServiceLabel { service: service.to_owned() }).inc();
    }

    /// Shows the sums of the limits that the backend servers of services name.
    pub fn show_limits(&self, limits: impl IntoIterator<Item = (String, f64)>) {
        self.limits_per_s.clear();
        for (service, per_s) in limits {
            self.limits_per_s.get_or_create(&ServiceLabel { service }).inc_by(per_s);
        }
    }

    /// Counts what a backend server said of itself.
    pub fn note_notice(&self, notice: Notice) {
        self.notices_leaving.inc_by(u64::from(notice.is_leaving));
        let tells_time = notice.hold_off_ms.is_some() || notice.is_hold_off_malformed;
        self.notices_hold_off.inc_by(u64::from(tells_time));
        self.notices_garbled.inc_by(u64::from(notice.is_hold_off_malformed));
        self.notices_limit.inc_by(u64::from(notice.limit_per_s.is_some()));
        self.notices_limit_garbled.inc_by(u64::from(notice.is_limit_malformed));
    }

    /// Counts an answer of the VM's own.
    pub fn refuse(&self, kind: Kind) {
        self.refusals.get_or_create(&KindLabel { kind: kind.to_string() }).inc();
    }
}

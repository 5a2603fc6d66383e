//! The metrics of a gateway VM.

use std::sync::atomic::AtomicU64;

use leverstream_admission::{Level, QueueRank, Rank, RefusedBy};
use leverstream_catalog::Notice;
use leverstream_core::StateCounts;
use leverstream_error::Kind;
use leverstream_observe::{Registry, register_counter};
use leverstream_platform::{CallKind, Store};
use leverstream_route::Headroom;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};

use crate::connection_pool::ConnectionMeters;
use crate::connections::CutCause;
use crate::memory::MemoryMeters;

/// The label of an error answer that the VM itself gives.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KindLabel {
    /// The name of the error kind.
    kind: String,
}

/// The label of a metric of one service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabel {
    /// The service's name.
    service: String,
}

/// The label of a metric of one rank of a service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RankLabel {
    /// The service's name.
    service: String,
    /// The rank; 0 is the most urgent.
    rank: u32,
}

/// The label of requests refused while a service is full.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RefusedLabel {
    /// The service's name.
    service: String,
    /// The rank; 0 is the most urgent.
    rank: u32,
    /// The rule that refused them.
    reason: &'static str,
}

/// The state of a backend server as this VM knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
enum BackendState {
    /// It accepts requests.
    InService,
    /// The platform lists it as leaving.
    Leaving,
    /// It has announced that it leaves; the platform does not list it as leaving.
    LeavingByWord,
    /// It has asked this VM to send nothing for some time.
    HoldingOff,
    /// It announces a rate limit for the requests of all VMs together.
    Limited,
    /// Its data hall is to be emptied.
    Emptied,
}

/// The label of a count of backend servers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StateLabel {
    /// Their state.
    state: BackendState,
}

/// The purpose of bytes that are sent between data halls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum CrossHallCause {
    /// Requests to backend servers.
    Request,
    /// Answers of backend servers.
    Answer,
    /// Observations of backend servers that VMs exchange.
    Evidence,
    /// Membership: pings and the updates that they carry.
    Members,
    /// Transfers of the configuration and the list of backend servers.
    News,
    /// Reports of the number of admitted requests of workspaces.
    Allotments,
    /// Loans of retry budget between VMs.
    Repeats,
    /// Reports of requests during which backend servers ended.
    Suspects,
    /// Notices of backend servers that VMs pass on.
    Words,
    /// Permits for requests to backend servers that announce a rate limit.
    Permits,
    /// Reports of the demand for services for which requests wait.
    Pressure,
    /// Questions whether other VMs reach backend servers, and their answers.
    Links,
    /// Requests passed on to other VMs, and their answers.
    Relay,
}

/// The label of bytes between data halls.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CauseLabel {
    /// The purpose of the bytes.
    cause: CrossHallCause,
}

/// How the opening of a connection to a backend server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum ConnectResult {
    /// The connection was opened.
    Opened,
    /// The address refused it.
    Refused,
    /// There was no answer in time, or no path.
    Unreachable,
}

/// The label of opened connections.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ConnectLabel {
    /// How the opening ended.
    result: ConnectResult,
}

/// What became of a request of a workspace with an allotment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum AllotmentOutcome {
    /// It was admitted at once.
    Admitted,
    /// It was admitted after it had waited for a token.
    Waited,
    /// It was refused.
    Refused,
}

/// The label of requests that ended without a whole answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CutLabel {
    /// Why they did.
    cause: CutCause,
}

/// The label of requests of workspaces with allotments.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AllotmentLabel {
    /// The rank of their route.
    rank: u32,
    /// What became of them.
    outcome: AllotmentOutcome,
}

/// The metrics that a gateway VM records.
pub(crate) struct Meters {
    /// The registry of all metrics, for exporting them.
    pub registry: Registry,
    /// Requests that callers have sent.
    pub requests: Counter,
    /// Error answers that the VM itself gave, by kind.
    refusals: Family<KindLabel, Counter>,
    /// Requests that ended without a whole answer, by cause.
    cut_answers: Family<CutLabel, Counter>,
    /// Requests of workspaces with allotments, by rank and outcome, if urgent ones go first.
    allotment_requests: Family<AllotmentLabel, Counter>,
    /// Requests sent to backend servers.
    pub attempts: Counter,
    /// Requests that this VM has passed on to others, as its own links to backend servers are lost.
    pub relayed_out: Counter,
    /// Requests that other VMs have passed on to this one.
    pub relayed_in: Counter,
    /// Whether this VM's own links to the backend servers of any service are lost.
    pub links_lost: Gauge,
    /// Connections to backend servers, by how their opening ended.
    connects: Family<ConnectLabel, Counter>,
    /// Attempts that repeat an earlier one.
    pub repeats: Counter,
    /// Repeats that the retry budget did not cover.
    pub repeats_denied: Counter,
    /// Repeats made or lent by this VM in the window that ended with the last request for a repeat, by service.
    repeats_spent: Family<ServiceLabel, Gauge<f64, AtomicU64>>,
    /// Repeats allowed to this VM in that window, including loans from other VMs, by service.
    repeats_allowed: Family<ServiceLabel, Gauge<f64, AtomicU64>>,
    /// Requests during which a backend server has ended.
    pub suspects: Gauge,
    /// The number of those requests that are refused.
    pub suspects_refused: Gauge,
    /// Listed backend servers by state.
    backends: Family<StateLabel, Gauge>,
    /// Answers in which a backend server announced that it leaves.
    notices_leaving: Counter,
    /// Answers in which a backend server asked to receive nothing for some time.
    notices_hold_off: Counter,
    /// The number of those answers whose time could not be parsed.
    notices_garbled: Counter,
    /// Answers in which a backend server announced a rate limit.
    notices_limit: Counter,
    /// Answers with a rate limit that could not be parsed.
    notices_limit_garbled: Counter,
    /// Granted permits for requests to rate-limited backend servers, by service.
    permits: Family<ServiceLabel, Counter>,
    /// Denied permits, by service.
    permits_denied: Family<ServiceLabel, Counter>,
    /// The sum of the rate limits that listed backend servers announce, by service.
    limits_per_s: Family<ServiceLabel, Gauge<f64, AtomicU64>>,
    /// The share of backend servers that no request has reached for two seconds, by service.
    idle_share: Family<ServiceLabel, Gauge<f64, AtomicU64>>,
    /// Requests that wait for a slot, by service and rank.
    queue_waiting: Family<RankLabel, Gauge>,
    /// Requests refused while their service is full, by service, rank and rule.
    queue_refused: Family<RefusedLabel, Counter>,
    /// The admitted share of a rank while requests wait, by service and rank.
    admission_level: Family<RankLabel, Gauge<f64, AtomicU64>>,
    /// Requests of callers that ask where to connect.
    pub questions: Counter,
    /// Configurations that could not be used.
    pub catalogs_refused: Counter,
    /// Records of backend servers that could not be used, one count for each revision.
    pub records_refused: Counter,
    /// Bytes of configuration and backend servers sent to other VMs that fetch them.
    pub news_bytes: Counter,
    /// Bytes exchanged with other data halls, by purpose.
    far_bytes: Family<CauseLabel, Counter>,
    /// The age of the knowledge of the store.
    pub store_age_seconds: Gauge<f64, AtomicU64>,
    /// The calls to the store under way.
    pub store_pending: Gauge,
    /// The duration of requests, in seconds.
    pub request_seconds: Histogram,
    /// The time that requests waited for a slot, in seconds.
    pub waited_seconds: Histogram,
    /// The memory held for callers and backend servers.
    pub memory: MemoryMeters,
    /// The accepted connections.
    pub connections: ConnectionMeters,
}

impl Meters {
    /// Registers the metrics, including those of calls to the store.
    pub fn open(store: &Store) -> Meters {
        let buckets = || exponential_buckets(0.001, 2.0, 15);
        let mut meters = Meters {
            registry: Registry::with_prefix("leverstream"),
            requests: Counter::default(),
            refusals: Family::default(),
            cut_answers: Family::default(),
            allotment_requests: Family::default(),
            attempts: Counter::default(),
            relayed_out: Counter::default(),
            relayed_in: Counter::default(),
            links_lost: Gauge::default(),
            connects: Family::default(),
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
            idle_share: Family::default(),
            queue_waiting: Family::default(),
            queue_refused: Family::default(),
            admission_level: Family::default(),
            questions: Counter::default(),
            catalogs_refused: Counter::default(),
            records_refused: Counter::default(),
            news_bytes: Counter::default(),
            far_bytes: Family::default(),
            store_age_seconds: Gauge::default(),
            store_pending: Gauge::default(),
            request_seconds: Histogram::new(buckets()),
            waited_seconds: Histogram::new(buckets()),
            memory: MemoryMeters::default(),
            connections: ConnectionMeters::default(),
        };
        let registry = &mut meters.registry;
        let counts = [
            (CallKind::List, "store_lists"),
            (CallKind::Watch, "store_watches"),
            (CallKind::Revision, "store_revisions"),
        ];
        for (call, name) in counts {
            let calls = store.calls();
            register_counter(registry, name, "Calls to the store", move || calls.count(call));
        }
        let calls = store.calls();
        let help = "Calls to the store without a useful answer";
        register_counter(registry, "store_failures", help, move || calls.failures());
        let help = "Calls to the store under way";
        registry.register("store_pending", help, meters.store_pending.clone());
        let help = "Age of the knowledge of the store";
        registry.register("store_age_seconds", help, meters.store_age_seconds.clone());
        registry.register("requests", "Requests of callers", meters.requests.clone());
        registry.register("refusals", "Own answers by kind", meters.refusals.clone());
        let help = "Requests that ended without a whole answer, by cause";
        registry.register("answers_cut", help, meters.cut_answers.clone());
        let help = "Requests of workspaces with allotments, by rank and outcome";
        registry.register("allotment_requests", help, meters.allotment_requests.clone());
        registry.register("attempts", "Requests to backend servers", meters.attempts.clone());
        let help = "Requests passed on to other VMs";
        registry.register("relayed_out", help, meters.relayed_out.clone());
        let help = "Requests passed on by other VMs";
        registry.register("relayed_in", help, meters.relayed_in.clone());
        let help = "Whether own links to backend servers are lost";
        registry.register("links_lost", help, meters.links_lost.clone());
        let help = "Connections to backend servers, by how their opening ended";
        registry.register("connects", help, meters.connects.clone());
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
        let help = "The share of backend servers without a failure or a request in two seconds";
        registry.register("idle_share", help, meters.idle_share.clone());
        let help = "Requests that wait for a slot, by service and rank";
        registry.register("queue_waiting", help, meters.queue_waiting.clone());
        let help = "Requests refused while their service is full, by service, rank and reason";
        registry.register("queue_refused", help, meters.queue_refused.clone());
        let help = "The admitted share of a rank while requests wait, by service and rank";
        registry.register("admission_level", help, meters.admission_level.clone());
        registry.register("questions", "Questions where to connect", meters.questions.clone());
        registry.register(
            "catalogs_refused",
            "Configurations that could not be used",
            meters.catalogs_refused.clone(),
        );
        let help = "Records of backend servers that could not be used";
        registry.register("records_refused", help, meters.records_refused.clone());
        let help = "Bytes of configuration and backend servers sent to other VMs";
        registry.register("news_bytes", help, meters.news_bytes.clone());
        let help = "Bytes exchanged with other data halls";
        registry.register("far_bytes", help, meters.far_bytes.clone());
        registry.register(
            "request_seconds",
            "How long requests took",
            meters.request_seconds.clone(),
        );
        registry.register(
            "waited_seconds",
            "How long requests waited for a slot",
            meters.waited_seconds.clone(),
        );
        meters.connections.register(registry);
        meters.memory.register(registry);
        meters
    }

    /// Counts a connection to a backend server.
    pub fn note_connect(&self, result: ConnectResult) {
        self.connects.get_or_create(&ConnectLabel { result }).inc();
    }

    /// Counts bytes exchanged with another data hall.
    pub fn count_cross_hall(&self, cause: CrossHallCause, bytes: usize) {
        self.far_bytes.get_or_create(&CauseLabel { cause }).inc_by(bytes as u64);
    }

    /// Records the present retry budget of a service.
    pub fn note_headroom(&self, service: &str, headroom: Headroom) {
        let label = ServiceLabel { service: service.to_owned() };
        self.repeats_spent.get_or_create(&label).set(headroom.spent);
        let allowed = headroom.spent + headroom.own + headroom.lent;
        self.repeats_allowed.get_or_create(&label).set(allowed);
    }

    /// Sets the number of listed backend servers in each state.
    pub fn set_backends(&self, state_counts: StateCounts) {
        let counts = [
            (BackendState::InService, state_counts.in_service),
            (BackendState::Leaving, state_counts.leaving),
            (BackendState::LeavingByWord, state_counts.leaving_announced),
            (BackendState::HoldingOff, state_counts.holding_off),
            (BackendState::Limited, state_counts.limited),
            (BackendState::Emptied, state_counts.emptied),
        ];
        for (state, count) in counts {
            self.backends.get_or_create(&StateLabel { state }).set(count.into());
        }
    }

    /// Counts a granted or denied permit for a request to a rate-limited backend server.
    pub fn note_permit(&self, service: &str, is_granted: bool) {
        let count = if is_granted { &self.permits } else { &self.permits_denied };
        count.get_or_create(&ServiceLabel { service: service.to_owned() }).inc();
    }

    /// Sets the sum of the announced rate limits of each service.
    pub fn set_limits(&self, limits: impl IntoIterator<Item = (String, f64)>) {
        self.limits_per_s.clear();
        for (service, per_s) in limits {
            self.limits_per_s.get_or_create(&ServiceLabel { service }).inc_by(per_s);
        }
    }

    /// Counts a notice of a backend server.
    pub fn note_notice(&self, notice: Notice) {
        self.notices_leaving.inc_by(u64::from(notice.is_leaving));
        let has_hold_off = notice.hold_off_ms.is_some() || notice.is_hold_off_malformed;
        self.notices_hold_off.inc_by(u64::from(has_hold_off));
        self.notices_garbled.inc_by(u64::from(notice.is_hold_off_malformed));
        self.notices_limit.inc_by(u64::from(notice.limit_per_s.is_some()));
        self.notices_limit_garbled.inc_by(u64::from(notice.is_limit_malformed));
    }

    /// Sets the share of a service's backend servers without work.
    pub fn set_idle_share(&self, service: &str, share: f64) {
        let label = ServiceLabel { service: service.to_owned() };
        self.idle_share.get_or_create(&label).set(share);
    }

    /// Sets the number of waiting requests of each rank.
    pub fn set_waiting(&self, service: &str, by_rank: &[(QueueRank, usize)]) {
        for rank in Rank::all() {
            let of_rank = by_rank.iter().filter(|(other, _)| other.demand_rank() == rank);
            let count: usize = of_rank.map(|(_, count)| count).sum();
            let label = RankLabel { service: service.to_owned(), rank: rank.0 };
            self.queue_waiting.get_or_create(&label).set(count as i64);
        }
    }

    /// Counts a request refused while its service is full.
    pub fn note_refused(&self, service: &str, rank: u32, by: RefusedBy) {
        let label = RefusedLabel { service: service.to_owned(), rank, reason: by.name() };
        self.queue_refused.get_or_create(&label).inc();
    }

    /// Sets the admitted share of each rank.
    pub fn set_level(&self, service: &str, level: &Level) {
        for rank in Rank::all() {
            let label = RankLabel { service: service.to_owned(), rank: rank.0 };
            self.admission_level.get_or_create(&label).set(level.share(rank));
        }
    }

    /// Counts a request of a workspace with an allotment.
    pub fn note_allotment(&self, rank: u32, outcome: AllotmentOutcome) {
        self.allotment_requests.get_or_create(&AllotmentLabel { rank, outcome }).inc();
    }

    /// Counts a request that ended without a whole answer.
    pub fn note_cut(&self, cause: CutCause) {
        self.cut_answers.get_or_create(&CutLabel { cause }).inc();
    }

    /// Counts an error answer that the VM itself gives.
    pub fn note_error_answer(&self, kind: Kind) {
        self.refusals.get_or_create(&KindLabel { kind: kind.to_string() }).inc();
    }
}

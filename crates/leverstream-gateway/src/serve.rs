use std::cell::Cell;
use std::rc::Rc;

use actix_http::body::BoxBody;
use actix_http::{Request, Response};
use leverstream_catalog::{Catalog, Route};
use leverstream_error::Kind;
use leverstream_health::BackendKey;
use leverstream_wire::Answer;
use rand::Rng;
use tracing::info;

use crate::attempt::{Tried, attempt};
use crate::gateway::Inner;
use crate::inbound::Inbound;
use crate::reply;
use crate::slot::{self, Want};

/// How many times a request may be sent on after backend servers that did not run it, besides the
/// route's attempts.
const UNRUN_LIMIT: u32 = 3;

/// The time assumed for a route's answers before one was seen, as a part of its objective.
const USUAL_PART: f64 = 0.4;

/// How many times its usual time a request must have left before a planned stop ends.
const STOP_FACTOR: f64 = 3.0;

/// How much one answer changes what is thought of a route's usual time.
const USUAL_STEP: f64 = 0.05;

/// Answers a caller's request.
pub(crate) async fn serve(inner: Rc<Inner>, request: Request) -> Response<BoxBody> {
    let arrived_ms = inner.now_ms();
    inner.meters.requests.inc();
    let _counted = Counted::open(&inner);
    let mut trail = Trail::default();
    let result = handle(&inner, request, arrived_ms, &mut trail).await;
    let took_ms = inner.now_ms().saturating_sub(arrived_ms);
    inner.meters.seconds.observe(took_ms as f64 / 1000.0);
    let mut response = match result {
        Ok(answer) => {
            trail.log(&inner, answer.status, "answered", took_ms);
            reply::pass_on(answer)
        }
        Err(kind) => {
            inner.meters.refuse(kind);
            let response = reply::refuse(kind);
            trail.log(&inner, response.status().as_u16(), &kind.to_string(), took_ms);
            response
        }
    };
    if inner.stopping_since_ms.get().is_some() {
        response.head_mut().set_connection_type(actix_http::ConnectionType::Close);
    }
    response
}

/// What is known of a request by its end, for the log.
#[derive(Default)]
struct Trail {
    /// The caller's id.
    id: String,
    /// The route.
    route: String,
    /// The service.
    service: String,
    /// The version of the configuration that decided.
    version: u64,
    /// How often it was sent to a backend server.
    sends: u32,
    /// How long it waited for slots.
    waited_ms: u64,
    /// The last backend server.
    backend: String,
}

/// A request on its way through the VM.
struct Passing<'a> {
    /// The VM.
    inner: &'a Rc<Inner>,
    /// The request.
    request: &'a Inbound,
    /// Its route.
    route: &'a Route,
    /// Its service.
    service: &'a str,
    /// When it arrived.
    arrived_ms: u64,
    /// When it must have been answered.
    deadline_ms: u64,
}

/// Reads a request, finds its route and has it run.
async fn handle(
    inner: &Rc<Inner>,
    mut request: Request,
    arrived_ms: u64,
    trail: &mut Trail,
) -> Result<Answer, Kind> {
    let mut inbound = Inbound::open(&request)?;
    trail.id = inbound.id.clone().unwrap_or_default();
    let catalog = inner.catalog().filter(|_| inner.has_fleet.get()).ok_or(Kind::NoCatalog)?;
    trail.version = catalog.version;
    inbound.read_body(request.take_payload(), catalog.limits.body_bytes).await?;
    let route = find_route(&catalog, &inbound)?;
    trail.route.clone_from(&route.name);
    let point: f64 = rand::rng().random();
    let target = route.target_at(point).ok_or(Kind::RouteUnknown)?;
    trail.service.clone_from(&target.service);
    let patience_ms = inbound.patience_ms.unwrap_or(route.timeout_ms);
    let passing = Passing {
        inner,
        request: &inbound,
        route,
        service: &target.service,
        arrived_ms,
        deadline_ms: arrived_ms + patience_ms.min(route.timeout_ms),
    };
    passing.run(trail).await
}

/// Finds the route of a request.
fn find_route<'a>(catalog: &'a Catalog, request: &Inbound) -> Result<&'a Route, Kind> {
    catalog.route(&request.host, request.path()).ok_or(Kind::RouteUnknown)
}

impl Passing<'_> {
    /// Sends the request to backend servers until one has answered it for good.
    async fn run(&self, trail: &mut Trail) -> Result<Answer, Kind> {
        self.check_stop()?;
        self.note_request();
        let mut tried: Vec<BackendKey> = Vec::new();
        let mut ran = 0;
        let mut failed: Option<Result<Answer, Kind>> = None;
        loop {
            let slot = match self.take_slot(&tried, trail).await {
                Ok(slot) => slot,
                Err(kind) => return last_word(failed, kind),
            };
            tried.push(slot.key);
            trail.sends += 1;
            trail.backend = self.inner.fleet.borrow().target(slot.key).1.to_owned();
            let is_repeatable = self.route.is_repeatable;
            let result =
                attempt(self.inner, slot, self.request, is_repeatable, self.deadline_ms).await;
            let may_repeat = match result {
                Tried::Answered(answer) if answer.status < 500 => {
                    self.note_time();
                    return Ok(answer);
                }
                Tried::Answered(answer) => {
                    ran += 1;
                    failed = Some(self.failed_answer(answer));
                    is_repeatable
                }
                Tried::MayHaveRun(kind) => {
                    ran += 1;
                    failed = Some(Err(kind));
                    is_repeatable
                }
                Tried::NotRun(kind) => {
                    failed = Some(failed.unwrap_or(Err(kind)));
                    true
                }
            };
            let has_attempts =
                ran < self.route.attempts && trail.sends < self.route.attempts + UNRUN_LIMIT;
            if !may_repeat || !has_attempts || !self.may_repeat() {
                return last_word(failed, Kind::NoSlot);
            }
        }
    }

    /// Refuses a request that a planned stop would cut.
    fn check_stop(&self) -> Result<(), Kind> {
        let Some(ends_ms) = self.inner.stop_ends_ms() else { return Ok(()) };
        let left_ms = ends_ms.saturating_sub(self.arrived_ms) as f64;
        if left_ms < STOP_FACTOR * self.usual_ms() { Err(Kind::Stopping) } else { Ok(()) }
    }

    /// Takes a slot at a backend server.
    async fn take_slot(&self, tried: &[BackendKey], trail: &mut Trail) -> Result<slot::Slot, Kind> {
        let began_ms = self.inner.now_ms();
        let want = Want {
            service: self.service,
            is_repeatable: self.route.is_repeatable,
            priority: self.route.priority,
            tried,
            usual_ms: self.usual_ms(),
            objective_ms: self.route.objective_ms,
            until_ms: self.deadline_ms.saturating_sub(self.usual_ms() as u64 / 2),
        };
        let slot = slot::take(self.inner, &want).await;
        let waited_ms = self.inner.now_ms().saturating_sub(began_ms);
        self.inner.meters.waited_seconds.observe(waited_ms as f64 / 1000.0);
        trail.waited_ms += waited_ms;
        slot
    }

    /// Counts the request towards what may be repeated.
    fn note_request(&self) {
        let now_ms = self.inner.now_ms();
        let mut services = self.inner.services.borrow_mut();
        services.entry(self.service.to_owned()).or_default().window.request(now_ms);
    }

    /// Takes a repeat out of the VM's part of the allowance.
    fn may_repeat(&self) -> bool {
        let now_ms = self.inner.now_ms();
        if now_ms >= self.deadline_ms {
            return false;
        }
        let allowance = self.inner.settings.allowance();
        let slack_part = self.inner.mesh.slack_part(allowance.window_ms, now_ms);
        let mut services = self.inner.services.borrow_mut();
        let window = &mut services.entry(self.service.to_owned()).or_default().window;
        let may = window.take(allowance, slack_part, now_ms);
        if may {
            self.inner.meters.repeats.inc()
        } else {
            self.inner.meters.repeats_denied.inc()
        };
        may
    }

    /// What an answer that tells of a failure is passed on as.
    ///
    /// One that says the request did not run, without the mark that makes it true, is not passed on
    /// for a request that must not run again.
    fn failed_answer(&self, answer: Answer) -> Result<Answer, Kind> {
        let promises = matches!(answer.status, 503 | 429 | 408);
        if promises && !self.route.is_repeatable { Err(Kind::AnswerInvalid) } else { Ok(answer) }
    }

    /// How long answers of this route usually take.
    fn usual_ms(&self) -> f64 {
        let usual = self.inner.usual_ms.borrow().get(&self.route.name).copied();
        usual.unwrap_or(self.route.objective_ms as f64 * USUAL_PART)
    }

    /// Notes how long a sound answer took.
    fn note_time(&self) {
        let took_ms = self.inner.now_ms().saturating_sub(self.arrived_ms) as f64;
        let usual_ms = self.usual_ms();
        let mut times = self.inner.usual_ms.borrow_mut();
        times.insert(self.route.name.clone(), usual_ms + USUAL_STEP * (took_ms - usual_ms));
    }
}

/// The final answer of a request that could not be served: what became of an attempt, if one was
/// made that tells more than that there was no other.
fn last_word(failed: Option<Result<Answer, Kind>>, otherwise: Kind) -> Result<Answer, Kind> {
    match failed {
        Some(Ok(answer)) => Ok(answer),
        Some(Err(kind)) => Err(kind.and_then(otherwise)),
        None => Err(otherwise),
    }
}

impl Trail {
    /// Writes the line of a request's end.
    fn log(&self, inner: &Inner, status: u16, outcome: &str, took_ms: u64) {
        let Trail { id, route, service, version, sends, waited_ms, backend } = self;
        let peers = inner.mesh.sharers();
        info!(
            id,
            route,
            service,
            version,
            sends,
            waited_ms,
            backend,
            status,
            outcome,
            took_ms,
            peers,
            "request"
        );
    }
}

/// Counts a request as under way.
struct Counted<'a>(&'a Cell<u32>);

impl Counted<'_> {
    /// Counts one more.
    fn open(inner: &Inner) -> Counted<'_> {
        inner.in_flight.set(inner.in_flight.get() + 1);
        Counted(&inner.in_flight)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

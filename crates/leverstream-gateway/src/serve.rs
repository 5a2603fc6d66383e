use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{Request, Response};
use leverstream_catalog::{Catalog, Route};
use leverstream_core::Availability;
use leverstream_error::Kind;
use leverstream_route::Claim;
use leverstream_wire::Answer;
use rand::Rng;
use tracing::info;

use crate::authorize::Gate;
use crate::forward::{Forward, Sends};
use crate::gateway::Inner;
use crate::inbound::Inbound;
use crate::reply::{self, Refusal};

/// How long a request waits for a VM that has just started to read the configuration and the backend servers,
/// which takes a tenth of a second where a fifth of a core reads a thousand backend servers.
const START_HOLD_MS: u64 = 250;

/// Over how long callers come back to a service that wanted nothing for a while, in milliseconds: some times what its work
/// takes.
const RETURN_SPREAD_MS: u64 = 1_000;

/// How often it looks whether they are known.
const START_LOOK_MS: u64 = 10;

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
        Err(refusal) => {
            inner.meters.refuse(refusal.kind);
            let response = reply::refuse(refusal);
            let outcome = refusal.kind.to_string();
            trail.log(&inner, response.status().as_u16(), &outcome, took_ms);
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
    /// The workspace.
    workspace: String,
    /// How it went at backend servers.
    sends: Sends,
}

/// Reads a request, finds its route and has it run.
async fn handle(
    inner: &Rc<Inner>,
    mut request: Request,
    arrived_ms: u64,
    trail: &mut Trail,
) -> Result<Answer, Refusal> {
    let mut inbound = Inbound::open(&request)?;
    trail.id = inbound.id.clone().unwrap_or_default();
    let first = first_catalog(inner, arrived_ms).await?;
    trail.version = first.version;
    inbound.read_body(request.take_payload(), first.limits.body_bytes).await?;
    inbound.take_credentials(first.workspaces.is_some(), &inner.hasher);
    let gate = Gate {
        clock: inner.clock,
        leases: &inner.leases,
        admission: &inner.admission,
        mesh: &inner.mesh,
    };
    let route = find_route(&first, &inbound)?;
    trail.route.clone_from(&route.name);
    gate.until_sure(&first, route, inbound.credentials).await?;
    // Another configuration may have come into force meanwhile.
    let catalog = inner.catalog().unwrap_or(first);
    trail.version = catalog.version;
    let route = find_route(&catalog, &inbound)?;
    trail.route.clone_from(&route.name);
    let point: f64 = rand::rng().random();
    let target = route.target_at(point).ok_or(Kind::RouteUnknown)?;
    trail.service.clone_from(&target.service);
    let admitted = gate.admit(&catalog, route, inbound.credentials, &trail.id).await;
    if admitted.as_ref().is_err_and(|refusal| refusal.kind == Kind::RateLimited) {
        note_refused(inner, &target.service);
    }
    let admitted = admitted?;
    if let Some(admitted) = &admitted {
        trail.workspace.clone_from(&admitted.name);
        inbound.workspace = Some(admitted.name.clone());
    }
    let patience_ms = inbound.patience_ms.unwrap_or(route.timeout_ms);
    let route_key = inner.fleet.borrow_mut().route_key(&route.name, route.objective_ms);
    let forward = Forward {
        inner,
        request: &inbound,
        workspace: admitted.as_ref(),
        route,
        service: &target.service,
        arrived_ms,
        deadline_ms: arrived_ms + patience_ms.min(route.timeout_ms),
        route_key,
    };
    let result = forward.run(&trail.sends).await;
    result.map_err(|kind| refusal(inner, kind, &target.service))
}

/// Says when a request that could not be served may come again.
fn refusal(inner: &Inner, kind: Kind, service: &str) -> Refusal {
    if kind != Kind::BackendsHoldOff {
        return kind.into();
    }
    let now_ms = inner.now_ms();
    let (from_ms, over_ms) = match inner.fleet.borrow().availability(service, now_ms) {
        // Not all at once, and after the first ones that try how much is wanted again.
        Availability::HoldsOffUntil(until_ms) => (until_ms, RETURN_SPREAD_MS),
        // Over the time that the limits need for those that wait already, and once more.
        Availability::Limited { per_s, from_ms } => {
            let waiting =
                inner.services.borrow().get(service).map_or(0, |state| state.waiting.count());
            let needed_ms = ((waiting + 1) as f64 / per_s * 1_000.0) as u64;
            (from_ms.max(now_ms).saturating_add(needed_ms), needed_ms.max(RETURN_SPREAD_MS))
        }
        Availability::Available | Availability::NoBackendServer => return kind.into(),
    };
    let spread_ms = rand::rng().random_range(0..=over_ms);
    let retry_after_ms = from_ms.saturating_sub(now_ms).saturating_add(spread_ms);
    Refusal { kind, retry_after_ms: Some(retry_after_ms) }
}

/// The configuration in force; a VM that has just started is about to know it.
async fn first_catalog(inner: &Inner, arrived_ms: u64) -> Result<Rc<Catalog>, Kind> {
    inner.has_caller.set(true);
    while !inner.knows_all() && inner.now_ms() < arrived_ms + START_HOLD_MS {
        tokio::time::sleep(Duration::from_millis(START_LOOK_MS)).await;
    }
    inner.catalog().filter(|_| inner.has_fleet.get()).ok_or(Kind::NoCatalog)
}

/// Notes that a request was refused before it came to its service, which counts towards the floor.
fn note_refused(inner: &Inner, service: &str) {
    let now_ms = inner.now_ms();
    let mut services = inner.services.borrow_mut();
    services.entry(service.to_owned()).or_default().demand.note_refused(now_ms);
}

/// Finds the route of a request.
fn find_route<'a>(catalog: &'a Catalog, request: &Inbound) -> Result<&'a Route, Kind> {
    catalog.route(&request.host, request.path()).ok_or(Kind::RouteUnknown)
}

impl Trail {
    /// Writes the line of a request's end.
    fn log(&self, inner: &Inner, status: u16, outcome: &str, took_ms: u64) {
        let Trail { id, route, service, version, workspace, sends } = self;
        let keys_age_ms = inner.leases.age_ms(inner.now_ms());
        let (count, waited_ms) = (sends.count.get(), sends.waited_ms.get());
        let backend = &*sends.backend.borrow();
        let sharers = inner.mesh.entry_set.count();
        let backends_revision = inner.fleet.borrow().revision();
        let pick = sends.pick.get();
        let (load, slots) = pick.map_or((0, 0), |pick| (pick.choice.load, pick.choice.slots));
        let failure_chance = pick.map_or(0.0, |pick| pick.failure_chance());
        let among = pick.map_or(0, |pick| pick.among);
        let avoided = pick.map_or(0, |pick| pick.avoided);
        let is_owed = pick.is_some_and(|pick| pick.choice.claim == Claim::Owed);
        let is_far = pick.is_some_and(|pick| pick.choice.is_far());
        info!(
            id,
            route,
            service,
            version,
            workspace,
            keys_age_ms,
            backends_revision,
            sends = count,
            waited_ms,
            backend,
            load,
            slots,
            failure_chance,
            among,
            avoided,
            is_owed,
            is_far,
            status,
            outcome,
            took_ms,
            sharers,
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

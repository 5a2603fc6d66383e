//! Serves a caller's request: finds its route, admits its workspace, and forwards it.

use std::rc::Rc;
use std::time::Duration;

use actix_http::Request;
use leverstream_admission as admission;
use leverstream_catalog::{Catalog, Route, Target};
use leverstream_core::{Availability, RouteKey};
use leverstream_error::Kind;
use leverstream_peer::RelayedRequest;
use leverstream_wire::Answer;
use rand::Rng;

use crate::authorize::{AdmittedWorkspace, Authorizer};
use crate::connections::{OnWriteEnd, Reply};
use crate::forward::Forward;
use crate::gateway::Inner;
use crate::inbound::Inbound;
use crate::relay::{self, RelayPlan};
use crate::reply::{self, ErrorAnswer, body_bytes};
use crate::request_log::{ANSWERED, OpenLog, ReadyAnswer, RequestLog};
use crate::stop;

/// How long a request waits, on a VM that has just started, until the configuration and the backend
/// servers are read. With a fifth of a core, reading a thousand backend servers takes a tenth of a
/// second.
const STARTUP_WAIT_MS: u64 = 250;

/// The time over which the retries of callers are spread after a service has held off: a few times
/// the latency of a typical request.
const RETRY_SPREAD_MS: u64 = 1_000;

/// The interval at which a request that waits for startup checks whether the configuration and the
/// backend servers are known.
const STARTUP_CHECK_INTERVAL_MS: u64 = 10;

/// The time for reading a body on a route that is not known, in milliseconds.
const DEFAULT_BODY_MS: u64 = 30_000;

/// Answers a caller's request.
pub(crate) async fn serve(inner: Rc<Inner>, request: Request) -> Reply {
    let arrived_ms = inner.now_ms();
    let mut open_log = OpenLog::begin(&inner, arrived_ms);
    let result = handle(&inner, request, arrived_ms, &mut open_log.log).await;
    let took_ms = inner.now_ms().saturating_sub(arrived_ms);
    inner.meters.request_seconds.observe(took_ms as f64 / 1000.0);
    let (response, outcome) = match result {
        Ok(answer) => (reply::relay_answer(answer), ANSWERED.to_owned()),
        Err(error_answer) => {
            inner.meters.note_error_answer(error_answer.kind);
            (reply::error_response(error_answer), error_answer.kind.to_string())
        }
    };
    let ready_answer = ReadyAnswer {
        status: response.status().as_u16(),
        outcome,
        took_ms,
        body_bytes: body_bytes(&response),
    };
    let log = open_log.finish();
    let on_end: OnWriteEnd = Box::new(move |end| log.log(&inner, &ready_answer, end));
    Reply { response, on_end: Some(on_end) }
}

/// Reads a request, finds its route and forwards it.
async fn handle(
    inner: &Rc<Inner>,
    mut request: Request,
    arrived_ms: u64,
    request_log: &mut RequestLog,
) -> Result<Answer, ErrorAnswer> {
    let inbound = Inbound::parse(&request, inner.mesh.key());
    let is_relayed = inbound.as_ref().is_ok_and(|inbound| inbound.relayed.is_some());
    let counter = if is_relayed { &inner.meters.relayed_in } else { &inner.meters.requests };
    counter.inc();
    request_log.is_relayed = is_relayed;
    let mut inbound = inbound?;
    request_log.id = inbound.id.clone().unwrap_or_default();
    let initial = wait_for_catalog(inner, arrived_ms).await?;
    request_log.version = initial.version;
    let timeout_ms = body_timeout_ms(&initial, &inbound);
    let body_left_ms = timeout_ms.saturating_sub(inner.now_ms().saturating_sub(arrived_ms));
    let limit = initial.limits.body_bytes;
    let reading = inbound.read_body(request.take_payload(), limit, body_left_ms);
    stop::or_refuse(inner, reading).await?;
    inbound.take_credentials(initial.workspaces.is_some(), &inner.hasher);
    let authorizer = Authorizer {
        clock: inner.clock,
        leases: &inner.leases,
        admission: &inner.admission,
        mesh: &inner.mesh,
        meters: &inner.meters,
    };
    let route = find_route(&initial, &inbound)?;
    request_log.route.clone_from(&route.name);
    let certainty = authorizer.wait_until_certain(&initial, route, inbound.credentials);
    stop::or_refuse(inner, certainty).await?;
    // A newer configuration may have come into force during the wait.
    let catalog = inner.catalog().unwrap_or(initial);
    request_log.version = catalog.version;
    let route = find_route(&catalog, &inbound)?;
    request_log.route.clone_from(&route.name);
    let target = choose_target(route, inbound.relayed.as_ref()).ok_or(Kind::RouteUnknown)?;
    request_log.service.clone_from(&target.service);
    let caller_timeout_ms = inbound.caller_timeout_ms.unwrap_or(route.timeout_ms);
    let route_key = inner.fleet.borrow_mut().route_key(&route.name, route.objective_ms);
    let routed = Routed {
        inner,
        catalog: &catalog,
        route,
        service: &target.service,
        arrived_ms,
        deadline_ms: arrived_ms + caller_timeout_ms.min(route.timeout_ms),
        route_key,
    };
    stop::check_arrival(inner, route_key, arrived_ms, routed.deadline_ms)?;
    if inner.links.is_lost(routed.service) {
        return routed.pass_on(&inbound, 0, false, request_log).await;
    }
    routed.serve(&authorizer, &mut inbound, request_log).await
}

/// Returns the time within which a body must be whole: that of its route or of its caller, whichever is shorter.
fn body_timeout_ms(catalog: &Catalog, inbound: &Inbound) -> u64 {
    let route_ms = find_route(catalog, inbound).map_or(DEFAULT_BODY_MS, |route| route.timeout_ms);
    inbound.caller_timeout_ms.unwrap_or(u64::MAX).min(route_ms)
}

/// A request whose route and service are known.
struct Routed<'a> {
    /// The state of this gateway VM.
    inner: &'a Rc<Inner>,
    /// The configuration that is applied.
    catalog: &'a Catalog,
    /// The route.
    route: &'a Route,
    /// The service.
    service: &'a str,
    /// When the request arrived.
    arrived_ms: u64,
    /// The time by which it must be answered.
    deadline_ms: u64,
    /// The key of the route's statistics.
    route_key: RouteKey,
}

impl Routed<'_> {
    /// Admits the request and forwards it to backend servers; passes it on if this VM loses its links
    /// to them meanwhile.
    async fn serve(
        &self,
        authorizer: &Authorizer<'_>,
        inbound: &mut Inbound,
        request_log: &mut RequestLog,
    ) -> Result<Answer, ErrorAnswer> {
        let Routed { inner, route, service, .. } = *self;
        let admitted = self.admit(authorizer, inbound, request_log).await?;
        if let Some(relayed) = &inbound.relayed {
            request_log.sends.add_earlier(relayed.ran);
        }
        let forward = Forward {
            inner,
            request: inbound,
            workspace: admitted.as_ref(),
            route,
            service,
            arrived_ms: self.arrived_ms,
            deadline_ms: self.deadline_ms,
            route_key: self.route_key,
            is_counted: is_counted(inbound),
        };
        let kind = match forward.run(&request_log.sends).await {
            Ok(answer) => return Ok(answer),
            Err(kind) => kind,
        };
        let sends = &request_log.sends;
        let may_relay = inbound.relayed.is_none() && (sends.is_unrun() || route.is_repeatable);
        if may_relay && inner.links.is_lost(service) && is_link_error(kind) {
            return self.pass_on(inbound, sends.ran.get(), true, request_log).await;
        }
        Err(error_answer(inner, kind, service))
    }

    /// Admits the request for its workspace, unless another VM has done so.
    async fn admit(
        &self,
        authorizer: &Authorizer<'_>,
        inbound: &mut Inbound,
        request_log: &mut RequestLog,
    ) -> Result<Option<AdmittedWorkspace>, ErrorAnswer> {
        let Routed { inner, catalog, route, service, arrived_ms, .. } = *self;
        let (id, credentials) = (&request_log.id, inbound.credentials);
        let admitted = if is_counted(inbound) {
            authorizer.identify(catalog, route, credentials, id)
        } else {
            let admission = authorizer.admit(catalog, route, credentials, id, arrived_ms);
            stop::or_refuse(inner, admission).await
        };
        if admitted.as_ref().is_err_and(|error_answer| error_answer.kind == Kind::RateLimited) {
            note_rate_limited(inner, service);
        }
        let admitted = admitted?;
        if let Some(admitted) = &admitted {
            request_log.workspace.clone_from(&admitted.name);
            inbound.workspace = Some(admitted.name.clone());
        }
        Ok(admitted)
    }

    /// Passes the request on to another VM, as this one's own links to the service are lost; `ran` is
    /// the number of backend servers that may have run it. A request that was passed on to this VM
    /// goes no further.
    async fn pass_on(
        &self,
        inbound: &Inbound,
        ran: u32,
        is_counted: bool,
        request_log: &mut RequestLog,
    ) -> Result<Answer, ErrorAnswer> {
        if inbound.relayed.is_some() {
            return Err(Kind::RelayLoop.into());
        }
        let plan = RelayPlan {
            service: self.service,
            is_repeatable: self.route.is_repeatable,
            deadline_ms: self.deadline_ms,
            ran,
            is_counted,
        };
        Ok(relay::pass_on(self.inner, inbound, plan, &mut request_log.relayed_to).await?)
    }
}

/// Tells whether another VM, which has passed the request on, has counted it.
fn is_counted(inbound: &Inbound) -> bool {
    inbound.relayed.as_ref().is_some_and(|relayed| relayed.is_counted)
}

/// Tells whether an error may come from lost links, so that another VM may serve the request.
fn is_link_error(kind: Kind) -> bool {
    matches!(kind, Kind::ConnectFailed | Kind::NoSlot | Kind::AnswerCut | Kind::SendFailed)
}

/// Chooses the service of a request among those of its route. A VM that passes a request on has
/// chosen already; a second choice would shift the weights.
fn choose_target<'a>(route: &'a Route, relayed: Option<&RelayedRequest>) -> Option<&'a Target> {
    let is_chosen = |target: &&Target| relayed.is_some_and(|it| it.service == target.service);
    let chosen = route.targets.iter().find(is_chosen);
    chosen.or_else(|| route.target_at(rand::rng().random()))
}

/// Builds the error answer to a request that could not be served, with the time at which its caller
/// may retry.
fn error_answer(inner: &Inner, kind: Kind, service: &str) -> ErrorAnswer {
    let now_ms = inner.now_ms();
    if matches!(kind, Kind::NoSlot | Kind::Shed | Kind::NoBackend) {
        return ErrorAnswer { kind, retry_after_ms: retry_after_ms(inner, service, now_ms) };
    }
    if kind != Kind::BackendsHoldOff {
        return kind.into();
    }
    let (from_ms, over_ms) = match inner.fleet.borrow().availability(service, now_ms) {
        // Retries are spread, and follow the first requests that test whether the hold-off is over.
        Availability::HoldsOffUntil(until_ms) => (until_ms, RETRY_SPREAD_MS),
        // Retries start after the time that the limits need for the requests that already wait, and
        // are spread over as long again.
        Availability::Limited { per_s, from_ms } => {
            let waiting =
                inner.services.borrow().get(service).map_or(0, |state| state.wait_queue.count());
            let needed_ms = ((waiting + 1) as f64 / per_s * 1_000.0) as u64;
            (from_ms.max(now_ms).saturating_add(needed_ms), needed_ms.max(RETRY_SPREAD_MS))
        }
        Availability::Available | Availability::NoBackendServer => return kind.into(),
    };
    let spread_ms = rand::rng().random_range(0..=over_ms);
    let retry_after_ms = from_ms.saturating_sub(now_ms).saturating_add(spread_ms);
    ErrorAnswer { kind, retry_after_ms: Some(retry_after_ms) }
}

/// Returns after how long the caller of a full service may retry; none unless the rate of granted
/// slots is known and ranks count.
fn retry_after_ms(inner: &Inner, service: &str, now_ms: u64) -> Option<u64> {
    if !inner.serves_by_rank() {
        return None;
    }
    let mut services = inner.services.borrow_mut();
    let rate = &mut services.get_mut(service)?.grant_rate;
    let granted_per_s = rate.per_s(now_ms)?;
    Some(admission::retry_after_ms(rate.waiting(), granted_per_s, &mut rand::rng()))
}

/// Returns the configuration in force; on a VM that has just started, waits until it is known.
async fn wait_for_catalog(inner: &Inner, arrived_ms: u64) -> Result<Rc<Catalog>, Kind> {
    inner.has_caller.set(true);
    while !inner.has_initial_state() && inner.now_ms() < arrived_ms + STARTUP_WAIT_MS {
        tokio::time::sleep(Duration::from_millis(STARTUP_CHECK_INTERVAL_MS)).await;
    }
    inner.catalog().filter(|_| inner.has_fleet.get()).ok_or(Kind::NoCatalog)
}

/// Records that a request was refused before it reached its service, which counts towards the
/// service's floor.
fn note_rate_limited(inner: &Inner, service: &str) {
    let now_ms = inner.now_ms();
    let mut services = inner.services.borrow_mut();
    services.entry(service.to_owned()).or_default().demand.note_refused(now_ms);
}

/// Returns the route of a request.
fn find_route<'a>(catalog: &'a Catalog, request: &Inbound) -> Result<&'a Route, Kind> {
    catalog.route(&request.host, request.path()).ok_or(Kind::RouteUnknown)
}

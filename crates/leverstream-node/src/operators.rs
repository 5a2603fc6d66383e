use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use actix::Addr;
use actix_web::body::MessageBody;
use actix_web::dev::{ServiceRequest, ServiceResponse};
use actix_web::http::StatusCode;
use actix_web::middleware::Next;
use actix_web::web::{Data, Json, Path, ServiceConfig};
use actix_web::{HttpResponse, ResponseError, web};
use futures_util::StreamExt;
use leverstream_error::{KIND_HEADER, Kind, OUTCOME_HEADER};
use leverstream_health::{Standing, View};
use leverstream_member::MemberState;
use leverstream_observe::Registry;
use leverstream_table::{Edit, ServiceDoc};
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

use crate::control::Control;
use crate::messages::{GetHealth, GetStatus, ListDocs, MakeEdit};
use crate::peers;
use crate::service::Service;

/// How many VMs are asked at once for the versions they hold.
const ASKED_AT_ONCE: usize = 64;

/// The largest edit that is read, in bytes.
const EDIT_LIMIT_BYTES: usize = 1 << 20;

/// What the operators' listener shares between its requests.
pub struct Desk {
    /// The control thread.
    pub control: Addr<Control>,
    /// The bearer key.
    pub key: String,
    /// The metrics.
    pub registry: Arc<Registry>,
}

/// The answer to an edit that has landed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditReply {
    /// The version that the edit made.
    pub version: u64,
    /// Whether an earlier try of the same edit had landed already.
    pub landed_before: bool,
}

/// An operator's request that failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// The kind's name.
    pub error: String,
    /// What became of the request.
    pub outcome: String,
    /// What happened, in a sentence.
    pub detail: String,
}

/// The state of the fleet, as one process sees it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct StatusReport {
    /// The process that reports.
    pub vm: String,
    /// Its number.
    pub id: String,
    /// The members that are not dead.
    pub members: Vec<MemberReport>,
    /// The versions of the services, and how many VMs have them.
    pub services: BTreeMap<String, InForce>,
    /// Milliseconds since the store or another VM was heard.
    pub news_age_ms: u64,
    /// Whether the process hears no other.
    pub is_isolated: bool,
    /// Whether it is stopping as planned.
    pub is_stopping: bool,
}

/// How far a version is in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// The highest version that any VM holds.
    pub version: u64,
    /// How many VMs hold it.
    pub vms_with_it: usize,
    /// How many VMs answered.
    pub vms_asked: usize,
    /// Whether leverstream serves the service.
    pub taken_over: bool,
}

/// A member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberReport {
    /// Its process.
    pub id: String,
    /// Its hall.
    pub hall: String,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where other VMs connect.
    pub peer_address: SocketAddr,
    /// Its state.
    pub state: String,
}

/// The health of a service's backend servers at one VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HealthReport {
    /// The service.
    pub service: String,
    /// The share of the weight that is in service.
    pub capacity: f64,
    /// The share that ejection must leave.
    pub floor: f64,
    /// Requests that wait here for a slot.
    pub queued: usize,
    /// The backend servers.
    pub backends: Vec<BackendReport>,
}

/// A backend server's health, with the reasons for it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BackendReport {
    /// Its name.
    pub backend: String,
    /// Where it stands.
    pub standing: String,
    /// Why it was ejected, if it is.
    pub reason: String,
    /// When it may be tried, in milliseconds from now, if it is ejected.
    pub trial_in_ms: Option<u64>,
    /// The score of this VM's own work and checks.
    pub own_score: f64,
    /// The score on which several VMs agree.
    pub agreed_score: Option<f64>,
    /// The score from which it is ejected.
    pub eject_score: u16,
    /// From which time work counts as slow.
    pub slow_ms: f64,
    /// Good answers since the start.
    pub good: u64,
    /// Units of bad evidence since the start.
    pub bad: u64,
    /// This VM's requests under way there.
    pub in_flight: u32,
    /// Other VMs' requests under way there, as last told.
    pub others_in_flight: u32,
    /// Whether it says that it drains.
    pub is_draining: bool,
    /// Whether its row says that it leaves.
    pub is_leaving: bool,
}

impl Failure {
    /// Describes a failure.
    pub fn new(kind: Kind, detail: &str) -> Failure {
        Failure {
            error: kind.to_string(),
            outcome: kind.answer().outcome.to_string(),
            detail: detail.to_owned(),
        }
    }

    /// The kind.
    pub fn kind(&self) -> Kind {
        Kind::from_name(&self.error).unwrap_or(Kind::BadRequest)
    }
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.error, self.detail)
    }
}

impl ResponseError for Failure {
    fn status_code(&self) -> StatusCode {
        StatusCode::from_u16(self.kind().answer().status).unwrap_or(StatusCode::BAD_REQUEST)
    }

    fn error_response(&self) -> HttpResponse {
        HttpResponse::build(self.status_code())
            .insert_header((KIND_HEADER, self.error.clone()))
            .insert_header((OUTCOME_HEADER, self.outcome.clone()))
            .json(self)
    }
}

/// Sets up the operators' listener.
pub fn configure(config: &mut ServiceConfig) {
    let json = web::JsonConfig::default()
        .limit(EDIT_LIMIT_BYTES)
        .error_handler(|error, _| Failure::new(Kind::BadRequest, &error.to_string()).into());
    config.app_data(json).route("/metrics", web::get().to(metrics)).service(
        web::scope("/v1")
            .wrap(actix_web::middleware::from_fn(check_key))
            .route("/table", web::get().to(table))
            .route("/table/{service}", web::get().to(table_of))
            .route("/edits", web::post().to(make_edit))
            .route("/status", web::get().to(get_status))
            .route("/health/{service}", web::get().to(get_health)),
    );
}

/// Refuses a request that does not show the operators' key.
async fn check_key(
    request: ServiceRequest,
    next: Next<impl MessageBody>,
) -> Result<ServiceResponse<impl MessageBody>, actix_web::Error> {
    let shown = request.headers().get("authorization").and_then(|value| value.to_str().ok());
    let shown = shown.and_then(|value| value.strip_prefix("Bearer ")).unwrap_or_default();
    let fits = request
        .app_data::<Data<Desk>>()
        .is_some_and(|desk| bool::from(desk.key.as_bytes().ct_eq(shown.as_bytes())));
    if !fits {
        log::warn!("operators: a request without the key was refused.");
        return Err(Failure::new(Kind::Unauthorized, "show the operators' key").into());
    }
    next.call(request).await
}

/// Answers with the metrics.
async fn metrics(desk: Data<Desk>) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("application/openmetrics-text; version=1.0.0; charset=utf-8")
        .body(leverstream_observe::encode(&desk.registry))
}

/// Answers with all documents.
async fn table(desk: Data<Desk>) -> Result<HttpResponse, Failure> {
    let docs = desk.control.send(ListDocs { service: None }).await.map_err(stopping)?;
    Ok(HttpResponse::Ok().json(docs))
}

/// Answers with one document.
async fn table_of(desk: Data<Desk>, service: Path<String>) -> Result<HttpResponse, Failure> {
    let service = service.into_inner();
    let wanted = ListDocs { service: Some(service.clone()) };
    let docs: Vec<Arc<ServiceDoc>> = desk.control.send(wanted).await.map_err(stopping)?;
    let doc = docs.first().ok_or_else(|| unknown(&service))?;
    Ok(HttpResponse::Ok().json(doc))
}

/// Makes an edit.
async fn make_edit(desk: Data<Desk>, edit: Json<Edit>) -> Result<HttpResponse, Failure> {
    let reply = desk.control.send(MakeEdit(edit.into_inner())).await.map_err(stopping)??;
    Ok(HttpResponse::Ok().json(reply))
}

/// Answers with the state of the fleet.
async fn get_status(desk: Data<Desk>) -> Result<HttpResponse, Failure> {
    let report = desk.control.send(GetStatus).await.map_err(stopping)?;
    Ok(HttpResponse::Ok().json(report))
}

/// Answers with the health of a service's backend servers.
async fn get_health(desk: Data<Desk>, service: Path<String>) -> Result<HttpResponse, Failure> {
    let service = service.into_inner();
    let wanted = GetHealth { service: service.clone() };
    let report = desk.control.send(wanted).await.map_err(stopping)?;
    Ok(HttpResponse::Ok().json(report.ok_or_else(|| unknown(&service))?))
}

/// The service is not in the table, or not served by this VM.
fn unknown(service: &str) -> Failure {
    Failure::new(Kind::ServiceUnknown, &format!("`{service}` is not here"))
}

/// The control thread is gone.
#[allow(clippy::needless_pass_by_value, reason = "used as an argument of map_err")]
fn stopping(_: actix::MailboxError) -> Failure {
    Failure::new(Kind::Stopping, "the process is stopping")
}

/// Puts the state of the fleet together, asking the members which versions they hold.
pub fn status(control: &Control) -> impl Future<Output = StatusReport> + use<> {
    let now_ms = control.proxy.now_ms();
    let me = control.swim.me().identity.id;
    let mut report = StatusReport {
        vm: control.settings.vm.clone(),
        id: format!("{me:016x}"),
        members: control.members.list.iter().map(member_report).collect(),
        services: BTreeMap::new(),
        news_age_ms: control.news_age_ms(now_ms),
        is_isolated: control.swim.is_isolated(),
        is_stopping: control.leaving_since_ms.is_some(),
    };
    for doc in control.book.docs().values().filter(|doc| !doc.removed) {
        let in_force = InForce {
            version: doc.version,
            vms_with_it: 1,
            vms_asked: 1,
            taken_over: doc.row.taken_over,
        };
        report.services.insert(doc.service.clone(), in_force);
    }
    let others: Vec<SocketAddr> = control
        .members
        .list
        .iter()
        .filter(|member| member.identity.id != me)
        .map(|member| member.identity.peer_address)
        .collect();
    let channels = control.channels.clone();
    async move {
        let asked = futures_util::stream::iter(others)
            .map(|peer| {
                let channels = channels.clone();
                async move { peers::versions(&channels, peer).await }
            })
            .buffer_unordered(ASKED_AT_ONCE);
        let answers: Vec<_> = asked.collect().await;
        for versions in answers.into_iter().flatten() {
            for in_force in report.services.values_mut() {
                in_force.vms_asked += 1;
            }
            for held in versions {
                let Some(in_force) = report.services.get_mut(&held.service) else { continue };
                if held.version > in_force.version {
                    *in_force =
                        InForce { version: held.version, vms_with_it: 0, ..in_force.clone() };
                }
                in_force.vms_with_it += usize::from(held.version == in_force.version);
            }
        }
        report
    }
}

/// Describes a member.
fn member_report(member: &leverstream_member::Member) -> MemberReport {
    let state = match member.state {
        MemberState::Alive => "alive",
        MemberState::Leaving => "leaving",
        MemberState::Suspect => "suspect",
        MemberState::Dead => "dead",
    };
    MemberReport {
        id: format!("{:016x}", member.identity.id),
        hall: member.identity.hall.clone(),
        caller_address: member.identity.caller_address,
        peer_address: member.identity.peer_address,
        state: state.to_owned(),
    }
}

/// Describes the health of a service's backend servers.
pub fn health_report(service: &Service, now_ms: u64) -> HealthReport {
    let view = service.view(now_ms);
    let in_flight = |index: usize| {
        let backends = view.serving.as_ref().map(|serving| &serving.backends);
        backends.map_or((0, 0), |backends| {
            let backend = &backends[index];
            (backend.live.in_flight(), backend.others_in_flight)
        })
    };
    let backends = service
        .backends()
        .enumerate()
        .map(|(index, (key, _, row))| {
            let health = service.health.view(key, now_ms);
            let (own, others) = in_flight(index);
            BackendReport {
                is_leaving: row.leaving,
                eject_score: service.doc.row.eject_score,
                in_flight: own,
                others_in_flight: others,
                ..backend_report(&health, now_ms)
            }
        })
        .collect();
    HealthReport {
        service: service.doc.service.clone(),
        capacity: service.health.capacity(now_ms),
        floor: f64::from(service.doc.row.floor_percent) / 100.0,
        queued: service.live.queued(),
        backends,
    }
}

/// Describes a backend server's health.
fn backend_report(health: &View, now_ms: u64) -> BackendReport {
    let (reason, trial_in_ms) = match health.standing {
        Standing::Ejected { until_ms, reason, .. } => {
            (reason.name().to_owned(), Some(until_ms.saturating_sub(now_ms)))
        }
        _ => (String::new(), None),
    };
    BackendReport {
        backend: health.name.clone(),
        standing: health.standing.name().to_owned(),
        reason,
        trial_in_ms,
        own_score: health.own_score,
        agreed_score: health.agreed_score,
        eject_score: 0,
        slow_ms: health.slow_ms,
        good: health.count.good,
        bad: health.count.bad,
        in_flight: 0,
        others_in_flight: 0,
        is_draining: health.is_draining,
        is_leaving: false,
    }
}

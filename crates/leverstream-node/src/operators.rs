use std::sync::Arc;

use actix::Addr;
use actix_web::body::MessageBody;
use actix_web::dev::{ServiceRequest, ServiceResponse};
use actix_web::http::StatusCode;
use actix_web::middleware::Next;
use actix_web::web::{Data, Json, Path, ServiceConfig};
use actix_web::{HttpResponse, ResponseError, web};
use leverstream_error::{KIND_HEADER, Kind, OUTCOME_HEADER};
use leverstream_observe::Registry;
use leverstream_table::{Edit, ServiceDoc};
use subtle::ConstantTimeEq;

use crate::control::Control;
use crate::messages::{GetHealth, GetStatus, ListDocs, MakeEdit};
use crate::reports::Failure;

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

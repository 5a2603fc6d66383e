//! The HTTP API for operators.

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
use crate::messages::{GetHealth, GetStatus, ListDocs, SubmitEdit};
use crate::reports::ErrorReply;

/// The maximum size of an edit.
const MAX_EDIT_BYTES: usize = 1 << 20;

/// The state shared by the handlers of operators' requests.
pub struct OperatorState {
    /// The control thread.
    pub control: Addr<Control>,
    /// The bearer key that operators must present.
    pub key: String,
    /// The registry of metrics.
    pub registry: Arc<Registry>,
}

impl ResponseError for ErrorReply {
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

/// Configures the routes of the operators' listener.
pub fn configure(config: &mut ServiceConfig) {
    let json = web::JsonConfig::default()
        .limit(MAX_EDIT_BYTES)
        .error_handler(|error, _| ErrorReply::new(Kind::BadRequest, &error.to_string()).into());
    config.app_data(json).route("/metrics", web::get().to(get_metrics)).service(
        web::scope("/v1")
            .wrap(actix_web::middleware::from_fn(check_key))
            .route("/table", web::get().to(list_docs))
            .route("/table/{service}", web::get().to(get_doc))
            .route("/edits", web::post().to(submit_edit))
            .route("/status", web::get().to(get_status))
            .route("/health/{service}", web::get().to(get_health)),
    );
}

/// Rejects a request without the operators' key.
async fn check_key(
    request: ServiceRequest,
    next: Next<impl MessageBody>,
) -> Result<ServiceResponse<impl MessageBody>, actix_web::Error> {
    let presented = request.headers().get("authorization").and_then(|value| value.to_str().ok());
    let presented = presented.and_then(|value| value.strip_prefix("Bearer ")).unwrap_or_default();
    let is_valid = request
        .app_data::<Data<OperatorState>>()
        .is_some_and(|state| bool::from(state.key.as_bytes().ct_eq(presented.as_bytes())));
    if !is_valid {
        log::warn!("operators: rejected a request without a valid key.");
        return Err(ErrorReply::new(Kind::Unauthorized, "show the operators' key").into());
    }
    next.call(request).await
}

/// Returns the metrics in the OpenMetrics text format.
async fn get_metrics(state: Data<OperatorState>) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("application/openmetrics-text; version=1.0.0; charset=utf-8")
        .body(leverstream_observe::encode(&state.registry))
}

/// Returns all documents of the table.
async fn list_docs(state: Data<OperatorState>) -> Result<HttpResponse, ErrorReply> {
    let docs = state.control.send(ListDocs { service: None }).await.map_err(stopping)?;
    Ok(HttpResponse::Ok().json(docs))
}

/// Returns a service's document.
async fn get_doc(
    state: Data<OperatorState>,
    service: Path<String>,
) -> Result<HttpResponse, ErrorReply> {
    let service = service.into_inner();
    let request = ListDocs { service: Some(service.clone()) };
    let docs: Vec<Arc<ServiceDoc>> = state.control.send(request).await.map_err(stopping)?;
    let doc = docs.first().ok_or_else(|| service_unknown(&service))?;
    Ok(HttpResponse::Ok().json(doc))
}

/// Submits an edit to the table.
async fn submit_edit(
    state: Data<OperatorState>,
    edit: Json<Edit>,
) -> Result<HttpResponse, ErrorReply> {
    let reply = state.control.send(SubmitEdit(edit.into_inner())).await.map_err(stopping)??;
    Ok(HttpResponse::Ok().json(reply))
}

/// Returns the state of the fleet.
async fn get_status(state: Data<OperatorState>) -> Result<HttpResponse, ErrorReply> {
    let report = state.control.send(GetStatus).await.map_err(stopping)?;
    Ok(HttpResponse::Ok().json(report))
}

/// Returns the health of a service's backend servers at this VM.
async fn get_health(
    state: Data<OperatorState>,
    service: Path<String>,
) -> Result<HttpResponse, ErrorReply> {
    let service = service.into_inner();
    let request = GetHealth { service: service.clone() };
    let report = state.control.send(request).await.map_err(stopping)?;
    Ok(HttpResponse::Ok().json(report.ok_or_else(|| service_unknown(&service))?))
}

/// The error reply for a service that is not in the table or not served by this VM.
fn service_unknown(service: &str) -> ErrorReply {
    ErrorReply::new(Kind::ServiceUnknown, &format!("`{service}` is not here"))
}

/// The error reply when the control thread no longer runs, as at the end of a stop.
#[allow(clippy::needless_pass_by_value, reason = "used as an argument of map_err")]
fn stopping(_: actix::MailboxError) -> ErrorReply {
    ErrorReply::new(Kind::Stopping, "the process is stopping")
}

//! Handles the requests on the callers' listener.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use actix_web::http::Uri;
use actix_web::http::header::HeaderName;
use actix_web::web::{Data, Payload, ServiceConfig};
use actix_web::{HttpRequest, HttpResponse, web};
use leverstream_ask::{DEADLINE_HEADER, KEY_HEADER, SERVICE_HEADER, TICKET_HEADER};
use leverstream_error::Kind;
use leverstream_table::Unkeyed;
use leverstream_ticket::Ticket;
use tokio::sync::oneshot;
use tracing::Instrument;

use crate::admit::AdmissionGuard;
use crate::answer::{Answer, error_response};
use crate::ask::{ServeRequest, ask};
use crate::at_most_once::{AtMostOnceRequest, MAX_KEY_BYTES};
use crate::headers::{RELAYED_HEADER, process_id_value, text};
use crate::message::{BODY_BUFFER_BYTES, Message};
use crate::metrics::InFlightGuard;
use crate::relay;
use crate::repeatable::RepeatableRequest;
use crate::{Proxy, ServiceView};

/// Registers the routes of the callers' listener.
pub fn configure(config: &mut ServiceConfig) {
    config.route("/v1/connect/{service}", web::get().to(ask)).default_service(web::to(serve));
}

/// Answers a request of a caller and counts it in the metrics.
async fn serve(proxy: Data<Proxy>, request: HttpRequest, payload: Payload) -> HttpResponse {
    let started = std::time::Instant::now();
    proxy.metrics.requests.inc();
    let in_flight_guard = InFlightGuard::new(&proxy.metrics);
    let span = leverstream_observe::caller_span(
        request.method().as_str(),
        text(request.headers(), "traceparent"),
    );
    let result = handle(&proxy, &request, payload).instrument(span).await;
    proxy.metrics.seconds.observe(started.elapsed().as_secs_f64());
    let mut response = match result {
        Ok(answer) => answer.respond(in_flight_guard),
        Err(kind) => {
            proxy.metrics.count_refusal(kind);
            error_response(kind)
        }
    };
    if request.headers().contains_key(RELAYED_HEADER) {
        let name = HeaderName::from_static(RELAYED_HEADER);
        response.headers_mut().insert(name, process_id_value(proxy.ticket_issuer.home()));
    }
    response
}

/// Finds the service of a request and runs the request as the service's row in the table says.
async fn handle(
    proxy: &Data<Proxy>,
    request: &HttpRequest,
    payload: Payload,
) -> Result<Answer, Kind> {
    let service = service_name(request).ok_or(Kind::BadRequest)?;
    let view = proxy.snapshot.load().service(&service);
    let view = view.ok_or(Kind::ServiceUnknown)?;
    let row = &view.doc.row;
    if !row.taken_over {
        return Err(Kind::ServiceElsewhere);
    }
    let deadline_ms = deadline_of(proxy, request, &view)?;
    let (method, path) = (request.method().as_str(), request.path());
    let is_repeatable = row.is_repeatable(method, path);
    let keyed = if is_repeatable { None } else { Some(parse_ticket_and_key(request)?) };
    let limit = if is_repeatable {
        BODY_BUFFER_BYTES
    } else {
        usize::try_from(row.body_limit_bytes).unwrap_or(usize::MAX)
    };
    let message = Message::read(request, payload, limit, is_repeatable).await?;
    let incoming = IncomingRequest {
        proxy,
        gives_way: row.gives_way(method, path),
        is_relayed: request.headers().contains_key(RELAYED_HEADER),
        service,
        view,
        message,
        deadline_ms,
    };
    match keyed {
        None => incoming.run_repeatable().await,
        Some(Some((ticket, key))) => incoming.run_keyed(&ticket, &key).await,
        Some(None) => incoming.run_unkeyed().await,
    }
}

/// A parsed and checked request of a caller.
struct IncomingRequest<'a> {
    /// The state that traffic threads share.
    proxy: &'a Data<Proxy>,
    /// The name of the service.
    service: String,
    /// The service as the current snapshot has it.
    view: Arc<ServiceView>,
    /// The head and body of the request.
    message: Message,
    /// The deadline of the request.
    deadline_ms: u64,
    /// Whether it has low priority and is displaced by others when the queue is full.
    gives_way: bool,
    /// Whether another VM has relayed the request to this one.
    is_relayed: bool,
}

impl IncomingRequest<'_> {
    /// Makes this VM serve the service if it does not yet, for a request that no other VM may run.
    ///
    /// VMs learn of membership changes at different moments, so a VM may receive requests of a
    /// service that is not placed on it in its own view.
    async fn serve_here(&mut self) -> Result<(), Kind> {
        if self.view.serving.is_some() {
            return Ok(());
        }
        let (done, served) = oneshot::channel();
        let request = ServeRequest { service: self.service.clone(), done };
        if self.proxy.serve_requests.send(request).await.is_ok() {
            let _ = served.await;
        }
        let view = self.proxy.snapshot.load().service(&self.service);
        self.view = view.filter(|view| view.serving.is_some()).ok_or(Kind::RelayLoop)?;
        Ok(())
    }

    /// Runs a repeatable request, or relays it to a VM that serves its service.
    async fn run_repeatable(mut self) -> Result<Answer, Kind> {
        if self.is_relayed {
            self.serve_here().await?;
        }
        let Some(serving) = &self.view.serving else { return self.relay(true).await };
        let _guard =
            AdmissionGuard::try_acquire(&self.view.doc.row, &serving.state, self.proxy.now_ms())?;
        let request = RepeatableRequest {
            proxy: self.proxy.clone(),
            service: self.service,
            view: Arc::clone(&self.view),
            message: self.message,
            deadline_ms: self.deadline_ms,
            gives_way: self.gives_way,
            tried: RefCell::default(),
        };
        request.run().await
    }

    /// Runs a request with a ticket if this process is the ticket's home, or relays it to its home.
    async fn run_keyed(mut self, ticket: &Ticket, key: &str) -> Result<Answer, Kind> {
        if ticket.stem.home == self.proxy.ticket_issuer.home() {
            self.serve_here().await?;
            return self.into_at_most_once().run_keyed(ticket, key).await;
        }
        let home = self.proxy.snapshot.load().vm(ticket.stem.home);
        match home {
            Some(home) if !self.is_relayed => {
                let (service, message) = (&self.service, &self.message);
                relay::to_home(self.proxy, service, message, &home, self.deadline_ms).await
            }
            _ => Err(Kind::HomeGone),
        }
    }

    /// Runs a request that must run at most once but has no ticket, if the row allows that.
    async fn run_unkeyed(mut self) -> Result<Answer, Kind> {
        if self.view.doc.row.unkeyed == Unkeyed::Refuse {
            return Err(Kind::TicketMissing);
        }
        if self.is_relayed {
            self.serve_here().await?;
        }
        match &self.view.serving {
            None => self.relay(false).await,
            Some(serving) => {
                let _guard = AdmissionGuard::try_acquire(
                    &self.view.doc.row,
                    &serving.state,
                    self.proxy.now_ms(),
                )?;
                self.into_at_most_once().run_single().await
            }
        }
    }

    /// Relays the request to a VM that serves its service.
    async fn relay(&self, is_repeatable: bool) -> Result<Answer, Kind> {
        let (service, message) = (&self.service, &self.message);
        relay::to_entry_vm(self.proxy, service, message, is_repeatable, self.deadline_ms).await
    }

    /// Converts the request into one that must run at most once.
    fn into_at_most_once(self) -> AtMostOnceRequest {
        AtMostOnceRequest {
            proxy: self.proxy.clone(),
            service: self.service,
            view: self.view,
            message: Rc::new(self.message),
            deadline_ms: self.deadline_ms,
            gives_way: self.gives_way,
        }
    }
}

/// The service that a request names in its service header or, without one, in `Host`.
fn service_name(request: &HttpRequest) -> Option<String> {
    if let Some(name) = text(request.headers(), SERVICE_HEADER) {
        return Some(name.to_owned());
    }
    let host = text(request.headers(), "host")?;
    let host: Uri = host.parse().ok()?;
    host.host().map(str::to_owned)
}

/// The deadline of a request: the limit of the row or that of the caller, whichever is shorter.
fn deadline_of(proxy: &Proxy, request: &HttpRequest, view: &ServiceView) -> Result<u64, Kind> {
    let row_ms = view.doc.row.deadline_ms;
    let requested_ms = match text(request.headers(), DEADLINE_HEADER) {
        Some(text) => text.parse().map_err(|_| Kind::BadRequest)?,
        None => row_ms,
    };
    if requested_ms == 0 {
        return Err(Kind::DeadlinePassed);
    }
    Ok(proxy.now_ms() + row_ms.min(requested_ms))
}

/// The ticket and idempotency key of a request, if it has both.
fn parse_ticket_and_key(request: &HttpRequest) -> Result<Option<(Ticket, String)>, Kind> {
    let ticket = text(request.headers(), TICKET_HEADER);
    let key = text(request.headers(), KEY_HEADER);
    let (Some(ticket), Some(key)) = (ticket, key) else { return Ok(None) };
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        return Err(Kind::BadRequest);
    }
    let ticket = Ticket::parse(ticket).ok_or(Kind::TicketInvalid)?;
    Ok(Some((ticket, key.to_owned())))
}

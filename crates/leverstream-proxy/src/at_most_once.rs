//! Runs requests that must run at most once, and stores the answers of those with a ticket.

use std::rc::Rc;
use std::sync::Arc;

use actix_http::StatusCode;
use actix_web::http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_web::web::Data;
use leverstream_ask::REPLAYED_HEADER;
use leverstream_error::Kind;
use leverstream_health::BackendKey;
use leverstream_route::Request;
use leverstream_ticket::{BeginOutcome, Reply, StoredResult, Ticket};

use crate::acquire::{SlotRequest, acquire};
use crate::admit::AdmissionGuard;
use crate::answer::{Answer, AnswerBody};
use crate::attempt::{AttemptResult, ReadMode, attempt};
use crate::headers;
use crate::message::Message;
use crate::{Proxy, ServiceView};

/// The most backend servers to which a request is sent as long as it has certainly not run.
const MAX_OFFERS: usize = 3;

/// The longest idempotency key of a request.
pub(crate) const MAX_KEY_BYTES: usize = 256;

/// A request that must run at most once.
#[derive(Clone)]
pub(crate) struct AtMostOnceRequest {
    /// The state that traffic threads share.
    pub proxy: Data<Proxy>,
    /// The name of the service.
    pub service: String,
    /// The service as it was when the request arrived.
    pub view: Arc<ServiceView>,
    /// The head and body of the request.
    pub message: Rc<Message>,
    /// The deadline of the request.
    pub deadline_ms: u64,
    /// Whether it has low priority and is displaced by others when the queue is full.
    pub gives_way: bool,
}

impl AtMostOnceRequest {
    /// Runs the request of a ticket and key at its home, or returns the outcome of its earlier run.
    ///
    /// The request continues when the caller disconnects, and its answer is stored until the ticket
    /// expires.
    pub async fn run_keyed(self, ticket: &Ticket, key: &str) -> Result<Answer, Kind> {
        let proxy = self.proxy.clone();
        let request_digest = self.message.request_digest();
        let clock = proxy.clock;
        let begin = proxy
            .ledger
            .begin(&proxy.ticket_issuer, ticket, key, request_digest, || clock.now_ms());
        match begin {
            BeginOutcome::Refuse(kind) => Err(kind),
            BeginOutcome::Wait(waiter) => {
                let deadline = clock.instant_at(self.deadline_ms).into();
                let stored = tokio::time::timeout_at(deadline, waiter.wait()).await;
                proxy.metrics.replays.inc();
                to_answer(stored.map_err(|_| Kind::AnswerTimeout)?, true)
            }
            BeginOutcome::Run(guard) => {
                let run = actix_web::rt::spawn(async move {
                    let stored = self.run_and_store().await;
                    guard.finish(stored.clone());
                    stored
                });
                to_answer(run.await.map_err(|_| Kind::AnswerCut)?, false)
            }
        }
    }

    /// Runs the request at most once; without a ticket its outcome cannot be looked up later.
    pub async fn run_single(&self) -> Result<Answer, Kind> {
        let mut tried: Vec<BackendKey> = Vec::new();
        loop {
            let slot_request = SlotRequest {
                request: Request { is_repeatable: false, tried: &tried },
                gives_way: self.gives_way,
                deadline_ms: self.deadline_ms,
            };
            let slot = acquire(&self.proxy, &self.service, slot_request).await?;
            let read_mode = ReadMode::Whole(self.proxy.settings.max_answer_bytes);
            let AttemptResult { backend, result } =
                attempt(&self.proxy, slot, &self.message, self.deadline_ms, false, read_mode).await;
            tried.push(backend);
            match result {
                Err(kind) if kind.is_not_run() && self.may_offer_again(tried.len()) => {}
                other => return other,
            }
        }
    }

    /// Runs the request once and returns its outcome in the form that the ledger stores.
    async fn run_and_store(&self) -> StoredResult {
        match self.run_admitted().await {
            Ok(answer) => match to_reply(answer) {
                Some(reply) => StoredResult::Answer(Arc::new(reply)),
                None => StoredResult::Dropped,
            },
            Err(kind) => StoredResult::Failed(kind),
        }
    }

    /// Runs the request once if the limits of the row allow it; repeated arrivals are not limited.
    async fn run_admitted(&self) -> Result<Answer, Kind> {
        let serving = self.view.serving.as_ref().ok_or(Kind::RelayLoop)?;
        let now_ms = self.proxy.now_ms();
        let _guard = AdmissionGuard::try_acquire(&self.view.doc.row, &serving.state, now_ms)?;
        self.run_single().await
    }

    /// Returns whether a request that has certainly not run may go to another backend server.
    fn may_offer_again(&self, offers: usize) -> bool {
        let percent = self.view.doc.row.retry_budget_percent;
        let now_ms = self.proxy.now_ms();
        let Some(serving) = &self.view.serving else { return false };
        offers < MAX_OFFERS
            && now_ms < self.deadline_ms
            && serving.state.budget.lock().take(percent, now_ms)
    }
}

/// Converts a whole answer into the form that the ledger stores.
fn to_reply(answer: Answer) -> Option<Reply> {
    let AnswerBody::Whole(body) = answer.body else { return None };
    let headers = headers::forwarded(&answer.headers);
    let headers =
        headers.iter().map(|(name, value)| (name.to_string(), value.as_bytes().to_vec())).collect();
    Some(Reply { status: answer.status.as_u16(), headers, body })
}

/// Converts a stored result back into an answer.
fn to_answer(stored: StoredResult, is_replayed: bool) -> Result<Answer, Kind> {
    let reply = match stored {
        StoredResult::Answer(reply) => reply,
        StoredResult::Failed(kind) => return Err(kind),
        StoredResult::Dropped => return Err(Kind::AnswerDropped),
    };
    let mut headers = HeaderMap::new();
    for (name, value) in &reply.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(value)) {
            headers.append(name, value);
        }
    }
    if is_replayed {
        headers.insert(HeaderName::from_static(REPLAYED_HEADER), HeaderValue::from_static("1"));
    }
    let status = StatusCode::from_u16(reply.status).map_err(|_| Kind::AnswerInvalid)?;
    Ok(Answer { status, headers, body: AnswerBody::Whole(reply.body.clone()) })
}

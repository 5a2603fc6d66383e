//! Runs repeatable requests with retries and hedges, within the retry budget of the service.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

use actix_web::web::Data;
use futures_util::StreamExt;
use futures_util::future::LocalBoxFuture;
use futures_util::stream::FuturesUnordered;
use leverstream_error::Kind;
use leverstream_health::BackendKey;
use leverstream_route::Request;

use crate::acquire::{SlotRequest, acquire};
use crate::answer::Answer;
use crate::attempt::{AttemptResult, ReadMode, attempt, is_server_fault};
use crate::message::Message;
use crate::{Proxy, ServiceView};

/// The most attempts for one request.
const MAX_ATTEMPTS: usize = 4;

/// An attempt is hedged once it has taken this many times the duration that counts as slow.
const HEDGE_FACTOR: f64 = 1.0;

thread_local! {
    /// Whether this thread may let an attempt continue after its request is answered.
    static MAY_DETACH: Cell<bool> = const { Cell::new(true) };
}

/// A request that may run more than once, with the backend servers tried so far.
pub(crate) struct RepeatableRequest {
    /// The state that traffic threads share.
    pub proxy: Data<Proxy>,
    /// The name of the service.
    pub service: String,
    /// The service as it was when the request arrived.
    pub view: Arc<ServiceView>,
    /// The head and body of the request.
    pub message: Message,
    /// The deadline of the request.
    pub deadline_ms: u64,
    /// Whether it has low priority and is displaced by others when the queue is full.
    pub gives_way: bool,
    /// The backend servers tried so far.
    pub tried: RefCell<Vec<BackendKey>>,
}

/// The attempts of a request that are in progress.
type Attempts = FuturesUnordered<LocalBoxFuture<'static, Result<Answer, Kind>>>;

impl RepeatableRequest {
    /// Runs the request until an attempt yields an answer, within the retry budget and deadline.
    ///
    /// Fails as soon as no further attempt is allowed, without waiting for the deadline.
    pub async fn run(self) -> Result<Answer, Kind> {
        let request = Rc::new(self);
        let mut attempts: Attempts = FuturesUnordered::new();
        let result = Rc::clone(&request).run_attempts(&mut attempts).await;
        if result.is_ok() {
            request.detach_attempts(attempts);
        }
        result
    }

    /// Starts retries and hedges as they become due until one attempt yields the answer.
    async fn run_attempts(self: Rc<Self>, attempts: &mut Attempts) -> Result<Answer, Kind> {
        let Some(serving) = &self.view.serving else { return Err(Kind::RelayLoop) };
        serving.state.budget.lock().earn(self.view.doc.row.retry_budget_percent);
        attempts.push(Box::pin(Rc::clone(&self).attempt_once()));
        let mut started = 1;
        let mut may_hedge = true;
        let mut last_failure: Option<Result<Answer, Kind>> = None;
        loop {
            let hedge_delay = self.hedge_delay();
            let can_repeat = started < MAX_ATTEMPTS && self.message.is_whole();
            tokio::select! {
                biased;
                ended = attempts.next() => {
                    let Some(ended) = ended else { break };
                    match ended {
                        Ok(answer) if !is_server_fault(answer.status) => return Ok(answer),
                        other => last_failure = Some(merge_failures(last_failure, other)),
                    }
                    if can_repeat && self.may_retry(last_failure.as_ref()) {
                        self.proxy.metrics.retries.inc();
                        started += 1;
                        attempts.push(Box::pin(Rc::clone(&self).attempt_once()));
                    }
                }
                () = tokio::time::sleep(hedge_delay), if can_repeat && may_hedge && attempts.len() == 1 => {
                    let is_queued = self.tried.borrow().len() < started;
                    if is_queued {
                        continue;
                    }
                    may_hedge = self.take_retry();
                    if !may_hedge {
                        continue;
                    }
                    self.proxy.metrics.hedges.inc();
                    started += 1;
                    attempts.push(Box::pin(Rc::clone(&self).attempt_once()));
                }
            }
        }
        finish(last_failure)
    }

    /// Lets a slow attempt continue after the request is answered, one at a time on each thread.
    ///
    /// A cancelled attempt would only show that another one was faster. An attempt that continues
    /// to stall adds evidence against its backend server.
    fn detach_attempts(&self, mut attempts: Attempts) {
        if attempts.is_empty() || !MAY_DETACH.replace(false) {
            return;
        }
        actix_web::rt::spawn(async move {
            let _ = attempts.next().await;
            MAY_DETACH.set(true);
        });
    }

    /// Takes a slot and makes one attempt there.
    async fn attempt_once(self: Rc<Self>) -> Result<Answer, Kind> {
        let tried = self.tried.borrow().clone();
        let slot_request = SlotRequest {
            request: Request { is_repeatable: true, tried: &tried },
            gives_way: self.gives_way,
            deadline_ms: self.deadline_ms,
        };
        let slot = acquire(&self.proxy, &self.service, slot_request).await?;
        if let Some(serving) = &slot.view.serving {
            self.tried.borrow_mut().push(serving.backends[slot.index].key);
        }
        let AttemptResult { result, .. } =
            attempt(&self.proxy, slot, &self.message, self.deadline_ms, true, ReadMode::Buffered)
                .await;
        result
    }

    /// Returns whether a failed attempt may be retried; takes the retry from the budget if so.
    fn may_retry(&self, last_failure: Option<&Result<Answer, Kind>>) -> bool {
        let is_final = matches!(
            last_failure,
            Some(Err(Kind::QueueFull | Kind::DeadlinePassed | Kind::NoBackend | Kind::RelayLoop))
        );
        !is_final && self.proxy.now_ms() < self.deadline_ms && self.take_retry()
    }

    /// Takes one retry from the budget of the service.
    fn take_retry(&self) -> bool {
        let percent = self.view.doc.row.retry_budget_percent;
        let Some(serving) = &self.view.serving else { return false };
        serving.state.budget.lock().take(percent, self.proxy.now_ms())
    }

    /// How long the first attempt may take before a hedge starts.
    fn hedge_delay(&self) -> std::time::Duration {
        let slow_ms = self.view.serving.as_ref().map_or(0.0, |serving| {
            serving.backends.iter().map(|backend| backend.slow_ms).fold(1.0, f64::max)
        });
        std::time::Duration::from_secs_f64(slow_ms * HEDGE_FACTOR / 1000.0)
    }
}

/// The result of the last failed attempt, or `NoBackend` if there was no attempt.
fn finish(last_failure: Option<Result<Answer, Kind>>) -> Result<Answer, Kind> {
    last_failure.unwrap_or(Err(Kind::NoBackend))
}

/// Chooses what the caller gets of two failures: an answer, else an error that covers both.
fn merge_failures(
    last_failure: Option<Result<Answer, Kind>>,
    next: Result<Answer, Kind>,
) -> Result<Answer, Kind> {
    match (last_failure, next) {
        (Some(Ok(answer)), Err(_)) => Ok(answer),
        (Some(Err(last_failure)), Err(next)) => Err(last_failure.combined_with(next)),
        (_, next) => next,
    }
}

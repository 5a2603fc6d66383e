//! The client: cached connect answers, tries and retries.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use actix_http::Method;
use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use bytes::Bytes;
use leverstream_ask::{
    ConnectAddress, ConnectAnswer, DEADLINE_HEADER, KEY_HEADER, SERVICE_HEADER, TICKET_HEADER,
};
use leverstream_error::{KIND_HEADER, Kind, Next, Outcome, RETRY_AFTER_HEADER};
use leverstream_wire::Answer;
use rand::Rng;

use crate::CallError;
use crate::client::{Client, ClientRequest, ExchangeError};

/// The maximum delay before a retry, whatever delay an answer asks for, and the timeout of asking where to connect.
const MAX_RETRY_DELAY_MS: u64 = 2_000;

/// The delay before a retry if the answer specifies none.
const RETRY_DELAY_MS: u64 = 50;

/// A request to a service.
#[derive(Clone, Debug)]
pub struct CallRequest {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub path: String,
    /// The body.
    pub body: Bytes,
    /// The time limit for all tries together.
    pub timeout_ms: u64,
}

/// A complete answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The status.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The number of tries, including the successful one.
    pub tries: u32,
    /// The errors of the failed tries.
    pub failures: Vec<CallError>,
}

/// A client of one service.
pub struct Caller {
    /// Addresses of some VMs, to ask where to connect.
    known_addresses: Vec<SocketAddr>,
    /// The name of the service.
    service: String,
    /// The data hall nearest to the caller.
    hall: Option<String>,
    /// The HTTP client.
    client: Client,
    /// The last connect answer and the time at which it was received.
    cached_answer: Option<(ConnectAnswer, Instant)>,
}

impl Caller {
    /// Creates a client that knows the addresses of some VMs.
    pub fn new(known_addresses: Vec<SocketAddr>, service: &str, hall: Option<&str>) -> Caller {
        let (service, hall) = (service.to_owned(), hall.map(str::to_owned));
        Caller { known_addresses, service, hall, client: Client::default(), cached_answer: None }
    }

    /// Returns where to connect: the cached answer until it expires, then a new one.
    pub async fn ask(&mut self) -> Result<ConnectAnswer, CallError> {
        if let Some((answer, received)) = &self.cached_answer
            && received.elapsed() < Duration::from_millis(answer.holds_ms)
        {
            return Ok(answer.clone());
        }
        let mut last_error = CallError::Unreachable;
        for address in self.addresses_to_ask() {
            match self.ask_address(address).await {
                Ok(answer) => {
                    self.cached_answer = Some((answer.clone(), Instant::now()));
                    return Ok(answer);
                }
                Err(error) => last_error = error,
            }
        }
        Err(last_error)
    }

    /// Marks the cached answer as expired, so that the next call asks again where to connect.
    pub fn invalidate_answer(&mut self) {
        if let Some((answer, _)) = &mut self.cached_answer {
            answer.holds_ms = 0;
        }
    }

    /// Makes a call and retries it where that is safe, until its time limit.
    ///
    /// All tries carry the ticket and key of the first, whichever address they are sent to.
    pub async fn call(&mut self, call: &CallRequest) -> Result<Reply, CallError> {
        let deadline = Instant::now() + Duration::from_millis(call.timeout_ms);
        let key = format!("{:032x}", rand::rng().random::<u128>());
        let answer = self.ask().await?;
        let ticket = answer.addresses.first().and_then(|entry| entry.ticket.clone());
        let mut may_have_run = false;
        let mut tries = 0;
        let mut failures = Vec::new();
        loop {
            let index = tries as usize % answer.addresses.len().max(1);
            let entry = answer.addresses.get(index).ok_or(CallError::Unreachable)?;
            tries += 1;
            let error = match self.try_address(entry, call, ticket.as_deref(), &key, deadline).await
            {
                Ok(reply) => return Ok(Reply { tries, failures, ..reply }),
                Err(error) => error,
            };
            may_have_run |= error.0.outcome() != Outcome::NotRun;
            let delay = Duration::from_millis(error.1);
            let is_retry_safe = ticket.is_some() || call.method.is_safe() || !may_have_run;
            if !is_retry_safe || !is_retryable(&error.0) || Instant::now() + delay >= deadline {
                return Err(final_error(error.0, may_have_run));
            }
            failures.push(error.0);
            tokio::time::sleep(delay).await;
        }
    }

    /// Returns the addresses to ask: the known ones, then those of the last answer, since the known VMs may be gone.
    fn addresses_to_ask(&self) -> Vec<SocketAddr> {
        let from_answer = self.cached_answer.iter().flat_map(|(answer, _)| &answer.addresses);
        let from_answer =
            from_answer.filter(|entry| entry.ticket.is_some()).map(|entry| entry.address);
        self.known_addresses.iter().copied().chain(from_answer).collect()
    }

    /// Asks one VM where to connect.
    async fn ask_address(&mut self, address: SocketAddr) -> Result<ConnectAnswer, CallError> {
        let mut target = format!("/v1/connect/{}", self.service);
        if let Some(hall) = &self.hall {
            target.push_str(&format!("?hall={hall}"));
        }
        let request =
            ClientRequest { method: &Method::GET, target: &target, fields: &[], body: b"" };
        let timeout = Duration::from_millis(MAX_RETRY_DELAY_MS);
        let answer = match self.client.exchange(address, &request, timeout).await {
            Ok(answer) => answer,
            Err(error @ ExchangeError::Malformed) => {
                return Err(CallError::Malformed(error.to_string()));
            }
            Err(_) => return Err(CallError::Unreachable),
        };
        if let Some(kind) = error_kind(&answer) {
            return Err(CallError::Rejected(kind));
        }
        serde_json::from_slice(&answer.body)
            .map_err(|error| CallError::Malformed(error.to_string()))
    }

    /// Makes one try; an error includes the delay before the next try, in milliseconds.
    async fn try_address(
        &mut self,
        entry: &ConnectAddress,
        call: &CallRequest,
        ticket: Option<&str>,
        key: &str,
        deadline: Instant,
    ) -> Result<Reply, (CallError, u64)> {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let mut fields = vec![
            (SERVICE_HEADER, self.service.clone()),
            (DEADLINE_HEADER, remaining.as_millis().to_string()),
        ];
        if let Some(ticket) = ticket {
            fields.push((TICKET_HEADER, ticket.to_owned()));
            fields.push((KEY_HEADER, key.to_owned()));
        }
        let request = ClientRequest {
            method: &call.method,
            target: &call.path,
            fields: &fields,
            body: &call.body,
        };
        let answer = self.client.exchange(entry.address, &request, remaining).await;
        let answer = answer.map_err(|error| (exchange_error(error), RETRY_DELAY_MS))?;
        if let Some(kind) = error_kind(&answer) {
            return Err((CallError::Rejected(kind), retry_delay_ms(&answer)));
        }
        let headers = headers_of(&answer);
        let Answer { status, body, .. } = answer;
        Ok(Reply { status, headers, body, tries: 0, failures: Vec::new() })
    }
}

/// Returns whether a retry of the same request can succeed after this error.
fn is_retryable(error: &CallError) -> bool {
    match error {
        CallError::Unreachable | CallError::Disconnected => true,
        CallError::Rejected(kind) => kind.answer().next == Next::RetrySame,
        CallError::Malformed(_) => false,
    }
}

/// Returns the error of the whole call. If an earlier try may have run, the outcome is not reported as not run.
fn final_error(error: CallError, may_have_run: bool) -> CallError {
    if may_have_run && error.outcome() == Outcome::NotRun { CallError::Disconnected } else { error }
}

/// Returns the error kind of an answer that leverstream itself produced.
fn error_kind(answer: &Answer) -> Option<Kind> {
    Kind::from_name(answer.text(KIND_HEADER)?)
}

/// Returns the retry delay that an answer asks for, in milliseconds, up to the maximum.
fn retry_delay_ms(answer: &Answer) -> u64 {
    let value = answer.text(RETRY_AFTER_HEADER);
    let delay_ms = value.and_then(|text| text.parse().ok()).unwrap_or(RETRY_DELAY_MS);
    delay_ms.min(MAX_RETRY_DELAY_MS)
}

/// Converts the header fields of an answer, whose names and values were validated when it was parsed.
fn headers_of(answer: &Answer) -> HeaderMap {
    let fields = answer.fields.iter().filter_map(|(name, value)| {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        Some((name, HeaderValue::from_bytes(value).ok()?))
    });
    fields.collect()
}

/// Distinguishes a request that was certainly not sent from one that may have been.
fn exchange_error(error: ExchangeError) -> CallError {
    match error {
        ExchangeError::NotSent => CallError::Unreachable,
        ExchangeError::Unanswered | ExchangeError::Malformed => CallError::Disconnected,
    }
}

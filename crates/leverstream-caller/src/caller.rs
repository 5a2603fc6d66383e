use std::net::SocketAddr;
use std::time::{Duration, Instant};

use awc::error::{ConnectError, SendRequestError};
use awc::http::Method;
use awc::http::header::HeaderMap;
use bytes::Bytes;
use leverstream_ask::{
    ConnectAddress, ConnectAnswer, DEADLINE_HEADER, KEY_HEADER, SERVICE_HEADER, TICKET_HEADER,
};
use leverstream_error::{KIND_HEADER, Kind, Next, Outcome, RETRY_AFTER_HEADER};
use rand::Rng;

use crate::CallError;

/// The largest answer that is read, in bytes.
const ANSWER_LIMIT_BYTES: usize = 64 << 20;

/// The longest wait before a try, whatever the answer says, in milliseconds.
const PAUSE_LIMIT_MS: u64 = 2_000;

/// The wait before a try when the answer says nothing, in milliseconds.
const PAUSE_MS: u64 = 50;

/// One piece of work for a service.
#[derive(Clone, Debug)]
pub struct CallRequest {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub path: String,
    /// The body.
    pub body: Bytes,
    /// How long it may take, all tries together.
    pub timeout_ms: u64,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The status.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// How many tries it took.
    pub tries: u32,
    /// Why the tries before the last gave no answer.
    pub failures: Vec<CallError>,
}

/// A caller of one service.
pub struct Caller {
    /// Any addresses of the system, to ask where to connect.
    systems: Vec<SocketAddr>,
    /// The service.
    service: String,
    /// The hall that the caller is nearest to.
    hall: Option<String>,
    /// The HTTP client.
    client: awc::Client,
    /// The last answer to where to connect, and when it was given.
    kept: Option<(ConnectAnswer, Instant)>,
}

impl Caller {
    /// Opens a caller that knows some addresses of the system.
    pub fn new(systems: Vec<SocketAddr>, service: &str, hall: Option<&str>) -> Caller {
        let client = awc::Client::builder().disable_redirects().no_default_headers().finish();
        let (service, hall) = (service.to_owned(), hall.map(str::to_owned));
        Caller { systems, service, hall, client, kept: None }
    }

    /// Asks where to connect, or returns the answer kept while it holds.
    pub async fn ask(&mut self) -> Result<ConnectAnswer, CallError> {
        if let Some((answer, asked)) = &self.kept
            && asked.elapsed() < Duration::from_millis(answer.holds_ms)
        {
            return Ok(answer.clone());
        }
        let mut last = CallError::Unreachable;
        for system in self.addresses_to_ask() {
            match self.ask_at(system).await {
                Ok(answer) => {
                    self.kept = Some((answer.clone(), Instant::now()));
                    return Ok(answer);
                }
                Err(error) => last = error,
            }
        }
        Err(last)
    }

    /// Forgets the answer kept, so that the next call asks again.
    pub fn invalidate_answer(&mut self) {
        if let Some((answer, _)) = &mut self.kept {
            answer.holds_ms = 0;
        }
    }

    /// Has a piece of work done, with tries as they are allowed.
    ///
    /// All tries carry the ticket and key of the first, at whichever address they arrive.
    pub async fn call(&mut self, work: &CallRequest) -> Result<Reply, CallError> {
        let until = Instant::now() + Duration::from_millis(work.timeout_ms);
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
            let error = match self.try_at(entry, work, ticket.as_deref(), &key, until).await {
                Ok(reply) => return Ok(Reply { tries, failures, ..reply }),
                Err(error) => error,
            };
            may_have_run |= error.0.outcome() != Outcome::NotRun;
            let pause = Duration::from_millis(error.1);
            let is_guarded = ticket.is_some() || work.method.is_safe() || !may_have_run;
            if !is_guarded || !may_try_again(&error.0) || Instant::now() + pause >= until {
                return Err(final_error(error.0, may_have_run));
            }
            failures.push(error.0);
            tokio::time::sleep(pause).await;
        }
    }

    /// Where to ask: the known addresses, then those of the last answer, for VMs come and go.
    fn addresses_to_ask(&self) -> Vec<SocketAddr> {
        let told = self.kept.iter().flat_map(|(answer, _)| &answer.addresses);
        let told = told.filter(|entry| entry.ticket.is_some()).map(|entry| entry.address);
        self.systems.iter().copied().chain(told).collect()
    }

    /// Asks one address of the system.
    async fn ask_at(&self, system: SocketAddr) -> Result<ConnectAnswer, CallError> {
        let mut url = format!("http://{system}/v1/connect/{}", self.service);
        if let Some(hall) = &self.hall {
            url.push_str(&format!("?hall={hall}"));
        }
        let request = self.client.get(url).timeout(Duration::from_millis(PAUSE_LIMIT_MS));
        let mut response = request.send().await.map_err(|_| CallError::Unreachable)?;
        if let Some(kind) = kind_of(response.headers()) {
            return Err(CallError::Refused(kind));
        }
        let body = response.body().await;
        let body = body.map_err(|error| CallError::Malformed(error.to_string()))?;
        serde_json::from_slice(&body).map_err(|error| CallError::Malformed(error.to_string()))
    }

    /// Makes one try; an error comes with how long to wait before the next.
    async fn try_at(
        &self,
        entry: &ConnectAddress,
        work: &CallRequest,
        ticket: Option<&str>,
        key: &str,
        until: Instant,
    ) -> Result<Reply, (CallError, u64)> {
        let left = until.saturating_duration_since(Instant::now());
        let url = format!("http://{}{}", entry.address, work.path);
        let mut request = self
            .client
            .request(work.method.clone(), url)
            .timeout(left)
            .insert_header((SERVICE_HEADER, self.service.as_str()))
            .insert_header((DEADLINE_HEADER, left.as_millis().to_string()));
        if let Some(ticket) = ticket {
            request =
                request.insert_header((TICKET_HEADER, ticket)).insert_header((KEY_HEADER, key));
        }
        let sent = request.send_body(work.body.clone()).await;
        let mut response = sent.map_err(|error| (send_error(&error), PAUSE_MS))?;
        let headers = response.headers().clone();
        if let Some(kind) = kind_of(&headers) {
            return Err((CallError::Refused(kind), pause_of(&headers)));
        }
        let body = response.body().limit(ANSWER_LIMIT_BYTES).await;
        let body = body.map_err(|_| (CallError::Broken, PAUSE_MS))?;
        if is_cut(&headers, &body) {
            return Err((CallError::Broken, PAUSE_MS));
        }
        let status = response.status().as_u16();
        Ok(Reply { status, headers, body, tries: 0, failures: Vec::new() })
    }
}

/// Tells whether another try can help and cannot harm.
fn may_try_again(error: &CallError) -> bool {
    match error {
        CallError::Unreachable | CallError::Broken => true,
        CallError::Refused(kind) => kind.answer().next == Next::RetrySame,
        CallError::Malformed(_) => false,
    }
}

/// The error to end with: once one try may have run, the work is not said not to have run.
fn final_error(error: CallError, may_have_run: bool) -> CallError {
    if may_have_run && error.outcome() == Outcome::NotRun { CallError::Broken } else { error }
}

/// The kind of an answer of leverstream's own.
fn kind_of(headers: &HeaderMap) -> Option<Kind> {
    Kind::from_name(headers.get(KIND_HEADER)?.to_str().ok()?)
}

/// How long an answer asks to wait.
fn pause_of(headers: &HeaderMap) -> u64 {
    let told = headers.get(RETRY_AFTER_HEADER).and_then(|value| value.to_str().ok());
    let told_ms = told.and_then(|text| text.parse().ok()).unwrap_or(PAUSE_MS);
    told_ms.min(PAUSE_LIMIT_MS)
}

/// Tells whether a body is shorter than its head said; the HTTP client does not.
fn is_cut(headers: &HeaderMap, body: &Bytes) -> bool {
    let told = headers.get("content-length").and_then(|value| value.to_str().ok());
    told.and_then(|text| text.parse::<usize>().ok()).is_some_and(|length| body.len() < length)
}

/// Tells a request that was never sent from one that may have been.
fn send_error(error: &SendRequestError) -> CallError {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => CallError::Broken,
        SendRequestError::Connect(_) | SendRequestError::Url(_) => CallError::Unreachable,
        _ => CallError::Broken,
    }
}

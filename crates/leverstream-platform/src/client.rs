use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use awc::error::{ConnectError, SendRequestError};
use awc::http::StatusCode;
use awc::{Client, ClientRequest};
use leverstream_pace::Bucket;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{Listing, Object, PlatformError, Put, PutReply, Vm};

/// The largest answer that is read, in bytes: the whole table of a large fleet.
const ANSWER_LIMIT_BYTES: usize = 64 << 20;

/// How long a watch may outlast the time it was asked to wait.
const WATCH_GRACE_MS: u64 = 2_000;

/// A handle on the platform, bound to one thread.
#[derive(Clone)]
pub struct Platform {
    /// The shared state behind the handle.
    inner: Rc<Inner>,
}

/// What a [`Platform`] shares between its clones.
struct Inner {
    /// Where the API is, without a slash at the end.
    base_url: String,
    /// The HTTP client.
    client: Client,
    /// How long one call may take.
    timeout_ms: u64,
    /// The calls this VM may still make.
    budget: RefCell<Bucket>,
    /// Calls made, by kind.
    calls: Arc<Calls>,
}

/// The kinds of calls to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Reads one object.
    Get,
    /// Reads all objects below a prefix.
    List,
    /// Updates an object.
    Put,
    /// Waits for changes.
    Watch,
    /// Reads the list of VMs.
    Vms,
}

/// Counts of calls made, by kind.
#[derive(Debug, Default)]
pub struct Calls {
    /// One count for each [`Call`], in its order.
    counts: [AtomicU64; 5],
}

impl Calls {
    /// Returns how many calls of a kind were made.
    pub fn count(&self, call: Call) -> u64 {
        self.counts[call as usize].load(Ordering::Relaxed)
    }

    /// Counts a call.
    fn add(&self, call: Call) {
        self.counts[call as usize].fetch_add(1, Ordering::Relaxed);
    }
}

impl Platform {
    /// Opens a handle; no call is made yet.
    pub fn open(base_url: &str, timeout_ms: u64, budget: Bucket) -> Platform {
        let client = Client::builder().disable_redirects().no_default_headers().finish();
        let inner = Inner {
            base_url: base_url.trim_end_matches('/').to_owned(),
            client,
            timeout_ms,
            budget: RefCell::new(budget),
            calls: Arc::new(Calls::default()),
        };
        Platform { inner: Rc::new(inner) }
    }

    /// Returns the counts of calls made.
    pub fn calls(&self) -> Arc<Calls> {
        Arc::clone(&self.inner.calls)
    }

    /// Reads one object.
    pub async fn get(&self, key: &str, now_ms: u64) -> Result<Option<Object>, PlatformError> {
        let request = self.inner.client.get(self.url(&format!("/v1/objects/{key}")));
        match self.send(Call::Get, request, self.inner.timeout_ms, now_ms).await {
            Err(PlatformError::Status(404)) => Ok(None),
            other => other.map(Some),
        }
    }

    /// Reads all objects below a prefix.
    pub async fn list(&self, prefix: &str, now_ms: u64) -> Result<Listing, PlatformError> {
        let request = self.inner.client.get(self.url(&format!("/v1/objects?prefix={prefix}")));
        self.send(Call::List, request, self.inner.timeout_ms, now_ms).await
    }

    /// Updates an object if it still has the expected version and returns its new one.
    pub async fn put(&self, key: &str, put: &Put, now_ms: u64) -> Result<u64, PlatformError> {
        let request = self.inner.client.put(self.url(&format!("/v1/objects/{key}")));
        let reply: PutReply =
            self.send_json(Call::Put, request, put, self.inner.timeout_ms, now_ms).await?;
        Ok(reply.version)
    }

    /// Waits up to `wait_ms` for objects below a prefix to change after a version.
    pub async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait_ms: u64,
        now_ms: u64,
    ) -> Result<Listing, PlatformError> {
        let path = format!("/v1/watch?prefix={prefix}&after={after}&wait_ms={wait_ms}");
        let request = self.inner.client.get(self.url(&path));
        self.send(Call::Watch, request, wait_ms + WATCH_GRACE_MS, now_ms).await
    }

    /// Reads the lagging list of VMs.
    pub async fn vms(&self, now_ms: u64) -> Result<Vec<Vm>, PlatformError> {
        let request = self.inner.client.get(self.url("/v1/vms"));
        self.send(Call::Vms, request, self.inner.timeout_ms, now_ms).await
    }

    /// Builds the address of a path.
    fn url(&self, path: &str) -> String {
        format!("{}{path}", self.inner.base_url)
    }

    /// Sends a request without a body.
    async fn send<T: DeserializeOwned>(
        &self,
        call: Call,
        request: ClientRequest,
        timeout_ms: u64,
        now_ms: u64,
    ) -> Result<T, PlatformError> {
        self.send_json(call, request, &(), timeout_ms, now_ms).await
    }

    /// Sends a request with a JSON body and reads the JSON answer.
    async fn send_json<B: Serialize, T: DeserializeOwned>(
        &self,
        call: Call,
        request: ClientRequest,
        body: &B,
        timeout_ms: u64,
        now_ms: u64,
    ) -> Result<T, PlatformError> {
        if !self.inner.budget.borrow_mut().take(now_ms) {
            return Err(PlatformError::OverBudget);
        }
        self.inner.calls.add(call);
        let timeout = Duration::from_millis(timeout_ms);
        let mut response =
            request.timeout(timeout).send_json(body).await.map_err(|error| send_error(&error))?;
        let status = response.status();
        let read = response.body().limit(ANSWER_LIMIT_BYTES);
        let bytes = match actix_web::rt::time::timeout(timeout, read).await {
            Err(_) => return Err(PlatformError::Unanswered),
            Ok(read) => read.map_err(|error| PlatformError::Malformed(error.to_string()))?,
        };
        if status == StatusCode::CONFLICT {
            return Err(PlatformError::Conflict(parse::<PutReply>(&bytes)?.version));
        }
        if !status.is_success() {
            return Err(PlatformError::Status(status.as_u16()));
        }
        parse(&bytes)
    }
}

/// Reads a JSON answer.
fn parse<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(bytes).map_err(|error| PlatformError::Malformed(error.to_string()))
}

/// Tells a call that was never sent from one that may have taken effect.
fn send_error(error: &SendRequestError) -> PlatformError {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => PlatformError::Unanswered,
        SendRequestError::Connect(_) | SendRequestError::Url(_) => PlatformError::Away,
        _ => PlatformError::Unanswered,
    }
}

//! Single requests to a daemon, sent without retries.

use std::net::SocketAddr;
use std::time::Duration;

use awc::http::Method;
use leverstream_caller::ConnectAddress;
use leverstream_standin::backend::Report;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A test request, sent without retries.
#[derive(Clone, Debug)]
pub struct Request {
    /// The address it is sent to.
    address: SocketAddr,
    /// The HTTP method.
    method: Method,
    /// The path and query.
    path: String,
    /// Header fields, as names and values.
    headers: Vec<(String, String)>,
    /// The body.
    body: String,
    /// How long to wait for the response head.
    timeout_ms: u64,
}

/// An answer to a test request.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The error name of an answer that leverstream made itself; empty otherwise.
    pub error: String,
    /// The request outcome named by an answer that leverstream made itself; empty otherwise.
    pub outcome: String,
    /// Whether this is the stored answer to an earlier arrival of the same request.
    pub is_replayed: bool,
    /// The body.
    pub body: String,
}

impl Request {
    /// Creates a request to a service, sent to the given address.
    pub fn new(address: SocketAddr, service: &str, method: Method, path: &str) -> Request {
        Request {
            address,
            method,
            path: path.to_owned(),
            headers: vec![("leverstream-service".to_owned(), service.to_owned())],
            body: String::new(),
            timeout_ms: 20_000,
        }
    }

    /// Creates a request with a ticket and an idempotency key, which must run at most once.
    pub fn keyed(entry: &ConnectAddress, service: &str, key: &str, body: &str) -> Request {
        let ticket = entry.ticket.as_deref().expect("the entry has a ticket");
        Request::new(entry.address, service, Method::POST, "/orders")
            .header("leverstream-ticket", ticket)
            .header("idempotency-key", key)
            .body(body)
    }

    /// Sets the address it is sent to.
    pub fn with_address(mut self, address: SocketAddr) -> Request {
        self.address = address;
        self
    }

    /// Adds a header field.
    pub fn header(mut self, name: &str, value: &str) -> Request {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Sets the body.
    pub fn body(mut self, body: &str) -> Request {
        body.clone_into(&mut self.body);
        self
    }

    /// Sets how long to wait for the response head.
    pub fn timeout_ms(mut self, timeout_ms: u64) -> Request {
        self.timeout_ms = timeout_ms;
        self
    }

    /// Sends it once; returns `None` if no complete answer arrives.
    pub async fn send(&self) -> Option<Answer> {
        let client = awc::Client::builder().disable_redirects().finish();
        let mut request = client
            .request(self.method.clone(), format!("http://{}{}", self.address, self.path))
            .timeout(Duration::from_millis(self.timeout_ms));
        for (name, value) in &self.headers {
            request = request.insert_header((name.as_str(), value.as_str()));
        }
        let mut response = request.send_body(self.body.clone()).await.ok()?;
        let text = |name: &str| {
            let value = response.headers().get(name).and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let (error, outcome) = (text("leverstream-error"), text("leverstream-outcome"));
        let is_replayed = !text("leverstream-replayed").is_empty();
        let length: Option<usize> = text("content-length").parse().ok();
        let status = response.status().as_u16();
        let body = response.body().limit(64 << 20).await.ok()?;
        if length.is_some_and(|length| body.len() < length) {
            return None;
        }
        let body = String::from_utf8_lossy(&body).into_owned();
        Some(Answer { status, error, outcome, is_replayed, body })
    }

    /// Sends it once and panics if no complete answer arrives.
    pub async fn must_send(&self) -> Answer {
        self.send().await.expect("an answer arrives")
    }
}

impl Answer {
    /// Parses the backend server's report on the request from the body.
    pub fn report(&self) -> Report {
        serde_json::from_str(&self.body).unwrap_or_else(|_| panic!("no report in {self:?}"))
    }
}

/// Sends bytes over a new connection and returns what is received until it closes, for at most 15 s.
pub async fn send_raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("the server accepts the connection");
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    let _ = tokio::time::timeout(Duration::from_secs(15), read).await;
    String::from_utf8_lossy(&answer).into_owned()
}

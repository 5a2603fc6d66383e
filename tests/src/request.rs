use std::net::SocketAddr;
use std::time::Duration;

use awc::http::Method;
use leverstream_caller::ConnectAddress;
use leverstream_standin::backend::Report;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A request of a test, made once and without any retry.
#[derive(Clone, Debug)]
pub struct Request {
    /// Where to.
    address: SocketAddr,
    /// The method.
    method: Method,
    /// The path.
    path: String,
    /// The headers.
    headers: Vec<(String, String)>,
    /// The body.
    body: String,
    /// How long to wait.
    timeout_ms: u64,
}

/// What came back.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The error's name, for an answer of leverstream's own.
    pub error: String,
    /// What became of the request, for an answer of leverstream's own.
    pub outcome: String,
    /// Whether the answer was kept from an earlier arrival.
    pub is_replayed: bool,
    /// The body.
    pub body: String,
}

impl Request {
    /// A request to a service at an address.
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

    /// A request that must run at most once, with a ticket and a key.
    pub fn keyed(entry: &ConnectAddress, service: &str, key: &str, body: &str) -> Request {
        let ticket = entry.ticket.as_deref().expect("the entry has a ticket");
        Request::new(entry.address, service, Method::POST, "/orders")
            .header("leverstream-ticket", ticket)
            .header("idempotency-key", key)
            .body(body)
    }

    /// Sends it to another address.
    pub fn at(mut self, address: SocketAddr) -> Request {
        self.address = address;
        self
    }

    /// Adds a header.
    pub fn header(mut self, name: &str, value: &str) -> Request {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Sets the body.
    pub fn body(mut self, body: &str) -> Request {
        body.clone_into(&mut self.body);
        self
    }

    /// Sets how long to wait.
    pub fn timeout_ms(mut self, timeout_ms: u64) -> Request {
        self.timeout_ms = timeout_ms;
        self
    }

    /// Sends it once; none when no answer came.
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

    /// Sends it once and expects an answer.
    pub async fn must_send(&self) -> Answer {
        self.send().await.expect("an answer comes")
    }
}

impl Answer {
    /// What the backend server said of the request.
    pub fn report(&self) -> Report {
        serde_json::from_str(&self.body).unwrap_or_else(|_| panic!("no report in {self:?}"))
    }
}

/// Sends bytes over a connection of their own and returns all that comes back until its end.
pub async fn send_raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("it accepts");
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    let _ = tokio::time::timeout(Duration::from_secs(15), read).await;
    String::from_utf8_lossy(&answer).into_owned()
}

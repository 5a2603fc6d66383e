//! HTTP exchanges with VMs.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use actix_http::header::HeaderValue;
use actix_http::{Method, Uri};
use displaydoc::Display;
use leverstream_wire::{Answer, Conn, Progress, RequestHead, WireError};

/// An HTTP client that keeps one idle connection to each VM.
#[derive(Debug, Default)]
pub struct Client {
    /// The idle connections.
    idle: HashMap<SocketAddr, Conn>,
}

/// A request to a VM.
#[derive(Clone, Copy, Debug)]
pub struct ClientRequest<'a> {
    /// The method.
    pub method: &'a Method,
    /// The path and query.
    pub target: &'a str,
    /// The header fields beside the host and the length.
    pub fields: &'a [(&'static str, String)],
    /// The body.
    pub body: &'a [u8],
}

/// Why there is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum ExchangeError {
    /// the request could not be sent
    NotSent,
    /// the connection failed after the request may have been sent
    Unanswered,
    /// the answer is malformed HTTP
    Malformed,
}

impl std::error::Error for ExchangeError {}

impl Client {
    /// Sends a request and reads the complete answer within `timeout`.
    pub async fn exchange(
        &mut self,
        address: SocketAddr,
        request: &ClientRequest<'_>,
        timeout: Duration,
    ) -> Result<Answer, ExchangeError> {
        let bytes = encode(address, request).ok_or(ExchangeError::NotSent)?;
        let is_head_request = *request.method == Method::HEAD;
        let progress = Progress::default();
        let idle = self.idle.remove(&address).filter(Conn::is_clean);
        let exchange = async {
            let mut conn = match idle {
                Some(conn) => conn,
                None => Conn::open(address).await.map_err(|_| WireError::Connect)?,
            };
            let answer = conn.exchange(&bytes, is_head_request, &progress, |_| true).await?;
            Ok((conn, answer))
        };
        match tokio::time::timeout(timeout, exchange).await {
            Ok(Ok((conn, answer))) => {
                if conn.is_reusable() {
                    self.idle.insert(address, conn);
                }
                Ok(answer)
            }
            Ok(Err(WireError::Malformed)) => Err(ExchangeError::Malformed),
            Ok(Err(_)) | Err(_) if progress.is_sent() => Err(ExchangeError::Unanswered),
            Ok(Err(_)) | Err(_) => Err(ExchangeError::NotSent),
        }
    }
}

/// Encodes a request; returns `None` if the target is not a URI or a field value is invalid, for example contains a line break.
fn encode(address: SocketAddr, request: &ClientRequest<'_>) -> Option<Vec<u8>> {
    let target: Uri = request.target.parse().ok()?;
    let mut head = RequestHead::new(request.method.as_str(), &target.to_string());
    head.field("host", address.to_string().as_bytes());
    head.field("content-length", request.body.len().to_string().as_bytes());
    for (name, value) in request.fields {
        head.field(name, HeaderValue::from_str(value).ok()?.as_bytes());
    }
    Some(head.finish(request.body))
}

//! The client of the operators' API.

use std::net::SocketAddr;
use std::time::Duration;

use leverstream_caller::{Answer, Client, ClientRequest, ExchangeError, Method};
use leverstream_node::{EditReply, ErrorReply};
use leverstream_table::{Change, Edit, ServiceDoc};
use rand::Rng;
use serde::de::DeserializeOwned;

use crate::error::CtlError;

/// The timeout of one call.
const CALL_TIMEOUT_MS: u64 = 15_000;

/// A client of the operators' API.
pub struct Api {
    /// The address of the operators' listener of a VM.
    address: SocketAddr,
    /// The operators' key.
    key: String,
    /// The operator's name, recorded with each edit.
    who: String,
}

impl Api {
    /// Creates a client. It makes no call yet, and opens a connection for each.
    pub fn new(address: SocketAddr, key: String, who: String) -> Api {
        Api { address, key, who }
    }

    /// Gets a path and decodes the JSON answer.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CtlError> {
        match self.call(&Method::GET, path, b"").await {
            Ok(answer) => decode_answer(&answer),
            Err(error @ ExchangeError::Malformed) => Err(CtlError::Malformed(error.to_string())),
            Err(error) => Err(CtlError::Unreachable(error.to_string())),
        }
    }

    /// Reads the documents of all services, or of one.
    pub async fn docs(&self, service: Option<&str>) -> Result<Vec<ServiceDoc>, CtlError> {
        match service {
            Some(service) => Ok(vec![self.get(&format!("/v1/table/{service}")).await?]),
            None => self.get("/v1/table").await,
        }
    }

    /// Reads the document of one service; returns an empty one if the service is unknown.
    pub async fn doc(&self, service: &str) -> Result<ServiceDoc, CtlError> {
        match self.get(&format!("/v1/table/{service}")).await {
            Err(CtlError::Failed(failure)) if failure.error == "service-unknown" => {
                Ok(ServiceDoc::empty(service))
            }
            other => other,
        }
    }

    /// Makes an edit with the given id, or with a random one.
    pub async fn edit(
        &self,
        id: Option<String>,
        changes: Vec<Change>,
    ) -> Result<EditReply, CtlError> {
        let id = id.unwrap_or_else(|| format!("{:032x}", rand::rng().random::<u128>()));
        let edit = Edit { id: id.clone(), who: self.who.clone(), changes };
        let body = serde_json::json!(edit).to_string();
        match self.call(&Method::POST, "/v1/edits", body.as_bytes()).await {
            Ok(answer) => decode_answer(&answer),
            Err(error @ ExchangeError::NotSent) => Err(CtlError::Unreachable(error.to_string())),
            Err(_) => Err(CtlError::Unanswered(id)),
        }
    }

    /// Sends a request and reads the whole answer.
    async fn call(
        &self,
        method: &Method,
        target: &str,
        body: &[u8],
    ) -> Result<Answer, ExchangeError> {
        let fields = [
            ("authorization", format!("Bearer {}", self.key)),
            ("content-type", "application/json".to_owned()),
        ];
        let request = ClientRequest { method, target, fields: &fields, body };
        let timeout = Duration::from_millis(CALL_TIMEOUT_MS);
        Client::default().exchange(self.address, &request, timeout).await
    }
}

/// Decodes an answer, or the failure in one whose status is not a success.
fn decode_answer<T: DeserializeOwned>(answer: &Answer) -> Result<T, CtlError> {
    let malformed = |error: serde_json::Error| CtlError::Malformed(error.to_string());
    if !(200..300).contains(&answer.status) {
        let failure: ErrorReply = serde_json::from_slice(&answer.body).map_err(malformed)?;
        return Err(CtlError::Failed(failure));
    }
    serde_json::from_slice(&answer.body).map_err(malformed)
}

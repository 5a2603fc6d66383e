//! The client of the operators' API.

use std::net::SocketAddr;
use std::time::Duration;

use awc::ClientRequest;
use leverstream_node::{EditReply, ErrorReply};
use leverstream_table::{Change, Edit, ServiceDoc};
use rand::Rng;
use serde::de::DeserializeOwned;

use crate::error::CtlError;

/// The timeout of one call.
const CALL_TIMEOUT_MS: u64 = 15_000;

/// The maximum size of an answer.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// A client of the operators' API.
pub struct Api {
    /// The address of the operators' listener of a VM.
    address: SocketAddr,
    /// The operators' key.
    key: String,
    /// The operator's name, recorded with each edit.
    who: String,
    /// The HTTP client.
    client: awc::Client,
}

impl Api {
    /// Creates a client. It makes no call yet.
    pub fn new(address: SocketAddr, key: String, who: String) -> Api {
        Api { address, key, who, client: awc::Client::builder().disable_redirects().finish() }
    }

    /// Gets a path and decodes the JSON answer.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CtlError> {
        let request = self.client.get(self.url(path));
        let sent = self.prepare(request).send().await;
        decode_answer(sent.map_err(|error| CtlError::Unreachable(error.to_string()))?).await
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
        let request = self.client.post(self.url("/v1/edits"));
        match self.prepare(request).send_json(&edit).await {
            Ok(response) => decode_answer(response).await,
            Err(awc::error::SendRequestError::Connect(error)) => {
                Err(CtlError::Unreachable(error.to_string()))
            }
            Err(_) => Err(CtlError::Unanswered(id)),
        }
    }

    /// Returns the URL of a path.
    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    /// Adds the operators' key and the timeout to a request.
    fn prepare(&self, request: ClientRequest) -> ClientRequest {
        request
            .timeout(Duration::from_millis(CALL_TIMEOUT_MS))
            .insert_header(("authorization", format!("Bearer {}", self.key)))
    }
}

/// Decodes an answer, or the failure in one whose status is not a success.
async fn decode_answer<T: DeserializeOwned, S>(
    mut response: awc::ClientResponse<S>,
) -> Result<T, CtlError>
where
    S: futures_core::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>>,
{
    let malformed = |error: &dyn std::error::Error| CtlError::Malformed(error.to_string());
    let bytes = response.body().limit(MAX_ANSWER_BYTES).await.map_err(|e| malformed(&e))?;
    if !response.status().is_success() {
        let failure: ErrorReply = serde_json::from_slice(&bytes).map_err(|e| malformed(&e))?;
        return Err(CtlError::Failed(failure));
    }
    serde_json::from_slice(&bytes).map_err(|e| malformed(&e))
}

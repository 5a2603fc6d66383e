use std::net::SocketAddr;
use std::time::Duration;

use awc::ClientRequest;
use leverstream_node::{EditReply, ErrorReply};
use leverstream_table::{Change, Edit, ServiceDoc};
use rand::Rng;
use serde::de::DeserializeOwned;

use crate::error::CtlError;

/// How long one call may take.
const CALL_MS: u64 = 15_000;

/// The largest answer that is read, in bytes.
const ANSWER_LIMIT_BYTES: usize = 64 << 20;

/// A client of the operators' API.
pub struct Api {
    /// The listener.
    at: SocketAddr,
    /// The operators' key.
    key: String,
    /// The operator's name.
    who: String,
    /// The HTTP client.
    client: awc::Client,
}

impl Api {
    /// Opens a client; no call is made yet.
    pub fn open(at: SocketAddr, key: String, who: String) -> Api {
        Api { at, key, who, client: awc::Client::builder().disable_redirects().finish() }
    }

    /// Reads something as JSON.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CtlError> {
        let request = self.client.get(self.url(path));
        let sent = self.prepare(request).send().await;
        read(sent.map_err(|error| CtlError::Unreachable(error.to_string()))?).await
    }

    /// Reads all documents, or one.
    pub async fn docs(&self, service: Option<&str>) -> Result<Vec<ServiceDoc>, CtlError> {
        match service {
            Some(service) => Ok(vec![self.get(&format!("/v1/table/{service}")).await?]),
            None => self.get("/v1/table").await,
        }
    }

    /// Reads one document, or an empty one where there is none.
    pub async fn doc(&self, service: &str) -> Result<ServiceDoc, CtlError> {
        match self.get(&format!("/v1/table/{service}")).await {
            Err(CtlError::Failed(failure)) if failure.error == "service-unknown" => {
                Ok(ServiceDoc::empty(service))
            }
            other => other,
        }
    }

    /// Makes an edit under an id.
    pub async fn edit(
        &self,
        id: Option<String>,
        changes: Vec<Change>,
    ) -> Result<EditReply, CtlError> {
        let id = id.unwrap_or_else(|| format!("{:032x}", rand::rng().random::<u128>()));
        let edit = Edit { id: id.clone(), who: self.who.clone(), changes };
        let request = self.client.post(self.url("/v1/edits"));
        match self.prepare(request).send_json(&edit).await {
            Ok(response) => read(response).await,
            Err(awc::error::SendRequestError::Connect(error)) => {
                Err(CtlError::Unreachable(error.to_string()))
            }
            Err(_) => Err(CtlError::Unanswered(id)),
        }
    }

    /// The address of a path.
    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.at)
    }

    /// Shows the key and bounds the time.
    fn prepare(&self, request: ClientRequest) -> ClientRequest {
        request
            .timeout(Duration::from_millis(CALL_MS))
            .insert_header(("authorization", format!("Bearer {}", self.key)))
    }
}

/// Reads an answer, or the failure in it.
async fn read<T: DeserializeOwned, S>(mut response: awc::ClientResponse<S>) -> Result<T, CtlError>
where
    S: futures_core::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>>,
{
    let malformed = |error: &dyn std::error::Error| CtlError::Malformed(error.to_string());
    let bytes = response.body().limit(ANSWER_LIMIT_BYTES).await.map_err(|e| malformed(&e))?;
    if !response.status().is_success() {
        let failure: ErrorReply = serde_json::from_slice(&bytes).map_err(|e| malformed(&e))?;
        return Err(CtlError::Failed(failure));
    }
    serde_json::from_slice(&bytes).map_err(|e| malformed(&e))
}

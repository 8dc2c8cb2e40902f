//! Client of the operator API.

use std::fmt;
use std::time::Duration;

use ashgauge::editor::EditResult;
use ashgauge::node::Status;
use ashgauge::table::Edit;
use bytes::Bytes;
use http::{Client, Failure, Full};
use hyper::header::{AUTHORIZATION, HOST, HeaderValue};
use hyper::{Method, Request, StatusCode};
use serde::de::DeserializeOwned;

use crate::{BoxesResponse, EventsResponse, TableResponse};

/// Time limit for a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Error of a call of the operator API.
#[derive(Debug)]
pub enum CallError {
    /// The box could not be reached or did not answer.
    Network(Failure),
    /// The credential is wrong.
    Unauthorized,
    /// The box refused the call; carries its response.
    Refused(String),
}

/// Client of the operator API of one box.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    addr: String,
    credential: String,
    client: Client,
}

impl OperatorClient {
    /// Creates a client of the box whose operator port is at `addr`.
    pub fn new(addr: &str, credential: &str) -> Self {
        OperatorClient {
            addr: addr.into(),
            credential: credential.into(),
            client: Client::new(Duration::from_secs(1)),
        }
    }

    /// Returns the table.
    ///
    /// # Errors
    ///
    /// Fails if the box cannot be reached, refuses the call or sends an invalid response.
    pub async fn table(&self) -> Result<TableResponse, CallError> {
        self.get("/v1/table").await
    }

    /// Returns the box's status.
    ///
    /// # Errors
    ///
    /// Fails if the box cannot be reached, refuses the call or sends an invalid response.
    pub async fn status(&self) -> Result<Status, CallError> {
        self.get("/v1/status").await
    }

    /// Returns the boxes that the box knows of.
    ///
    /// # Errors
    ///
    /// Fails if the box cannot be reached, refuses the call or sends an invalid response.
    pub async fn boxes(&self) -> Result<BoxesResponse, CallError> {
        self.get("/v1/boxes").await
    }

    /// Returns the box's timeline.
    ///
    /// # Errors
    ///
    /// Fails if the box cannot be reached, refuses the call or sends an invalid response.
    pub async fn events(&self) -> Result<EventsResponse, CallError> {
        self.get("/v1/events").await
    }

    /// Sends an edit of the table.
    ///
    /// # Errors
    ///
    /// Fails if the box cannot be reached, refuses the call or sends an invalid response. The
    /// edit may have taken effect nevertheless; it is safe to send the same edit again.
    pub async fn edit(&self, edit: &Edit) -> Result<EditResult, CallError> {
        let body = serde_json::to_vec(edit).unwrap_or_default();
        self.call(Method::POST, "/v1/edits", body.into()).await
    }

    /// Starts to drain the box.
    ///
    /// # Errors
    ///
    /// Fails if the box cannot be reached, refuses the call or sends an invalid response.
    pub async fn drain(&self) -> Result<(), CallError> {
        let response = self.call(Method::POST, "/v1/drain", Bytes::new()).await;
        response.map(|_: serde_json::Value| ())
    }

    async fn get<T: DeserializeOwned>(&self, path: &'static str) -> Result<T, CallError> {
        self.call(Method::GET, path, Bytes::new()).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &'static str,
        body: Bytes,
    ) -> Result<T, CallError> {
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = method;
        *request.uri_mut() = hyper::Uri::from_static(path);
        let headers = request.headers_mut();
        headers.insert(HOST, HeaderValue::from_static("box"));
        let bearer = HeaderValue::from_str(&format!("Bearer {}", self.credential));
        headers.insert(AUTHORIZATION, bearer.map_err(|_| CallError::Unauthorized)?);
        let response = self.client.send(&self.addr, request, CALL_TIMEOUT).await;
        let response = response.map_err(CallError::Network)?;
        let refused = || CallError::Refused(String::from_utf8_lossy(response.body()).into());
        match response.status() {
            StatusCode::OK => serde_json::from_slice(response.body()).map_err(|_| refused()),
            StatusCode::UNAUTHORIZED => Err(CallError::Unauthorized),
            _ => Err(refused()),
        }
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::Network(e) => write!(f, "the box does not answer ({e}); try another box"),
            CallError::Unauthorized => {
                f.write_str("the credential is wrong; set ASHCTL_CREDENTIAL or --credential-file")
            }
            CallError::Refused(text) => write!(f, "the box refused: {text}"),
        }
    }
}

impl std::error::Error for CallError {}

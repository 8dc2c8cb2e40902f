//! Messages between boxes over JSON-RPC.
//!
//! The only method, `deliver`, takes an [`Envelope`] and returns at once; a reply to a
//! message is a message of its own. The port rejects requests without the credential of the
//! fleet.

#![warn(missing_docs)]
#![forbid(unsafe_code)]

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use ashgauge::message::Envelope;
use jsonrpsee::core::client::ClientT;
use jsonrpsee::http_client::{HeaderMap, HeaderValue, HttpClient};
use jsonrpsee::rpc_params;
use jsonrpsee::server::{HttpBody, HttpRequest, HttpResponse, RpcModule, Server, ServerHandle};
use subtle::ConstantTimeEq;
use tower_http::validate_request::ValidateRequestHeaderLayer;

const METHOD: &str = "deliver";

/// Timeout of a delivery.
const CALL_TIMEOUT: Duration = Duration::from_millis(1000);

/// Maximum size of a message; a table has at most 1 MB.
const MAX_MESSAGE_BYTES: u32 = 4 << 20;

/// Sends messages to other boxes. Clones share the connections.
#[derive(Clone)]
pub struct PeerClient {
    credential: Arc<str>,
    clients: Arc<Mutex<HashMap<String, HttpClient>>>,
}

impl PeerClient {
    /// Creates a client that authenticates with this credential.
    pub fn new(credential: &str) -> Self {
        PeerClient {
            credential: credential.into(),
            clients: Arc::default(),
        }
    }

    /// Delivers a message to the box at `addr`.
    ///
    /// # Errors
    ///
    /// Returns the cause if the box did not accept the message in time.
    pub async fn deliver(&self, addr: &str, envelope: &Envelope) -> Result<(), String> {
        let client = self.client(addr)?;
        let params = rpc_params![envelope];
        let sent: Result<bool, _> = client.request(METHOD, params).await;
        sent.map(|_| ()).map_err(|e| e.to_string())
    }

    fn client(&self, addr: &str) -> Result<HttpClient, String> {
        let mut clients = self.clients.lock().unwrap_or_else(|e| e.into_inner());
        if let Some(client) = clients.get(addr) {
            return Ok(client.clone());
        }
        let mut headers = HeaderMap::new();
        let value = HeaderValue::from_str(&format!("Bearer {}", self.credential));
        headers.insert("authorization", value.map_err(|e| e.to_string())?);
        let client = HttpClient::builder()
            .request_timeout(CALL_TIMEOUT)
            .max_request_size(MAX_MESSAGE_BYTES)
            .set_headers(headers)
            .build(format!("http://{addr}"))
            .map_err(|e| e.to_string())?;
        clients.insert(addr.into(), client.clone());
        Ok(client)
    }
}

/// Serves the box-to-box port; `handler` gets each message.
///
/// Dropping the handle stops the server.
///
/// # Errors
///
/// Returns the cause if the address cannot be bound.
pub async fn serve(
    addr: &str,
    credential: &str,
    handler: impl Fn(Envelope) + Send + Sync + 'static,
) -> Result<(SocketAddr, ServerHandle), String> {
    let expected = format!("Bearer {credential}");
    #[allow(clippy::result_large_err)]
    let check = move |request: &mut HttpRequest<_>| authorize(request, &expected);
    let middleware = tower::ServiceBuilder::new().layer(ValidateRequestHeaderLayer::custom(check));
    let config = jsonrpsee::server::ServerConfig::builder()
        .max_request_body_size(MAX_MESSAGE_BYTES)
        .http_only()
        .build();
    let server = Server::builder()
        .set_config(config)
        .set_http_middleware(middleware)
        .build(addr)
        .await
        .map_err(|e| e.to_string())?;
    let bound = server.local_addr().map_err(|e| e.to_string())?;
    let mut module = RpcModule::new(handler);
    module
        .register_method(METHOD, |params, handler, _| {
            let envelope: Envelope = params.one()?;
            handler(envelope);
            Ok::<bool, jsonrpsee::types::ErrorObjectOwned>(true)
        })
        .map_err(|e| e.to_string())?;
    Ok((bound, server.start(module)))
}

#[allow(clippy::result_large_err)]
fn authorize(
    request: &mut HttpRequest<HttpBody>,
    expected: &str,
) -> Result<(), HttpResponse<HttpBody>> {
    let credential = request.headers().get("authorization");
    let credential = credential.map_or(&b""[..], |v| v.as_bytes());
    if bool::from(credential.ct_eq(expected.as_bytes())) {
        return Ok(());
    }
    let refused = HttpResponse::builder().status(401);
    let body = HttpBody::from("wrong credential");
    Err(refused.body(body).unwrap_or_default())
}

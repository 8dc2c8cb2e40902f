//! Server of the operator API.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use ashgauge::editor::EditResult;
use ashgauge::node::Status;
use ashgauge::table::Edit;
use http::{Body, Limits, full, json, read_body, serve};
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::{Method, Request, Response, StatusCode};
use subtle::ConstantTimeEq;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::{BoxesResponse, EventsResponse, TableResponse};

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Time limit for reading a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Functions of the box that the operator API exposes.
pub trait OperatorApi: Send + Sync + 'static {
    /// Returns the table in force; `None` if the box is stopping.
    fn table(&self) -> impl Future<Output = Option<TableResponse>> + Send;
    /// Applies an edit of the table; `None` if the box is stopping.
    fn edit(&self, edit: Edit) -> impl Future<Output = Option<EditResult>> + Send;
    /// Returns the box's status; `None` if the box is stopping.
    fn status(&self) -> impl Future<Output = Option<Status>> + Send;
    /// Returns the boxes that the box knows of; `None` if the box is stopping.
    fn boxes(&self) -> impl Future<Output = Option<BoxesResponse>> + Send;
    /// Returns the part of the box's timeline that it still has.
    fn events(&self) -> EventsResponse;
    /// Returns the box's metrics in the Prometheus text format.
    fn metrics(&self) -> impl Future<Output = String> + Send;
    /// Starts to drain the box.
    fn drain(&self);
}

/// Serves the operator API until `stop` becomes true.
pub async fn listen<D: OperatorApi>(
    listener: TcpListener,
    credential: String,
    stop: watch::Receiver<bool>,
    api: Arc<D>,
) {
    let expected: Arc<str> = format!("Bearer {credential}").into();
    let handler = move |request| {
        let (api, expected) = (api.clone(), expected.clone());
        async move { handle(request, &expected, &*api).await }
    };
    serve(listener, Limits::default(), stop, handler).await;
}

async fn handle<D: OperatorApi>(
    request: Request<Incoming>,
    expected: &str,
    api: &D,
) -> Response<Body> {
    if request.uri().path() == "/metrics" {
        return Response::new(full(api.metrics().await));
    }
    if !is_authorized(&request, expected) {
        return error_response(
            StatusCode::UNAUTHORIZED,
            "wrong credential; give the operators' one",
        );
    }
    let (head, body) = request.into_parts();
    match (&head.method, head.uri.path()) {
        (&Method::GET, "/v1/table") => json_response(api.table().await),
        (&Method::GET, "/v1/status") => json_response(api.status().await),
        (&Method::GET, "/v1/boxes") => json_response(api.boxes().await),
        (&Method::GET, "/v1/events") => json(StatusCode::OK, &api.events()),
        (&Method::POST, "/v1/edits") => edit(body, api).await,
        (&Method::POST, "/v1/drain") => {
            api.drain();
            json(StatusCode::OK, &serde_json::json!({"draining": true}))
        }
        _ => error_response(
            StatusCode::NOT_FOUND,
            "no such call; see docs/OPERATIONS.md",
        ),
    }
}

async fn edit<D: OperatorApi>(body: Incoming, api: &D) -> Response<Body> {
    let body = match read_body(body, MAX_BODY_BYTES, BODY_TIMEOUT).await {
        Ok(body) => body,
        Err(status) => {
            return error_response(status, "the edit could not be read; send a shorter one");
        }
    };
    match serde_json::from_slice::<Edit>(&body) {
        Ok(edit) => json_response(api.edit(edit).await),
        Err(e) => error_response(StatusCode::BAD_REQUEST, &format!("not an edit: {e}")),
    }
}

fn is_authorized(request: &Request<Incoming>, expected: &str) -> bool {
    let given = request.headers().get(AUTHORIZATION);
    let given = given.map_or(&b""[..], |v| v.as_bytes());
    bool::from(given.ct_eq(expected.as_bytes()))
}

fn json_response(value: Option<impl serde::Serialize>) -> Response<Body> {
    match value {
        Some(value) => json(StatusCode::OK, &value),
        None => error_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "the box is stopping; ask another",
        ),
    }
}

fn error_response(status: StatusCode, message: &str) -> Response<Body> {
    json(status, &serde_json::json!({"error": {"message": message}}))
}

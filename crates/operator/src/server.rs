//! The operators' port of a box.

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

const MAX_BODY_BYTES: usize = 1 << 20;
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// What the operators' port asks of the rest of the process.
pub trait OperatorApi: Send + Sync + 'static {
    /// The table in force.
    fn table(&self) -> impl Future<Output = Option<TableResponse>> + Send;
    /// Edits the table.
    fn edit(&self, edit: Edit) -> impl Future<Output = Option<EditResult>> + Send;
    /// The box's state.
    fn status(&self) -> impl Future<Output = Option<Status>> + Send;
    /// The boxes it knows.
    fn boxes(&self) -> impl Future<Output = Option<BoxesResponse>> + Send;
    /// Its time line, as far as it is kept.
    fn events(&self) -> EventsResponse;
    /// Its metrics, in the text format of prometheus.
    fn metrics(&self) -> impl Future<Output = String> + Send;
    /// Starts to drain the box.
    fn drain(&self);
}

/// Serves the operators' port until `stop` turns true.
pub async fn listen<D: OperatorApi>(
    listener: TcpListener,
    credential: String,
    stop: watch::Receiver<bool>,
    desk: Arc<D>,
) {
    let wanted: Arc<str> = format!("Bearer {credential}").into();
    let handler = move |request| {
        let (desk, wanted) = (desk.clone(), wanted.clone());
        async move { handle(request, &wanted, &*desk).await }
    };
    serve(listener, Limits::default(), stop, handler).await;
}

async fn handle<D: OperatorApi>(
    request: Request<Incoming>,
    wanted: &str,
    desk: &D,
) -> Response<Body> {
    if request.uri().path() == "/metrics" {
        return Response::new(full(desk.metrics().await));
    }
    if !is_authorized(&request, wanted) {
        return error_response(
            StatusCode::UNAUTHORIZED,
            "wrong credential; give the operators' one",
        );
    }
    let (head, body) = request.into_parts();
    match (&head.method, head.uri.path()) {
        (&Method::GET, "/v1/table") => json_response(desk.table().await),
        (&Method::GET, "/v1/status") => json_response(desk.status().await),
        (&Method::GET, "/v1/boxes") => json_response(desk.boxes().await),
        (&Method::GET, "/v1/events") => json(StatusCode::OK, &desk.events()),
        (&Method::POST, "/v1/edits") => edit(body, desk).await,
        (&Method::POST, "/v1/drain") => {
            desk.drain();
            json(StatusCode::OK, &serde_json::json!({"draining": true}))
        }
        _ => error_response(
            StatusCode::NOT_FOUND,
            "no such call; see docs/OPERATIONS.md",
        ),
    }
}

async fn edit<D: OperatorApi>(body: Incoming, desk: &D) -> Response<Body> {
    let body = match read_body(body, MAX_BODY_BYTES, BODY_TIMEOUT).await {
        Ok(body) => body,
        Err(status) => {
            return error_response(status, "the edit could not be read; send a shorter one");
        }
    };
    match serde_json::from_slice::<Edit>(&body) {
        Ok(edit) => json_response(desk.edit(edit).await),
        Err(e) => error_response(StatusCode::BAD_REQUEST, &format!("not an edit: {e}")),
    }
}

fn is_authorized(request: &Request<Incoming>, wanted: &str) -> bool {
    let shown = request.headers().get(AUTHORIZATION);
    let shown = shown.map_or(&b""[..], |v| v.as_bytes());
    bool::from(shown.ct_eq(wanted.as_bytes()))
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

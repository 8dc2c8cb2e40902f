//! The operators' port of a box.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use ashgauge::editor::Answer;
use ashgauge::node::Status;
use ashgauge::table::Edit;
use http::{Body, Limits, full, json, read_body, serve};
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::{Method, Request, Response, StatusCode};
use subtle::ConstantTimeEq;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::{BoxesAnswer, EventsAnswer, TableAnswer};

const BODY_MOST: usize = 1 << 20;
const BODY_TIME: Duration = Duration::from_secs(5);

/// What the operators' port asks of the rest of the process.
pub trait Desk: Send + Sync + 'static {
    /// The table in force.
    fn table(&self) -> impl Future<Output = Option<TableAnswer>> + Send;
    /// Edits the table.
    fn edit(&self, edit: Edit) -> impl Future<Output = Option<Answer>> + Send;
    /// The box's state.
    fn status(&self) -> impl Future<Output = Option<Status>> + Send;
    /// The boxes it knows.
    fn boxes(&self) -> impl Future<Output = Option<BoxesAnswer>> + Send;
    /// Its time line, as far as it is kept.
    fn events(&self) -> EventsAnswer;
    /// Its metrics, in the text format of prometheus.
    fn metrics(&self) -> impl Future<Output = String> + Send;
    /// Starts to drain the box.
    fn drain(&self);
}

/// Serves the operators' port until `stop` turns true.
pub async fn listen<D: Desk>(
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

async fn handle<D: Desk>(request: Request<Incoming>, wanted: &str, desk: &D) -> Response<Body> {
    if request.uri().path() == "/metrics" {
        return Response::new(full(desk.metrics().await));
    }
    if !is_authorized(&request, wanted) {
        return problem(
            StatusCode::UNAUTHORIZED,
            "wrong credential; give the operators' one",
        );
    }
    let (head, body) = request.into_parts();
    match (&head.method, head.uri.path()) {
        (&Method::GET, "/v1/table") => answer(desk.table().await),
        (&Method::GET, "/v1/status") => answer(desk.status().await),
        (&Method::GET, "/v1/boxes") => answer(desk.boxes().await),
        (&Method::GET, "/v1/events") => json(StatusCode::OK, &desk.events()),
        (&Method::POST, "/v1/edits") => edit(body, desk).await,
        (&Method::POST, "/v1/drain") => {
            desk.drain();
            json(StatusCode::OK, &serde_json::json!({"draining": true}))
        }
        _ => problem(
            StatusCode::NOT_FOUND,
            "no such call; see docs/OPERATIONS.md",
        ),
    }
}

async fn edit<D: Desk>(body: Incoming, desk: &D) -> Response<Body> {
    let body = match read_body(body, BODY_MOST, BODY_TIME).await {
        Ok(body) => body,
        Err(status) => return problem(status, "the edit could not be read; send a shorter one"),
    };
    match serde_json::from_slice::<Edit>(&body) {
        Ok(edit) => answer(desk.edit(edit).await),
        Err(e) => problem(StatusCode::BAD_REQUEST, &format!("not an edit: {e}")),
    }
}

fn is_authorized(request: &Request<Incoming>, wanted: &str) -> bool {
    let shown = request.headers().get(AUTHORIZATION);
    let shown = shown.map_or(&b""[..], |v| v.as_bytes());
    bool::from(shown.ct_eq(wanted.as_bytes()))
}

fn answer(value: Option<impl serde::Serialize>) -> Response<Body> {
    match value {
        Some(value) => json(StatusCode::OK, &value),
        None => problem(
            StatusCode::SERVICE_UNAVAILABLE,
            "the box is stopping; ask another",
        ),
    }
}

fn problem(status: StatusCode, message: &str) -> Response<Body> {
    json(status, &serde_json::json!({"error": {"message": message}}))
}

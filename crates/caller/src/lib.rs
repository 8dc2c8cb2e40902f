//! HTTP towards callers: OpenAI-shaped model routes and plain services.
//!
//! Every answer carries the header `ashgauge-outcome` with `done`, `not_run`
//! or `unknown`; a stream carries it in its last event. A stream that breaks
//! ends with an `error` event and without `[DONE]`.

#![warn(missing_docs)]
#![forbid(unsafe_code)]

mod answer;
mod request;

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use ashgauge::node::{IncomingRequest, ReplyPart};
use http::{Body, Limits, serve};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use tokio::net::TcpListener;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;

pub use answer::{OUTCOME_HEADER, Problem};
pub use request::{AnswerFormat, tokenize};

/// Bounds of the callers' port.
#[derive(Clone, Copy, Debug)]
pub struct PortLimits {
    /// Connections and request heads.
    pub server: Limits,
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// Time for a request's body.
    pub body_timeout: Duration,
    /// Tokens that one request may ask for.
    pub max_tokens: u32,
}

/// An answer on its way: its parts, and what ends the request if dropped.
pub struct Answer {
    /// Name of the request in the time line and in the engines' records.
    pub request_name: String,
    /// Parts; bounded in number by the tokens asked for.
    pub replies: UnboundedReceiver<ReplyPart>,
    /// Dropped when the caller is gone or the answer is whole.
    pub guard: Box<dyn Send + Sync>,
}

/// What the callers' port asks of the rest of the process.
pub trait Router: Send + Sync + 'static {
    /// Starts a request; its id is filled in by the router.
    fn start(&self, order: IncomingRequest) -> impl Future<Output = Option<Answer>> + Send;

    /// Whether the balancer may send requests here.
    fn is_ready(&self) -> impl Future<Output = bool> + Send;
}

/// Serves the callers' port until `stop` turns true, then ends what is in
/// flight.
pub async fn listen<R: Router>(
    listener: TcpListener,
    bounds: PortLimits,
    stop: watch::Receiver<bool>,
    router: Arc<R>,
) {
    let handler = move |request| {
        let router = router.clone();
        async move { handle(request, bounds, &*router).await }
    };
    serve(listener, bounds.server, stop, handler).await;
}

async fn handle<R: Router>(
    request: Request<Incoming>,
    bounds: PortLimits,
    router: &R,
) -> Response<Body> {
    match request.uri().path() {
        "/healthz" => return answer::plain_text(StatusCode::OK, "ok"),
        "/readyz" if router.is_ready().await => return answer::plain_text(StatusCode::OK, "ready"),
        "/readyz" => return answer::plain_text(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
        _ => {}
    }
    let (order, shape) = match request::parse(request, &bounds).await {
        Ok(parsed) => parsed,
        Err(problem) => return problem.response(),
    };
    match router.start(order).await {
        Some(started) => answer::respond(started, shape).await,
        None => Problem::stopped().response(),
    }
}

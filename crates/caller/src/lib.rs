//! HTTP interface for callers: OpenAI-compatible model routes and plain services.
//!
//! Every answer carries the header `ashgauge-outcome` with `done`, `not_run` or
//! `unknown`; a stream carries the outcome in its last event. A stream that breaks ends
//! with an `error` event and without `[DONE]`.

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

/// Limits of the callers' port.
#[derive(Clone, Copy, Debug)]
pub struct PortLimits {
    /// Limits on connections and request headers.
    pub server: Limits,
    /// Largest body of a request in bytes.
    pub max_body_bytes: usize,
    /// Time in which a request's body must arrive.
    pub body_timeout: Duration,
    /// Largest number of tokens that one request may ask for.
    pub max_tokens: u32,
}

/// Answer in progress.
pub struct Answer {
    /// Name of the request in the timeline and in the engines' records.
    pub request_name: String,
    /// Replies of the node; the tokens asked for limit their number.
    pub replies: UnboundedReceiver<ReplyPart>,
    /// Ends the request when dropped, which happens once the caller has gone or the
    /// answer is complete.
    pub guard: Box<dyn Send + Sync>,
}

/// Interface of the rest of the process to the callers' port.
pub trait Router: Send + Sync + 'static {
    /// Starts a request; the router fills in its id.
    fn start(&self, order: IncomingRequest) -> impl Future<Output = Option<Answer>> + Send;

    /// Returns whether the load balancer may send requests to this box.
    fn is_ready(&self) -> impl Future<Output = bool> + Send;
}

/// Serves the callers' port until `stop` turns true, then lets the requests in flight
/// finish.
pub async fn listen<R: Router>(
    listener: TcpListener,
    limits: PortLimits,
    stop: watch::Receiver<bool>,
    router: Arc<R>,
) {
    let handler = move |request| {
        let router = router.clone();
        async move { handle(request, limits, &*router).await }
    };
    serve(listener, limits.server, stop, handler).await;
}

async fn handle<R: Router>(
    request: Request<Incoming>,
    limits: PortLimits,
    router: &R,
) -> Response<Body> {
    match request.uri().path() {
        "/healthz" => return answer::plain_text(StatusCode::OK, "ok"),
        "/readyz" if router.is_ready().await => return answer::plain_text(StatusCode::OK, "ready"),
        "/readyz" => return answer::plain_text(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
        _ => {}
    }
    let (incoming, format) = match request::parse(request, &limits).await {
        Ok(parsed) => parsed,
        Err(problem) => return problem.response(),
    };
    match router.start(incoming).await {
        Some(started) => answer::respond(started, format).await,
        None => Problem::stopped().response(),
    }
}

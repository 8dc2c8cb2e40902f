//! HTTP server that limits the resources of each connection.

use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Empty, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::time::timeout;

/// Body of a response.
pub type Body = BoxBody<Bytes, Infallible>;

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// Time limit for receiving a request head.
    pub header_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            connections: 4096,
            header_bytes: 16 << 10,
            header_timeout: Duration::from_secs(5),
        }
    }
}

/// Serves connections until `stop` becomes true or is closed, then waits for the running
/// requests.
pub async fn serve<H, F>(
    listener: TcpListener,
    limits: Limits,
    mut stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let permits = Arc::new(Semaphore::new(limits.connections));
    let handler = Arc::new(handler);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|s| *s) => break,
        };
        let Ok((stream, _)) = accepted else {
            // Most likely the process is out of file descriptors; accepting again at once
            // would spin.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            continue;
        };
        let (handler, stop) = (handler.clone(), stop.clone());
        tokio::spawn(async move {
            serve_connection(stream, limits, stop, handler).await;
            drop(permit);
        });
    }
    drop(listener);
    let _ = permits.acquire_many(limits.connections as u32).await;
}

/// Reads a request's whole body.
///
/// # Errors
///
/// Returns the status to answer with if the body is longer than `max_bytes`, takes longer
/// than `limit`, or breaks.
pub async fn read_body(
    body: Incoming,
    max_bytes: usize,
    limit: Duration,
) -> Result<Bytes, StatusCode> {
    match timeout(limit, Limited::new(body, max_bytes).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => {
            Err(StatusCode::PAYLOAD_TOO_LARGE)
        }
        Ok(Err(_)) => Err(StatusCode::BAD_REQUEST),
        Err(_) => Err(StatusCode::REQUEST_TIMEOUT),
    }
}

/// Creates a body from bytes.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).boxed()
}

/// Creates an empty body.
pub fn empty() -> Body {
    Empty::new().boxed()
}

/// Creates a JSON response.
pub fn json(status: StatusCode, value: &impl serde::Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(full(bytes));
    *response.status_mut() = status;
    let content_type = hyper::header::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, content_type);
    response
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    limits: Limits,
    mut stop: watch::Receiver<bool>,
    handler: Arc<H>,
) where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let answer = handler(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.header_bytes.max(8192))
        .half_close(false);
    let serving = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(serving);
    tokio::select! {
        _ = serving.as_mut() => return,
        _ = stop.wait_for(|s| *s) => serving.as_mut().graceful_shutdown(),
    }
    let _ = serving.await;
}

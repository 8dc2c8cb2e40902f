//! Servers of the box: callers' connections, readiness and metrics.

use std::cell::Cell;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use platform::wire;
use serde_json::json;
use spdlog::Level;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until};

use super::shared_state::SharedState;
use super::stop::SentMark;
use super::{forward, levels, log, memory, status, task};

/// Delay after a connection could not be accepted, mostly because the process has run out
/// of file descriptors.
pub const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Longest time for one request on a connection. Requests have their own limits, far below
/// this one; it closes the connections of callers that never read.
const MAX_REQUEST_TIME: Duration = Duration::from_secs(600);

/// Path of the box's status, on the metrics port.
const STATUS_PATH: &str = "/status";

/// Smallest size of hyper's buffer for a head.
const MIN_BUFFER_BYTES: usize = 8192;

/// Body of a response.
pub type Body = UnsyncBoxBody<Bytes, AbortedBody>;

/// Error of a response body that cannot be completed. It breaks the connection, so that the
/// response does not look complete.
#[derive(Debug)]
pub struct AbortedBody;

impl std::fmt::Display for AbortedBody {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer broke off")
    }
}

impl std::error::Error for AbortedBody {}

/// Accepts callers' connections as long as the process runs.
pub async fn accept(shared: Rc<SharedState>, listener: Rc<TcpListener>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                shared.metrics.connections.inc();
                tokio::task::spawn_local(serve_connection(shared.clone(), stream, forward::handle));
            }
            Err(e) => {
                let fields = json!({"cause": e.to_string()});
                log::event(Level::Warn, "caller", "not accepted", fields);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Answers the load balancer's readiness checks on a port of their own.
pub async fn serve_readiness(shared: Rc<SharedState>, listener: Rc<TcpListener>) {
    serve_text(listener, move |_| {
        let status = match shared.is_ready() {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        };
        (status, String::new())
    })
    .await;
}

/// Serves the metrics, and the box's status under `/status`.
pub async fn serve_metrics(shared: Rc<SharedState>, listener: Rc<TcpListener>) {
    serve_text(listener, move |request| {
        if request.uri().path() == STATUS_PATH {
            return (StatusCode::OK, status::encode(&shared));
        }
        #[cfg(debug_assertions)]
        if let Some(name) = request.uri().path().strip_prefix("/panic/") {
            task::inject_panic(&shared, &name.replace('-', " "));
            return (StatusCode::OK, String::new());
        }
        shared.metrics.inflight.set(shared.inflight.get() as i64);
        shared.metrics.dropped_lines.set(log::dropped() as i64);
        shared.metrics.panics.set(task::panics() as i64);
        let searches = shared.quarantine.borrow().searches() as i64;
        shared.metrics.loss_searches.set(searches);
        let ended = shared.tasks.ended() as i64;
        shared.metrics.ended_tasks.set(ended);
        let age = shared.freshness.borrow().age(shared.now());
        let age = age.map_or(-1, |age| age.as_millis() as i64);
        shared.metrics.config_age.set(age);
        levels::set_gauges(&shared);
        memory::set_gauges(&shared);
        (StatusCode::OK, shared.metrics.encode())
    })
    .await;
}

/// Serves responses of plain text as long as the process runs.
async fn serve_text(
    listener: Rc<TcpListener>,
    answer: impl Fn(Request<Incoming>) -> (StatusCode, String) + 'static,
) {
    let answer = Rc::new(answer);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let answer = answer.clone();
        let service = service_fn(move |request| {
            let (status, body) = answer(request);
            let mut response = Response::new(http::Full::new(Bytes::from(body)));
            *response.status_mut() = status;
            async move { Ok::<_, Infallible>(response) }
        });
        tokio::task::spawn_local(async move {
            // The client may be gone; it asks again.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// Phase of a connection; each one has its own time limit.
#[derive(Clone, Copy, PartialEq)]
enum Phase {
    /// No request has begun.
    Idle,
    /// Part of a head has arrived.
    Head,
    /// A request is being handled.
    Busy,
}

/// Phase of a connection, and when it began.
struct ConnectionActivity {
    phase: Cell<Phase>,
    since: Cell<Instant>,
    /// Notifies that a head has begun, whose time limit may be shorter than that of an idle
    /// connection.
    head_begun: Notify,
}

impl ConnectionActivity {
    fn set(&self, phase: Phase) {
        self.phase.set(phase);
        self.since.set(Instant::now());
    }
}

/// Serves one connection until it ends or a phase exceeds its time limit. Its requests go to
/// `handler`.
pub async fn serve_connection<H, F>(shared: Rc<SharedState>, stream: TcpStream, handler: H)
where
    H: Fn(Rc<SharedState>, Request<Incoming>) -> F,
    F: Future<Output = Response<Body>>,
{
    // Without `TCP_NODELAY`, small events arrive later; nothing else changes.
    let _ = stream.set_nodelay(true);
    let activity = Rc::new(ConnectionActivity {
        phase: Cell::new(Phase::Idle),
        since: Cell::new(Instant::now()),
        head_begun: Notify::new(),
    });
    let io = TrackedSocket {
        inner: TokioIo::new(stream),
        activity: activity.clone(),
    };
    let limits = shared.routing().client_limits;
    let (state, shared_activity) = (shared.clone(), activity.clone());
    let service = service_fn(move |mut request: Request<Incoming>| {
        shared_activity.set(Phase::Busy);
        let mark = SentMark::default();
        request.extensions_mut().insert(mark.clone());
        let id = request.headers().get(wire::ATTEMPT_ID).cloned();
        let guard = RequestGuard::new(&state, &shared_activity);
        let shared = state.clone();
        let handling = handler(shared.clone(), request);
        async move {
            let mut response = tokio::select! {
                biased;
                response = handling => response,
                () = shared.stop.wait_ended() => {
                    mark.last_answer(id.as_ref().and_then(|id| id.to_str().ok()))
                }
            };
            if shared.stop.is_stopping.get() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            let response = response.map(|body| TrackedBody {
                body,
                _guard: guard,
            });
            Ok::<_, Infallible>(response)
        }
    });
    let serving = http1::Builder::new()
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES))
        .half_close(false)
        .serve_connection(io, service);
    tokio::pin!(serving);
    loop {
        let until = deadline(&shared, &activity);
        tokio::select! {
            // The caller sees its connection end; nobody else has to be told.
            _ = serving.as_mut() => return,
            () = activity.head_begun.notified() => {}
            () = sleep_until(until) => {
                if Instant::now() >= deadline(&shared, &activity) {
                    return;
                }
            }
        }
    }
}

/// When the time limit of the connection's current phase ends.
fn deadline(shared: &SharedState, activity: &ConnectionActivity) -> Instant {
    let limits = shared.routing().client_limits;
    let since = activity.since.get();
    match activity.phase.get() {
        Phase::Idle => since + limits.idle_timeout,
        Phase::Head => since + limits.header_timeout,
        Phase::Busy => since + MAX_REQUEST_TIME,
    }
}

/// A socket that notes when a request begins.
struct TrackedSocket {
    inner: TokioIo<TcpStream>,
    activity: Rc<ConnectionActivity>,
}

impl Read for TrackedSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        let polled = Pin::new(&mut self.inner).poll_read(cx, buf);
        let is_idle = self.activity.phase.get() == Phase::Idle;
        if is_idle && matches!(polled, Poll::Ready(Ok(()))) {
            self.activity.set(Phase::Head);
            self.activity.head_begun.notify_one();
        }
        polled
    }
}

impl Write for TrackedSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }
}

/// Counts a request as in flight from its head until hyper has its whole response.
struct RequestGuard {
    shared: Rc<SharedState>,
    activity: Rc<ConnectionActivity>,
}

impl RequestGuard {
    fn new(shared: &Rc<SharedState>, activity: &Rc<ConnectionActivity>) -> Self {
        shared.inflight.set(shared.inflight.get() + 1);
        RequestGuard {
            shared: shared.clone(),
            activity: activity.clone(),
        }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.shared.inflight.set(self.shared.inflight.get() - 1);
        self.activity.set(Phase::Idle);
    }
}

/// Body of a response. The connection is idle again once it is dropped.
struct TrackedBody {
    body: Body,
    _guard: RequestGuard,
}

impl HttpBody for TrackedBody {
    type Data = Bytes;
    type Error = AbortedBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AbortedBody>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

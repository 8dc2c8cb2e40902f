//! Connections from callers.

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
use serde_json::json;
use spdlog::Level;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until};

use super::desk::Desk;
use super::{forward, levels, log, status};

/// Pause after a connection could not be accepted, which mostly means that
/// the descriptors are used up.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Longest time for one request on a connection. Requests have limits of their
/// own, far below; this ends connections whose callers never read.
const BUSY_MOST: Duration = Duration::from_secs(600);

/// Path of the box's view of the fleet, on the metrics' port.
const STATUS_PATH: &str = "/status";

/// Least size of hyper's buffer for a head.
const BUFFER_LEAST: usize = 8192;

/// Body of an answer.
pub type Body = UnsyncBoxBody<Bytes, Broken>;

/// The answer cannot be brought to its end; the connection must break so that
/// it does not look whole.
#[derive(Debug)]
pub struct Broken;

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer broke off")
    }
}

impl std::error::Error for Broken {}

/// Accepts callers' connections as long as the process runs.
pub async fn accept(desk: Rc<Desk>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(connection(desk.clone(), stream));
            }
            Err(e) => {
                let fields = json!({"cause": e.to_string()});
                log::line(Level::Warn, "caller", "not accepted", fields);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Answers the balancer's question on a port of its own.
pub async fn answer_ready(desk: Rc<Desk>, listener: TcpListener) {
    serve_simple(listener, move |_| {
        let status = match desk.is_ready() {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        };
        (status, String::new())
    })
    .await;
}

/// Serves the metrics, and the box's view of the fleet under `/status`.
pub async fn answer_metrics(desk: Rc<Desk>, listener: TcpListener) {
    serve_simple(listener, move |request| {
        if request.uri().path() == STATUS_PATH {
            return (StatusCode::OK, status::write(&desk));
        }
        desk.metrics.inflight.set(desk.inflight.get() as i64);
        desk.metrics.dropped.set(log::dropped() as i64);
        levels::set_gauges(&desk);
        (StatusCode::OK, desk.metrics.write())
    })
    .await;
}

async fn serve_simple(
    listener: TcpListener,
    answer: impl Fn(Request<Incoming>) -> (StatusCode, String) + 'static,
) {
    let answer = Rc::new(answer);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let answer = answer.clone();
        let service = service_fn(move |request| {
            let (status, text) = answer(request);
            let mut response = Response::new(http::Full::new(Bytes::from(text)));
            *response.status_mut() = status;
            async move { Ok::<_, Infallible>(response) }
        });
        tokio::task::spawn_local(async move {
            // Whoever asked may be gone; it asks again.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// What a connection is doing, for its time limits.
#[derive(Clone, Copy, PartialEq)]
enum Phase {
    /// No request has begun.
    Idle,
    /// A part of a head has come.
    Head,
    /// A request is being answered.
    Busy,
}

struct Activity {
    phase: Cell<Phase>,
    since: Cell<Instant>,
    /// Tells that a head has begun, which may take less time than a rest.
    begun: Notify,
}

impl Activity {
    fn set(&self, phase: Phase) {
        self.phase.set(phase);
        self.since.set(Instant::now());
    }
}

async fn connection(desk: Rc<Desk>, stream: TcpStream) {
    // Without it small events come later, and nothing else changes.
    let _ = stream.set_nodelay(true);
    let activity = Rc::new(Activity {
        phase: Cell::new(Phase::Idle),
        since: Cell::new(Instant::now()),
        begun: Notify::new(),
    });
    let io = Timed {
        inner: TokioIo::new(stream),
        activity: activity.clone(),
    };
    let bounds = desk.routing().client_limits;
    let (shared, active) = (desk.clone(), activity.clone());
    let service = service_fn(move |request| {
        active.set(Phase::Busy);
        let busy = Busy::new(&shared, &active);
        let desk = shared.clone();
        async move {
            let mut response = forward::handle(desk.clone(), request).await;
            if desk.stopping.get() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            let response = response.map(|body| Answer { body, _busy: busy });
            Ok::<_, Infallible>(response)
        }
    });
    let serving = http1::Builder::new()
        .max_buf_size(bounds.header_bytes.max(BUFFER_LEAST))
        .half_close(false)
        .serve_connection(io, service);
    tokio::pin!(serving);
    loop {
        let until = limit(&desk, &activity);
        tokio::select! {
            // The caller sees its connection end; there is nobody to tell.
            _ = serving.as_mut() => return,
            () = activity.begun.notified() => {}
            () = sleep_until(until) => {
                if Instant::now() >= limit(&desk, &activity) {
                    return;
                }
            }
        }
    }
}

/// When the connection has used up the time for what it is doing.
fn limit(desk: &Desk, activity: &Activity) -> Instant {
    let bounds = desk.routing().client_limits;
    let since = activity.since.get();
    match activity.phase.get() {
        Phase::Idle => since + bounds.idle_timeout,
        Phase::Head => since + bounds.header_timeout,
        Phase::Busy => since + BUSY_MOST,
    }
}

/// A socket that notes when a request begins.
struct Timed {
    inner: TokioIo<TcpStream>,
    activity: Rc<Activity>,
}

impl Read for Timed {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        let polled = Pin::new(&mut self.inner).poll_read(cx, buf);
        let idle = self.activity.phase.get() == Phase::Idle;
        if idle && matches!(polled, Poll::Ready(Ok(()))) {
            self.activity.set(Phase::Head);
            self.activity.begun.notify_one();
        }
        polled
    }
}

impl Write for Timed {
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

/// Counts a request from its head until its whole answer is in hyper's hands.
struct Busy {
    desk: Rc<Desk>,
    activity: Rc<Activity>,
}

impl Busy {
    fn new(desk: &Rc<Desk>, activity: &Rc<Activity>) -> Self {
        desk.inflight.set(desk.inflight.get() + 1);
        Busy {
            desk: desk.clone(),
            activity: activity.clone(),
        }
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.desk.inflight.set(self.desk.inflight.get() - 1);
        self.activity.set(Phase::Idle);
    }
}

/// An answer's body; the connection rests once it is dropped.
struct Answer {
    body: Body,
    _busy: Busy,
}

impl HttpBody for Answer {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

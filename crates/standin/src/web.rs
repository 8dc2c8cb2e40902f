//! Helpers shared by all stand-ins: the HTTP server, address output and records.

use std::future::Future;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use bytes::Bytes;
use http::{Body, Limits, read_body, serve};
use hyper::http::request::Parts;
use hyper::{Response, StatusCode};
use tokio::net::TcpListener;
use tokio::sync::watch;

const MAX_BODY_BYTES: usize = 64 << 20;

/// Prints the address as a line on standard output, for the parent process.
pub fn announce(addr: SocketAddr) {
    println!("{addr}");
    let _ = std::io::stdout().flush();
}

/// Appends a record to a file of JSON lines, in a single write.
///
/// A failed write is reported on standard error: without the record, a test would
/// conclude that the work was not done.
pub fn append(path: Option<&Path>, record: &impl serde::Serialize) {
    let Some(path) = path else { return };
    let mut line = serde_json::to_vec(record).unwrap_or_default();
    line.push(b'\n');
    let mut options = std::fs::OpenOptions::new();
    let file = options.append(true).create(true).open(path);
    let written = file.and_then(|mut file| file.write_all(&line));
    if let Err(e) = written {
        eprintln!("cannot append a record to {}: {e}", path.display());
    }
}

/// Serves requests with a handler that gets the head and the complete body; never
/// returns.
pub async fn run<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Parts, Bytes) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let (_stop_sender, stop) = watch::channel(false);
    let limits = Limits {
        header_timeout: Duration::from_secs(3600),
        ..Limits::default()
    };
    serve(listener, limits, stop, move |request| {
        let handler = handler.clone();
        async move {
            let (head, body) = request.into_parts();
            match read_body(body, MAX_BODY_BYTES, Duration::from_secs(3600)).await {
                Ok(body) => handler(head, body).await,
                Err(status) => status_only(status),
            }
        }
    })
    .await;
}

/// Builds a response without a body.
pub fn status_only(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(http::empty());
    *response.status_mut() = status;
    response
}

/// Returns the value of a numeric query parameter.
pub fn query(head: &Parts, name: &str) -> Option<u64> {
    let pairs = head.uri.query()?.split('&');
    let mut pairs = pairs.filter_map(|p| p.split_once('='));
    pairs.find(|(n, _)| *n == name)?.1.parse().ok()
}

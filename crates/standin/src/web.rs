//! What all stand-ins share: serving JSON, announcing the address, records.

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

const BODY_MOST: usize = 64 << 20;

/// Prints the address as the process's first line, for whoever started it.
pub fn announce(addr: SocketAddr) {
    println!("{addr}");
    let _ = std::io::stdout().flush();
}

/// Appends a record to a file of JSON lines, in one write.
///
/// A record that cannot be written is told on standard error: without it a test
/// would take work for not done.
pub fn append(path: Option<&Path>, record: &impl serde::Serialize) {
    let Some(path) = path else { return };
    let mut line = serde_json::to_vec(record).unwrap_or_default();
    line.push(b'\n');
    let mut options = std::fs::OpenOptions::new();
    let file = options.append(true).create(true).open(path);
    let written = file.and_then(|mut file| file.write_all(&line));
    if let Err(e) = written {
        eprintln!("a record was lost: {}: {e}", path.display());
    }
}

/// Serves requests with their bodies read, for ever.
pub async fn run<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Parts, Bytes) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let (_keep, stop) = watch::channel(false);
    let limits = Limits {
        header_timeout: Duration::from_secs(3600),
        ..Limits::default()
    };
    serve(listener, limits, stop, move |request| {
        let handler = handler.clone();
        async move {
            let (head, body) = request.into_parts();
            match read_body(body, BODY_MOST, Duration::from_secs(3600)).await {
                Ok(body) => handler(head, body).await,
                Err(status) => status_only(status),
            }
        }
    })
    .await;
}

/// An answer without a body.
pub fn status_only(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(http::empty());
    *response.status_mut() = status;
    response
}

/// Value of one parameter of a query.
pub fn query(head: &Parts, name: &str) -> Option<u64> {
    let pairs = head.uri.query()?.split('&');
    let mut pairs = pairs.filter_map(|p| p.split_once('='));
    pairs.find(|(n, _)| *n == name)?.1.parse().ok()
}

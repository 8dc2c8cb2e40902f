//! Server for connections over which other boxes fetch answers that are too large for a
//! datagram.

use ashgauge::query::{Answer, Query};
use ashgauge::reader::MAX_READER_BOXES;
use http::Limits;
use hyper::{Response, StatusCode};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};

use super::codec;
use super::peers::FETCH_TOKEN_TTL;

/// Maximum size of a query, in bytes.
const MAX_QUERY_BYTES: usize = 1024;

/// Maximum number of open connections: from the boxes that a reader informs, and from
/// those that switch to it when other readers fail.
const MAX_CONNECTIONS: usize = 4 * MAX_READER_BOXES;

/// HTTP path at which answers are fetched.
pub const ANSWER_PATH: &str = "/answer";

/// A query received over a connection.
pub struct FetchRequest {
    /// The query.
    pub query: Query,
    /// Channel for its answer.
    pub reply: oneshot::Sender<Option<Answer>>,
}

/// Serves the connections of boxes that fetch answers.
pub async fn serve(listener: TcpListener, fetches: mpsc::Sender<FetchRequest>) {
    let (_stop_sender, stop) = watch::channel(false);
    let limits = Limits {
        connections: MAX_CONNECTIONS,
        ..Limits::default()
    };
    http::serve(listener, limits, stop, move |request| {
        let fetches = fetches.clone();
        async move {
            let body = http::read_body(request.into_body(), MAX_QUERY_BYTES, FETCH_TOKEN_TTL).await;
            let answer = match body {
                Ok(body) => fetch_answer(&body, &fetches).await,
                Err(status) => Err(status),
            };
            answer.unwrap_or_else(|status| {
                let mut response = Response::new(http::empty());
                *response.status_mut() = status;
                response
            })
        }
    })
    .await;
}

async fn fetch_answer(
    body: &[u8],
    fetches: &mpsc::Sender<FetchRequest>,
) -> Result<Response<http::Body>, StatusCode> {
    let query = postcard::from_bytes(body).map_err(|_| StatusCode::BAD_REQUEST)?;
    let (reply, answer) = oneshot::channel();
    let sent = fetches.send(FetchRequest { query, reply }).await;
    sent.map_err(|_| StatusCode::SERVICE_UNAVAILABLE)?;
    let answer = answer.await.ok().flatten().ok_or(StatusCode::FORBIDDEN)?;
    let bytes = codec::encode(&answer).ok_or(StatusCode::INTERNAL_SERVER_ERROR)?;
    Ok(Response::new(http::full(bytes)))
}

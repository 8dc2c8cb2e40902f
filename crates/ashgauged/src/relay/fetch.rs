//! Answers that are too large for a datagram, which other boxes fetch over a connection.

use ashgauge::query::{Answer, Query};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use tokio::sync::{mpsc, oneshot};

use super::answers::FETCH_TOKEN_TTL;
use super::codec;

/// Maximum size of a query, in bytes.
const MAX_QUERY_BYTES: usize = 1024;

/// HTTP path at which answers are fetched.
pub const ANSWER_PATH: &str = "/answer";

/// A query received over a connection.
pub struct FetchRequest {
    /// The query.
    pub query: Query,
    /// Channel for its answer.
    pub reply: oneshot::Sender<Option<Answer>>,
}

/// Answers a request to fetch an answer; `Err` with the status if there is none for it.
pub async fn handle(
    request: Request<Incoming>,
    fetches: &mpsc::Sender<FetchRequest>,
) -> Result<Bytes, StatusCode> {
    let body = http::read_body(request.into_body(), MAX_QUERY_BYTES, FETCH_TOKEN_TTL).await?;
    fetch_answer(&body, fetches).await
}

async fn fetch_answer(
    body: &[u8],
    fetches: &mpsc::Sender<FetchRequest>,
) -> Result<Bytes, StatusCode> {
    let query = postcard::from_bytes(body).map_err(|_| StatusCode::BAD_REQUEST)?;
    let (reply, answer) = oneshot::channel();
    let sent = fetches.send(FetchRequest { query, reply }).await;
    sent.map_err(|_| StatusCode::SERVICE_UNAVAILABLE)?;
    let answer = answer.await.ok().flatten().ok_or(StatusCode::FORBIDDEN)?;
    let bytes = codec::encode(&answer).ok_or(StatusCode::INTERNAL_SERVER_ERROR)?;
    Ok(bytes.into())
}

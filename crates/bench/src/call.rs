//! A streamed request, with the arrival time of each token.

use std::time::{Duration, Instant};

use bytes::Bytes;
use eyre::{Result, eyre};
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::client::conn::http1::handshake;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedSender;

/// A streamed completion to request.
#[derive(Clone, Debug)]
pub struct StreamRequest {
    /// Index of the team.
    pub team: usize,
    /// Bearer key of the team.
    pub key: String,
    /// Text of the prompt.
    pub prompt: String,
    /// Number of tokens to generate.
    pub tokens: u32,
    /// Time-out that is sent with the request.
    pub timeout: Duration,
}

/// Result of a streamed request.
#[derive(Clone, Debug)]
pub struct StreamResult {
    /// Index of the team.
    pub team: usize,
    /// When the request was sent.
    pub sent: Instant,
    /// Id of the request, from the `ashgauge-request` header.
    pub name: String,
    /// When each token arrived.
    pub tokens: Vec<Instant>,
    /// HTTP status, or 0 if no response arrived.
    pub status: u16,
    /// Whether the stream ended with `[DONE]`.
    pub complete: bool,
    /// When the request ended.
    pub ended: Instant,
}

/// Sends a request and reads its stream to the end. The team and arrival time of
/// each token are also sent to `live` at once.
pub async fn send(
    addr: String,
    request: StreamRequest,
    live: Option<UnboundedSender<(usize, Instant)>>,
) -> StreamResult {
    let now = Instant::now();
    let mut result = StreamResult {
        team: request.team,
        sent: now,
        name: String::new(),
        tokens: Vec::new(),
        status: 0,
        complete: false,
        ended: now,
    };
    let _ = stream(&addr, &request, &mut result, live).await;
    result.ended = Instant::now();
    result
}

async fn stream(
    addr: &str,
    call: &StreamRequest,
    result: &mut StreamResult,
    live: Option<UnboundedSender<(usize, Instant)>>,
) -> Result<()> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let body = serde_json::json!({
        "model": "chat", "prompt": call.prompt, "max_tokens": call.tokens, "stream": true,
    });
    let request = Request::post("/v1/completions")
        .header("host", "box")
        .header("authorization", format!("Bearer {}", call.key))
        .header("ashgauge-timeout-ms", call.timeout.as_millis().to_string())
        .body(Full::new(Bytes::from(body.to_string())))?;
    let response = sender.send_request(request).await?;
    result.status = response.status().as_u16();
    let name = response.headers().get("ashgauge-request");
    result.name = name
        .and_then(|n| n.to_str().ok())
        .unwrap_or_default()
        .into();
    let mut body = response.into_body();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        record_tokens(&data, result, live.as_ref()).ok_or_else(|| eyre!("broken"))?;
    }
    Ok(())
}

/// Records the tokens of one frame. Returns `None` if the frame has an error
/// event.
fn record_tokens(
    data: &[u8],
    result: &mut StreamResult,
    live: Option<&UnboundedSender<(usize, Instant)>>,
) -> Option<()> {
    let text = String::from_utf8_lossy(data);
    if text.contains("event: error") {
        return None;
    }
    for line in text.lines().filter_map(|l| l.strip_prefix("data: ")) {
        if line == "[DONE]" {
            result.complete = true;
        } else if !line.contains("ashgauge_outcome") && line.contains("text_completion") {
            let now = Instant::now();
            result.tokens.push(now);
            if let Some(live) = live {
                let _ = live.send((result.team, now));
            }
        }
    }
    Some(())
}

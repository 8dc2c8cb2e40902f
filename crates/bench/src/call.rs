//! One caller's streamed request, with the time of each token.

use std::time::{Duration, Instant};

use bytes::Bytes;
use eyre::{Result, eyre};
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::client::conn::http1::handshake;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedSender;

/// What a request is.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Number of the team.
    pub team: usize,
    /// Bearer key of the team.
    pub key: String,
    /// Prompt.
    pub prompt: String,
    /// Tokens wanted.
    pub tokens: u32,
    /// Longest time.
    pub timeout: Duration,
}

/// What happened, and when.
#[derive(Clone, Debug)]
pub struct Seen {
    /// Number of the team.
    pub team: usize,
    /// Time of the request.
    pub asked: Instant,
    /// Name in the engines' records.
    pub name: String,
    /// When each token came.
    pub tokens: Vec<Instant>,
    /// Status, or 0 if none came.
    pub status: u16,
    /// Whether the whole answer came.
    pub whole: bool,
    /// When it was over.
    pub over: Instant,
}

/// Sends a request and reads its stream to the end. Each token's time also
/// goes to `live` at once.
pub async fn ask(addr: String, ask: Ask, live: Option<UnboundedSender<(usize, Instant)>>) -> Seen {
    let now = Instant::now();
    let mut seen = Seen {
        team: ask.team,
        asked: now,
        name: String::new(),
        tokens: Vec::new(),
        status: 0,
        whole: false,
        over: now,
    };
    let _ = stream(&addr, &ask, &mut seen, live).await;
    seen.over = Instant::now();
    seen
}

async fn stream(
    addr: &str,
    ask: &Ask,
    seen: &mut Seen,
    live: Option<UnboundedSender<(usize, Instant)>>,
) -> Result<()> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let body = serde_json::json!({
        "model": "chat", "prompt": ask.prompt, "max_tokens": ask.tokens, "stream": true,
    });
    let request = Request::post("/v1/completions")
        .header("host", "box")
        .header("authorization", format!("Bearer {}", ask.key))
        .header("ashgauge-timeout-ms", ask.timeout.as_millis().to_string())
        .body(Full::new(Bytes::from(body.to_string())))?;
    let response = sender.send_request(request).await?;
    seen.status = response.status().as_u16();
    let name = response.headers().get("ashgauge-request");
    seen.name = name
        .and_then(|n| n.to_str().ok())
        .unwrap_or_default()
        .into();
    let mut body = response.into_body();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        note(&data, seen, live.as_ref()).ok_or_else(|| eyre!("broken"))?;
    }
    Ok(())
}

/// Counts the tokens of one frame; `None` once the stream reports an error.
fn note(
    data: &[u8],
    seen: &mut Seen,
    live: Option<&UnboundedSender<(usize, Instant)>>,
) -> Option<()> {
    let text = String::from_utf8_lossy(data);
    if text.contains("event: error") {
        return None;
    }
    for line in text.lines().filter_map(|l| l.strip_prefix("data: ")) {
        if line == "[DONE]" {
            seen.whole = true;
        } else if !line.contains("ashgauge_outcome") && line.contains("text_completion") {
            let now = Instant::now();
            seen.tokens.push(now);
            if let Some(live) = live {
                let _ = live.send((seen.team, now));
            }
        }
    }
    Some(())
}

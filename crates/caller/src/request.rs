//! Converts an HTTP request into an [`IncomingRequest`].

use std::time::Duration;

use ashgauge::node::{IncomingRequest, StageValue, Work};
use ashgauge::policy::hash_key;
use http::read_body;
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HeaderMap};
use hyper::{Method, Request, StatusCode};
use serde::Deserialize;

use crate::PortLimits;
use crate::answer::Problem;

/// Header that marks a request as not repeatable, with the value `no`.
const REPEAT_HEADER: &str = "ashgauge-repeat";

/// Header with the request's timeout in milliseconds.
const TIMEOUT_HEADER: &str = "ashgauge-timeout-ms";

const IDEMPOTENCY_HEADER: &str = "idempotency-key";

const DEFAULT_MAX_TOKENS: u32 = 16;

/// Format in which the caller expects the answer.
#[derive(Clone, Debug, PartialEq)]
pub enum AnswerFormat {
    /// `/v1/completions`.
    Completion {
        /// Model.
        model: String,
        /// Whether the answer is streamed as server-sent events.
        stream: bool,
    },
    /// `/v1/chat/completions`.
    Chat {
        /// Model.
        model: String,
        /// Whether the answer is streamed as server-sent events.
        stream: bool,
    },
    /// Format of a plain service.
    Service,
}

#[derive(Deserialize)]
struct CompletionBody {
    model: String,
    prompt: String,
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
struct ChatBody {
    model: String,
    messages: Vec<ChatMessage>,
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
struct ChatMessage {
    role: String,
    content: String,
}

/// Splits a prompt into tokens, one for each byte.
pub fn tokenize(text: &str) -> Vec<StageValue> {
    text.bytes().map(StageValue::from).collect()
}

/// Reads a whole request and validates it.
pub(crate) async fn parse(
    request: Request<Incoming>,
    limits: &PortLimits,
) -> Result<(IncomingRequest, AnswerFormat), Problem> {
    let (head, body) = request.into_parts();
    let key = bearer_key(&head.headers)?;
    let timeout = parse_timeout(&head.headers)?;
    let idempotency_key = header_text(&head.headers, IDEMPOTENCY_HEADER)?;
    let repeatable = header_text(&head.headers, REPEAT_HEADER)?.as_deref() != Some("no");
    let path = head
        .uri
        .path_and_query()
        .map_or("/", |p| p.as_str())
        .to_string();
    let model = matches!(head.uri.path(), "/v1/completions" | "/v1/chat/completions");
    if model && head.method != Method::POST {
        return Err(Problem::bad_method());
    }
    let body = read_body(body, limits.max_body_bytes, limits.body_timeout).await;
    let body = body.map_err(|status| Problem::bad_body(status, limits.max_body_bytes))?;
    let (work, format) = match head.uri.path() {
        "/v1/completions" => parse_completion(&body, limits)?,
        "/v1/chat/completions" => parse_chat(&body, limits)?,
        _ => {
            let content = header_text(&head.headers, CONTENT_TYPE.as_str())?;
            let work = Work::Call {
                method: head.method.to_string(),
                path,
                content_type: content.unwrap_or_default(),
                body: body.to_vec().into(),
            };
            (work, AnswerFormat::Service)
        }
    };
    let incoming = IncomingRequest {
        id: 0,
        key_hash: hash_key(&key),
        work,
        idempotency_key,
        repeatable,
        timeout,
    };
    Ok((incoming, format))
}

fn parse_completion(body: &[u8], limits: &PortLimits) -> Result<(Work, AnswerFormat), Problem> {
    let body: CompletionBody = decode(body)?;
    let work = generate_work(&body.model, &body.prompt, body.max_tokens, limits)?;
    let (model, stream) = (body.model, body.stream);
    Ok((work, AnswerFormat::Completion { model, stream }))
}

fn parse_chat(body: &[u8], limits: &PortLimits) -> Result<(Work, AnswerFormat), Problem> {
    let body: ChatBody = decode(body)?;
    let lines = body.messages.iter();
    let lines: Vec<String> = lines
        .map(|m| format!("{}: {}\n", m.role, m.content))
        .collect();
    let work = generate_work(&body.model, &lines.concat(), body.max_tokens, limits)?;
    let (model, stream) = (body.model, body.stream);
    Ok((work, AnswerFormat::Chat { model, stream }))
}

fn generate_work(
    model: &str,
    prompt: &str,
    max_tokens: Option<u32>,
    limits: &PortLimits,
) -> Result<Work, Problem> {
    let max_tokens = max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    if max_tokens == 0 || max_tokens > limits.max_tokens {
        let limit = limits.max_tokens;
        return Err(Problem::bad_request(&format!(
            "max_tokens must be 1 to {limit}"
        )));
    }
    if prompt.is_empty() {
        return Err(Problem::bad_request("the prompt must not be empty"));
    }
    Ok(Work::Generate {
        model: model.into(),
        prompt: tokenize(prompt),
        max_tokens,
    })
}

fn decode<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, Problem> {
    serde_json::from_slice(body).map_err(|e| Problem::bad_request(&e.to_string()))
}

fn bearer_key(headers: &HeaderMap) -> Result<String, Problem> {
    let value = header_text(headers, AUTHORIZATION.as_str())?;
    let key = value.as_deref().and_then(|v| v.strip_prefix("Bearer "));
    key.map(String::from).ok_or_else(Problem::missing_key)
}

fn parse_timeout(headers: &HeaderMap) -> Result<Option<Duration>, Problem> {
    let Some(value) = header_text(headers, TIMEOUT_HEADER)? else {
        return Ok(None);
    };
    match value.parse::<u64>() {
        Ok(ms) if ms > 0 => Ok(Some(Duration::from_millis(ms))),
        _ => Err(Problem::bad_request(&format!(
            "{TIMEOUT_HEADER} must be a whole number from 1"
        ))),
    }
}

fn header_text(headers: &HeaderMap, name: &str) -> Result<Option<String>, Problem> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(value) => Ok(Some(value.into())),
        Err(_) => Err(Problem::bad_request(&format!("header {name} is not text"))),
    }
}

impl Problem {
    fn bad_body(status: StatusCode, max_bytes: usize) -> Self {
        let message = match status {
            StatusCode::PAYLOAD_TOO_LARGE => format!("the body is longer than {max_bytes} bytes"),
            StatusCode::REQUEST_TIMEOUT => "the body took too long to arrive".into(),
            _ => "the body could not be read".into(),
        };
        Problem::new(
            status,
            "bad_request",
            &message,
            "send a shorter or whole body",
        )
    }

    fn bad_request(message: &str) -> Self {
        let remedy = "correct the request; README shows its form";
        Problem::new(StatusCode::BAD_REQUEST, "bad_request", message, remedy)
    }

    fn bad_method() -> Self {
        let status = StatusCode::METHOD_NOT_ALLOWED;
        Problem::new(
            status,
            "bad_method",
            "this path takes POST only",
            "use POST",
        )
    }

    fn missing_key() -> Self {
        let status = StatusCode::UNAUTHORIZED;
        let remedy = "send the team's key as a bearer token";
        Problem::new(status, "unauthorized", "no bearer key was sent", remedy)
    }
}

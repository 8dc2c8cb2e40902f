//! Converts a node's replies into an HTTP answer.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ashgauge::node::{Outcome, Refusal, RefusalKind, ReplyPart, Token};
use bytes::Bytes;
use http::{Body, full, json};
use http_body_util::BodyExt;
use hyper::body::Frame;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde_json::json;

use crate::{Answer, AnswerFormat};

/// Header with the outcome of the request.
pub const OUTCOME_HEADER: &str = "ashgauge-outcome";

/// Header with the request's name.
const REQUEST_HEADER: &str = "ashgauge-request";

/// Error answer.
#[derive(Clone, Debug)]
pub struct Problem {
    status: StatusCode,
    kind: String,
    outcome: Outcome,
    message: String,
    remedy: String,
    retry_after: Option<Duration>,
}

impl Problem {
    pub(crate) fn new(status: StatusCode, kind: &str, message: &str, remedy: &str) -> Self {
        Problem {
            status,
            kind: kind.into(),
            outcome: Outcome::NotRun,
            message: message.into(),
            remedy: remedy.into(),
            retry_after: None,
        }
    }

    pub(crate) fn stopped() -> Self {
        let message = "this box is stopping";
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Problem::new(status, "stopped", message, "send it again now")
    }

    fn from_refusal(refusal: &Refusal) -> Self {
        Problem {
            status: status_code(refusal.kind, refusal.outcome),
            kind: serialized_name(&refusal.kind),
            outcome: refusal.outcome,
            message: refusal.message.clone(),
            remedy: refusal.remedy.clone(),
            retry_after: refusal.retry_after,
        }
    }

    /// Returns the HTTP response, with all details as JSON.
    pub fn response(&self) -> Response<Body> {
        let mut response = json(self.status, &self.to_json());
        let headers = response.headers_mut();
        headers.insert(OUTCOME_HEADER, outcome_value(self.outcome));
        if let Some(after) = self.retry_after {
            let seconds = after.as_millis().div_ceil(1000) as u64;
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }

    fn to_json(&self) -> serde_json::Value {
        json!({"error": {
            "kind": self.kind,
            "message": self.message,
            "remedy": self.remedy,
            "outcome": serialized_name(&self.outcome),
            "retry_after_ms": self.retry_after.map(|d| d.as_millis() as u64),
        }})
    }
}

/// Waits for the first reply and answers in the requested format.
pub(crate) async fn respond(answer: Answer, format: AnswerFormat) -> Response<Body> {
    let name = HeaderValue::from_str(&answer.request_name);
    let mut response = build_response(answer, format).await;
    if let Ok(name) = name {
        response.headers_mut().insert(REQUEST_HEADER, name);
    }
    response
}

async fn build_response(mut answer: Answer, format: AnswerFormat) -> Response<Body> {
    let Some(first) = answer.replies.recv().await else {
        return Problem::stopped().response();
    };
    match (first, format) {
        (ReplyPart::Refused(refusal), _) => Problem::from_refusal(&refusal).response(),
        (ReplyPart::Called(called), _) => {
            let mut response = Response::new(full(called.body));
            let status = StatusCode::from_u16(called.status);
            *response.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
            let headers = response.headers_mut();
            headers.insert(OUTCOME_HEADER, outcome_value(Outcome::Done));
            if let Ok(content) = HeaderValue::from_str(&called.content_type) {
                headers.insert(CONTENT_TYPE, content);
            }
            response
        }
        (first, format) if format.is_stream() => stream_answer(first, answer, format),
        (first, format) => collect_answer(first, answer, &format).await,
    }
}

pub(crate) fn plain_text(status: StatusCode, text: &'static str) -> Response<Body> {
    let mut response = Response::new(full(text));
    *response.status_mut() = status;
    response
}

impl AnswerFormat {
    fn is_stream(&self) -> bool {
        match self {
            AnswerFormat::Completion { stream, .. } | AnswerFormat::Chat { stream, .. } => *stream,
            AnswerFormat::Service => false,
        }
    }

    fn model(&self) -> &str {
        match self {
            AnswerFormat::Completion { model, .. } | AnswerFormat::Chat { model, .. } => model,
            AnswerFormat::Service => "",
        }
    }

    fn completion_json(&self, text: &str, usage: (u32, u32), finish: &str) -> serde_json::Value {
        let (prompt, generated) = usage;
        let (object, choice) = match self {
            AnswerFormat::Chat { .. } => (
                "chat.completion",
                json!({"index": 0, "message": {"role": "assistant", "content": text}, "finish_reason": finish}),
            ),
            _ => (
                "text_completion",
                json!({"index": 0, "text": text, "finish_reason": finish}),
            ),
        };
        json!({
            "id": "cmpl", "object": object, "created": unix_seconds(), "model": self.model(),
            "choices": [choice],
            "usage": {
                "prompt_tokens": prompt,
                "completion_tokens": generated,
                "total_tokens": prompt + generated,
            },
        })
    }

    fn chunk_json(&self, text: &str, finish: Option<&str>) -> serde_json::Value {
        let (object, choice) = match self {
            AnswerFormat::Chat { .. } => (
                "chat.completion.chunk",
                json!({"index": 0, "delta": {"content": text}, "finish_reason": finish}),
            ),
            _ => (
                "text_completion",
                json!({"index": 0, "text": text, "finish_reason": finish}),
            ),
        };
        json!({
            "id": "cmpl", "object": object, "created": unix_seconds(), "model": self.model(),
            "choices": [choice],
        })
    }
}

/// Stream of server-sent events, made from a node's replies.
struct EventStream {
    first_reply: Option<ReplyPart>,
    answer: Answer,
    format: AnswerFormat,
    finish_reason: &'static str,
    finished: bool,
}

impl EventStream {
    fn encode(&mut self, reply: ReplyPart) -> Bytes {
        match reply {
            ReplyPart::Token(Token { text, end, .. }) => {
                self.finish_reason = if end { "stop" } else { "length" };
                sse_event(&self.format.chunk_json(&text, None))
            }
            ReplyPart::End { .. } => {
                self.finished = true;
                let mut last = self.format.chunk_json("", Some(self.finish_reason));
                last["ashgauge_outcome"] = json!(serialized_name(&Outcome::Done));
                let mut bytes = sse_event(&last).to_vec();
                bytes.extend_from_slice(b"data: [DONE]\n\n");
                bytes.into()
            }
            ReplyPart::Refused(refusal) => self.encode_error(&Problem::from_refusal(&refusal)),
            ReplyPart::Called(_) => self.encode_error(&Problem::stopped()),
        }
    }

    fn encode_error(&mut self, problem: &Problem) -> Bytes {
        self.finished = true;
        format!("event: error\ndata: {}\n\n", problem.to_json()).into()
    }
}

impl hyper::body::Body for EventStream {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.finished {
            return Poll::Ready(None);
        }
        let reply = match self.first_reply.take() {
            Some(reply) => Some(reply),
            None => ready!(self.answer.replies.poll_recv(cx)),
        };
        let bytes = match reply {
            Some(reply) => self.encode(reply),
            None => {
                let mut problem = Problem::stopped();
                problem.outcome = Outcome::Unknown;
                self.encode_error(&problem)
            }
        };
        Poll::Ready(Some(Ok(Frame::data(bytes))))
    }
}

fn stream_answer(first: ReplyPart, answer: Answer, format: AnswerFormat) -> Response<Body> {
    let events = EventStream {
        first_reply: Some(first),
        answer,
        format,
        finish_reason: "length",
        finished: false,
    };
    let mut response = Response::new(events.boxed());
    let content_type = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

async fn collect_answer(
    first: ReplyPart,
    mut answer: Answer,
    format: &AnswerFormat,
) -> Response<Body> {
    let mut text = String::new();
    let mut finish = "length";
    let mut next = Some(first);
    while let Some(reply) = next {
        match reply {
            ReplyPart::Token(token) => {
                text.push_str(&token.text);
                if token.end {
                    finish = "stop";
                }
            }
            ReplyPart::End { prompt, generated } => {
                let value = format.completion_json(&text, (prompt, generated), finish);
                let mut response = json(StatusCode::OK, &value);
                let headers = response.headers_mut();
                headers.insert(OUTCOME_HEADER, outcome_value(Outcome::Done));
                return response;
            }
            ReplyPart::Refused(refusal) => return Problem::from_refusal(&refusal).response(),
            ReplyPart::Called(_) => break,
        }
        next = answer.replies.recv().await;
    }
    let mut problem = Problem::stopped();
    problem.outcome = Outcome::Unknown;
    problem.response()
}

fn sse_event(value: &serde_json::Value) -> Bytes {
    format!("data: {value}\n\n").into()
}

fn outcome_value(outcome: Outcome) -> HeaderValue {
    HeaderValue::from_static(match outcome {
        Outcome::Done => "done",
        Outcome::NotRun => "not_run",
        Outcome::Unknown => "unknown",
    })
}

fn serialized_name(value: &impl serde::Serialize) -> String {
    let value = serde_json::to_value(value).unwrap_or_default();
    value.as_str().unwrap_or_default().into()
}

fn status_code(kind: RefusalKind, outcome: Outcome) -> StatusCode {
    match kind {
        RefusalKind::Unauthorized => StatusCode::UNAUTHORIZED,
        RefusalKind::UnknownRoute => StatusCode::NOT_FOUND,
        RefusalKind::BadKey => StatusCode::BAD_REQUEST,
        RefusalKind::KeyTaken => StatusCode::CONFLICT,
        RefusalKind::RateLimited | RefusalKind::QueueFull => StatusCode::TOO_MANY_REQUESTS,
        RefusalKind::Deadline => StatusCode::GATEWAY_TIMEOUT,
        RefusalKind::Broken | RefusalKind::Held if outcome == Outcome::Unknown => {
            StatusCode::BAD_GATEWAY
        }
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn unix_seconds() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_secs())
}

//! From a node's replies to an HTTP answer.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ashgauge::node::{Kind, Outcome, Refusal, Reply, Token};
use bytes::Bytes;
use http::{Body, full, json};
use http_body_util::BodyExt;
use hyper::body::Frame;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde_json::json;

use crate::{Answer, Shape};

/// Header that carries the outcome.
pub const OUTCOME: &str = "ashgauge-outcome";

/// Header that carries the request's name.
const REQUEST: &str = "ashgauge-request";

/// An error answer.
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

    fn of(refusal: &Refusal) -> Self {
        Problem {
            status: status(refusal.kind, refusal.outcome),
            kind: word(&refusal.kind),
            outcome: refusal.outcome,
            message: refusal.message.clone(),
            remedy: refusal.remedy.clone(),
            retry_after: refusal.retry_after,
        }
    }

    /// The answer, with all that it says as JSON.
    pub fn response(&self) -> Response<Body> {
        let mut response = json(self.status, &self.value());
        let headers = response.headers_mut();
        headers.insert(OUTCOME, outcome_value(self.outcome));
        if let Some(after) = self.retry_after {
            let seconds = after.as_millis().div_ceil(1000) as u64;
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }

    fn value(&self) -> serde_json::Value {
        json!({"error": {
            "kind": self.kind,
            "message": self.message,
            "remedy": self.remedy,
            "outcome": word(&self.outcome),
            "retry_after_ms": self.retry_after.map(|d| d.as_millis() as u64),
        }})
    }
}

/// Waits for the first part and answers in the wanted form.
pub(crate) async fn respond(answer: Answer, shape: Shape) -> Response<Body> {
    let name = HeaderValue::from_str(&answer.name);
    let mut response = begin(answer, shape).await;
    if let Ok(name) = name {
        response.headers_mut().insert(REQUEST, name);
    }
    response
}

async fn begin(mut answer: Answer, shape: Shape) -> Response<Body> {
    let Some(first) = answer.parts.recv().await else {
        return Problem::stopped().response();
    };
    match (first, shape) {
        (Reply::Refused(refusal), _) => Problem::of(&refusal).response(),
        (Reply::Called(called), _) => {
            let mut response = Response::new(full(called.body));
            let status = StatusCode::from_u16(called.status);
            *response.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
            let headers = response.headers_mut();
            headers.insert(OUTCOME, outcome_value(Outcome::Done));
            if let Ok(content) = HeaderValue::from_str(&called.content) {
                headers.insert(CONTENT_TYPE, content);
            }
            response
        }
        (first, shape) if shape.is_stream() => stream(first, answer, shape),
        (first, shape) => whole(first, answer, &shape).await,
    }
}

pub(crate) fn plain(status: StatusCode, text: &'static str) -> Response<Body> {
    let mut response = Response::new(full(text));
    *response.status_mut() = status;
    response
}

impl Shape {
    fn is_stream(&self) -> bool {
        match self {
            Shape::Completion { stream, .. } | Shape::Chat { stream, .. } => *stream,
            Shape::Service => false,
        }
    }

    fn model(&self) -> &str {
        match self {
            Shape::Completion { model, .. } | Shape::Chat { model, .. } => model,
            Shape::Service => "",
        }
    }

    fn value(&self, text: &str, usage: (u32, u32), finish: &str) -> serde_json::Value {
        let (prompt, generated) = usage;
        let (object, choice) = match self {
            Shape::Chat { .. } => (
                "chat.completion",
                json!({"index": 0, "message": {"role": "assistant", "content": text}, "finish_reason": finish}),
            ),
            _ => (
                "text_completion",
                json!({"index": 0, "text": text, "finish_reason": finish}),
            ),
        };
        json!({
            "id": "cmpl", "object": object, "created": seconds(), "model": self.model(),
            "choices": [choice],
            "usage": {
                "prompt_tokens": prompt,
                "completion_tokens": generated,
                "total_tokens": prompt + generated,
            },
        })
    }

    fn chunk(&self, text: &str, finish: Option<&str>) -> serde_json::Value {
        let (object, choice) = match self {
            Shape::Chat { .. } => (
                "chat.completion.chunk",
                json!({"index": 0, "delta": {"content": text}, "finish_reason": finish}),
            ),
            _ => (
                "text_completion",
                json!({"index": 0, "text": text, "finish_reason": finish}),
            ),
        };
        json!({
            "id": "cmpl", "object": object, "created": seconds(), "model": self.model(),
            "choices": [choice],
        })
    }
}

/// A server-sent event stream over a node's replies.
struct Events {
    first: Option<Reply>,
    answer: Answer,
    shape: Shape,
    finish: &'static str,
    over: bool,
}

impl Events {
    fn write(&mut self, reply: Reply) -> Bytes {
        match reply {
            Reply::Token(Token { text, end, .. }) => {
                self.finish = if end { "stop" } else { "length" };
                event(&self.shape.chunk(&text, None))
            }
            Reply::End { .. } => {
                self.over = true;
                let mut last = self.shape.chunk("", Some(self.finish));
                last["ashgauge_outcome"] = json!(word(&Outcome::Done));
                let mut bytes = event(&last).to_vec();
                bytes.extend_from_slice(b"data: [DONE]\n\n");
                bytes.into()
            }
            Reply::Refused(refusal) => self.error(&Problem::of(&refusal)),
            Reply::Called(_) => self.error(&Problem::stopped()),
        }
    }

    fn error(&mut self, problem: &Problem) -> Bytes {
        self.over = true;
        format!("event: error\ndata: {}\n\n", problem.value()).into()
    }
}

impl hyper::body::Body for Events {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.over {
            return Poll::Ready(None);
        }
        let reply = match self.first.take() {
            Some(reply) => Some(reply),
            None => ready!(self.answer.parts.poll_recv(cx)),
        };
        let bytes = match reply {
            Some(reply) => self.write(reply),
            None => {
                let mut problem = Problem::stopped();
                problem.outcome = Outcome::Unknown;
                self.error(&problem)
            }
        };
        Poll::Ready(Some(Ok(Frame::data(bytes))))
    }
}

fn stream(first: Reply, answer: Answer, shape: Shape) -> Response<Body> {
    let events = Events {
        first: Some(first),
        answer,
        shape,
        finish: "length",
        over: false,
    };
    let mut response = Response::new(events.boxed());
    let kind = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

async fn whole(first: Reply, mut answer: Answer, shape: &Shape) -> Response<Body> {
    let mut text = String::new();
    let mut finish = "length";
    let mut next = Some(first);
    while let Some(reply) = next {
        match reply {
            Reply::Token(token) => {
                text.push_str(&token.text);
                if token.end {
                    finish = "stop";
                }
            }
            Reply::End { prompt, generated } => {
                let value = shape.value(&text, (prompt, generated), finish);
                let mut response = json(StatusCode::OK, &value);
                let headers = response.headers_mut();
                headers.insert(OUTCOME, outcome_value(Outcome::Done));
                return response;
            }
            Reply::Refused(refusal) => return Problem::of(&refusal).response(),
            Reply::Called(_) => break,
        }
        next = answer.parts.recv().await;
    }
    let mut problem = Problem::stopped();
    problem.outcome = Outcome::Unknown;
    problem.response()
}

fn event(value: &serde_json::Value) -> Bytes {
    format!("data: {value}\n\n").into()
}

fn outcome_value(outcome: Outcome) -> HeaderValue {
    HeaderValue::from_static(match outcome {
        Outcome::Done => "done",
        Outcome::NotRun => "not_run",
        Outcome::Unknown => "unknown",
    })
}

fn word(value: &impl serde::Serialize) -> String {
    let value = serde_json::to_value(value).unwrap_or_default();
    value.as_str().unwrap_or_default().into()
}

fn status(kind: Kind, outcome: Outcome) -> StatusCode {
    match kind {
        Kind::Unauthorized => StatusCode::UNAUTHORIZED,
        Kind::UnknownRoute => StatusCode::NOT_FOUND,
        Kind::BadKey => StatusCode::BAD_REQUEST,
        Kind::KeyTaken => StatusCode::CONFLICT,
        Kind::RateLimited | Kind::QueueFull => StatusCode::TOO_MANY_REQUESTS,
        Kind::Deadline => StatusCode::GATEWAY_TIMEOUT,
        Kind::Broken | Kind::Held if outcome == Outcome::Unknown => StatusCode::BAD_GATEWAY,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn seconds() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_secs())
}

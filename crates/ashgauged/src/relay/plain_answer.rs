//! Answers that are not streams. The beginning of an answer is held, so that another upstream can
//! be asked if it breaks off; what is larger is passed on as it arrives.

use std::rc::Rc;
use std::time::Duration;

use ashgauge::member::UpstreamId;
use bytes::Bytes;
use http::ReadError;
use http_body_util::BodyExt;
use hyper::header::{CONTENT_LENGTH, HeaderMap};
use hyper::http::response;
use hyper::{Response, StatusCode};
use platform::engine;
use tokio::sync::mpsc;

use super::dial::OpenResponse;
use super::open::response_head;
use super::probe;
use super::record::ANSWERED;
use super::request::{FullResponse, LoadGuard, RoutedRequest, upstream_response};
use super::serve::{AbortedBody, Body};
use super::shared_state::SharedState;
use super::stream_body::StreamBody;

/// Largest answer that is held until it is complete.
const MAX_HELD_BYTES: usize = 1 << 20;

/// Largest length that an answer may tell. A larger one is taken for a fault of its upstream.
const MAX_TOLD_BYTES: u64 = 1 << 30;

/// Number of pieces that are queued for a slow caller.
const MAX_QUEUED_PIECES: usize = 2;

/// End of a request that got the whole answer of an upstream that failed it.
const FAILED: &str = "failed upstream";

/// An answer, as far as it has been received.
pub enum PlainAnswer {
    /// It is complete.
    Whole(FullResponse),
    /// It is larger than what is held.
    Partial(Box<PartialAnswer>),
}

/// The beginning of an answer, and the connection over which the rest arrives.
pub struct PartialAnswer {
    head: response::Parts,
    pieces: Vec<Bytes>,
    rest: OpenResponse,
    /// Upstream that ends the answer by closing the connection, if it told no other end.
    unframed_from: Option<UpstreamId>,
    load_guard: Option<LoadGuard>,
}

/// Reason why no answer was received.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// It broke off.
    Broken,
    /// It is larger than an answer may be.
    Endless,
}

impl PlainAnswer {
    /// Names the upstream of the answer, and keeps the answer counted as load on it.
    pub fn on_upstream(mut self, id: &UpstreamId, load_guard: LoadGuard) -> Self {
        if let PlainAnswer::Partial(answer) = &mut self {
            let is_framed = engine::is_framed(answer.rest.response.headers());
            answer.unframed_from = (!is_framed).then(|| id.clone());
            answer.load_guard = Some(load_guard);
        }
        self
    }

    /// Returns the status.
    pub fn status(&self) -> StatusCode {
        match self {
            PlainAnswer::Whole(answer) => answer.status(),
            PlainAnswer::Partial(answer) => answer.head.status,
        }
    }
}

/// Receives an answer until it is complete, or larger than what is held. An answer that has
/// neither a length nor chunks may be larger only if `may_be_large`: bytes without end begin in
/// the same way.
///
/// # Errors
///
/// Fails if the answer breaks off or is larger than it may be.
pub async fn receive(
    shared: &SharedState,
    mut response: OpenResponse,
    may_be_large: bool,
) -> Result<PlainAnswer, Fault> {
    let mut parts = response_head(&response);
    let length = parts.headers.get(CONTENT_LENGTH).cloned();
    if told_length(&parts.headers).is_some_and(|length| length > MAX_TOLD_BYTES) {
        return Err(Fault::Endless);
    }
    let may_pass = may_be_large || engine::is_framed(&parts.headers);
    parts.headers = engine::answer_headers(&parts);
    let mut buffer = shared.memory.upstreams.buffer(MAX_HELD_BYTES);
    while let Some(frame) = response.response.body_mut().frame().await {
        let Ok(data) = frame.map_err(|_| Fault::Broken)?.into_data() else {
            continue;
        };
        match buffer.push(&data) {
            Ok(()) => continue,
            Err(ReadError::TooLarge) if !may_pass => return Err(Fault::Endless),
            Err(_) if !may_pass => return Err(Fault::Broken),
            Err(_) => {}
        }
        if let Some(length) = length {
            parts.headers.insert(CONTENT_LENGTH, length);
        }
        let partial = PartialAnswer {
            head: parts,
            pieces: vec![buffer.freeze(), data],
            rest: response,
            unframed_from: None,
            load_guard: None,
        };
        return Ok(PlainAnswer::Partial(Box::new(partial)));
    }
    let answer = Response::from_parts(parts, buffer.freeze());
    Ok(PlainAnswer::Whole(answer))
}

/// Builds the response for the caller. What is not held is passed on until `deadline`.
pub fn respond(
    shared: &Rc<SharedState>,
    mut request: RoutedRequest,
    answer: PlainAnswer,
    deadline: Duration,
) -> Response<Body> {
    let answer = match answer {
        PlainAnswer::Whole(answer) => {
            request.record.end(end_of(answer.status()));
            return upstream_response(answer);
        }
        PlainAnswer::Partial(answer) => answer,
    };
    let (sender, chunks) = mpsc::channel(MAX_QUEUED_PIECES);
    let head = Response::from_parts(answer.head, ());
    let passing = Passing {
        status: head.status(),
        shared: shared.clone(),
        request,
        deadline,
        sender,
        rest: answer.rest,
        unframed_from: answer.unframed_from,
        _load_guard: answer.load_guard,
    };
    let task = tokio::task::spawn_local(passing.run(answer.pieces));
    head.map(|()| StreamBody::new(chunks, task).boxed_unsync())
}

/// Forgets the services that the configuration in force does not have.
pub fn forget_services(shared: &SharedState) {
    let routing = shared.routing();
    let mut services = shared.large_answers.borrow_mut();
    services.retain(|service| routing.services.contains_key(service));
}

/// Passes on the rest of an answer.
struct Passing {
    shared: Rc<SharedState>,
    request: RoutedRequest,
    deadline: Duration,
    status: StatusCode,
    sender: mpsc::Sender<Result<Bytes, AbortedBody>>,
    rest: OpenResponse,
    unframed_from: Option<UpstreamId>,
    _load_guard: Option<LoadGuard>,
}

impl Passing {
    async fn run(mut self, pieces: Vec<Bytes>) {
        let time_left = self.deadline.saturating_sub(self.shared.now());
        let shared = self.shared.clone();
        let passing = shared.clock.within(time_left, self.pass(pieces));
        let end = tokio::select! {
            passed = passing => match passed {
                Some(true) => end_of(self.status),
                Some(false) => "broken",
                None => "late",
            },
            () = shared.stop.wait_ended() => "stopped",
        };
        self.request.record.end(end);
        if end == ANSWERED || end == FAILED {
            let service = self.request.service.name.clone();
            self.shared.large_answers.borrow_mut().insert(service);
        } else {
            // A caller that left does not need the error.
            let _ = self.sender.send(Err(AbortedBody)).await;
        }
    }

    /// Returns whether the whole answer was passed on.
    async fn pass(&mut self, pieces: Vec<Bytes>) -> bool {
        for piece in pieces {
            if self.sender.send(Ok(piece)).await.is_err() {
                return false;
            }
        }
        while let Some(frame) = self.rest.response.body_mut().frame().await {
            let Ok(frame) = frame else {
                return false;
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if self.sender.send(Ok(data)).await.is_err() {
                return false;
            }
        }
        let Some(upstream) = &self.unframed_from else {
            return true;
        };
        !probe::is_gone(&self.shared, &self.request.service, upstream).await
    }
}

/// Returns the end of a request that got a whole answer with this status.
fn end_of(status: StatusCode) -> &'static str {
    match status.is_server_error() {
        true => FAILED,
        false => ANSWERED,
    }
}

/// Returns the length that the head of an answer tells, if it does.
fn told_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

//! Client of model engines and plain services.
//!
//! The engine protocol is JSON over HTTP with one call for each stage order. An engine
//! keeps one session for each stage of a request. It runs each position of a session once:
//! if the same order is sent again, it returns the stored outputs. With the header
//! `not-run: REASON` an upstream states that it has done nothing, and with `retry-after`
//! beside it for how long it wants no new requests from the box.

#![warn(missing_docs)]
#![forbid(unsafe_code)]

mod wire;

use std::time::Duration;

use ashgauge::node::{ServiceCall, ServiceResponse, StageResult, StageRun, UpstreamError};
use ashgauge::order::{Order, Reply};
use bytes::Bytes;
use http::{Client, Failure, Full};
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use hyper::{Request, Response, StatusCode};
use spdlog::warn;

pub use wire::{
    Cancel, NOT_RUN_HEADER, OrderBody, OrderReply, RunBody, RunReply, parse_reason, reason_name,
};

/// Returns the name of a stage's session on its engine.
pub fn session_name(owner: &str, id: u64, session: u32) -> String {
    format!("{owner}.{id}.{session}")
}

/// Sends a stage order; `owner` is the box with its incarnation.
///
/// # Errors
///
/// Returns what is known of whether the order ran.
pub async fn run(
    client: &Client,
    owner: &str,
    order: &StageRun,
    limit: Duration,
) -> Result<StageResult, UpstreamError> {
    let body = RunBody {
        session: session_name(owner, order.id, order.session),
        request: format!("{owner}.{}", order.id),
        attempt: order.attempt,
        model: order.model.clone(),
        first: order.first,
        end: order.end,
        start: order.start,
        inputs: order.inputs.clone(),
        rebuild: order.rebuild_count,
    };
    let request = post("/v1/stages/run", &body);
    let answer = client
        .send(&order.addr, request, limit)
        .await
        .map_err(to_upstream_error)?;
    check_status(&answer)?;
    let reply: RunReply = decode(&answer)?;
    if reply.session != body.session {
        return Err(UpstreamError::Lost(
            "the answer is of another session".into(),
        ));
    }
    Ok(StageResult {
        id: order.id,
        session: order.session,
        start: reply.start,
        outputs: reply.outputs,
        token: reply.token,
        queued: Duration::from_micros(reply.queued_us),
        ran: Duration::from_micros(reply.ran_us),
    })
}

/// Tells an engine that a session has ended.
pub async fn cancel(client: &Client, addr: &str, session: String, limit: Duration) {
    let request = post("/v1/stages/cancel", &Cancel { session });
    // The engine drops idle sessions by itself, so a lost cancel does no harm.
    let _ = client.send(addr, request, limit).await;
}

/// Calls a plain service.
///
/// # Errors
///
/// Returns what is known of whether the call ran.
pub async fn call(
    client: &Client,
    call: &ServiceCall,
    limit: Duration,
) -> Result<ServiceResponse, UpstreamError> {
    let mut request = Request::new(Full::new(Bytes::copy_from_slice(&call.body)));
    *request.method_mut() = call.method.parse().unwrap_or(hyper::Method::POST);
    *request.uri_mut() = call.path.parse().unwrap_or_default();
    let headers = request.headers_mut();
    set_header(headers, hyper::header::HOST, &call.addr);
    set_header(headers, CONTENT_TYPE, &call.content_type);
    if let Some(key) = &call.idempotency_key {
        set_header(headers, HeaderName::from_static("idempotency-key"), key);
    }
    let answer = client
        .send(&call.addr, request, limit)
        .await
        .map_err(to_upstream_error)?;
    if let Some(error) = refusal(&answer) {
        return Err(error);
    }
    let content = answer.headers().get(CONTENT_TYPE);
    Ok(ServiceResponse {
        status: answer.status().as_u16(),
        content_type: content
            .and_then(|c| c.to_str().ok())
            .unwrap_or_default()
            .into(),
        body: answer.into_body().to_vec(),
    })
}

/// Sends a fenced order.
pub async fn send_order(client: &Client, order: &Order, limit: Duration) -> Reply {
    let body = OrderBody {
        term: order.term,
        desired: order.desired.clone(),
    };
    let request = post("/v1/orders", &body);
    let Ok(answer) = client.send(&order.addr, request, limit).await else {
        return Reply::Lost;
    };
    match answer.status() {
        StatusCode::OK => {
            decode::<OrderReply>(&answer).map_or(Reply::Lost, |r| Reply::Has(r.confirmed))
        }
        StatusCode::CONFLICT => Reply::Fenced,
        _ => Reply::Lost,
    }
}

fn post(path: &'static str, body: &impl serde::Serialize) -> Request<Full<Bytes>> {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let mut request = Request::new(Full::new(Bytes::from(bytes)));
    *request.method_mut() = hyper::Method::POST;
    *request.uri_mut() = hyper::Uri::from_static(path);
    let headers = request.headers_mut();
    headers.insert(hyper::header::HOST, HeaderValue::from_static("upstream"));
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    request
}

fn set_header(headers: &mut hyper::HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

fn check_status(answer: &Response<Bytes>) -> Result<(), UpstreamError> {
    if let Some(error) = refusal(answer) {
        return Err(error);
    }
    if answer.status() == StatusCode::OK {
        return Ok(());
    }
    Err(UpstreamError::Lost(format!("status {}", answer.status())))
}

/// Returns the upstream's refusal, if the answer is one.
fn refusal(answer: &Response<Bytes>) -> Option<UpstreamError> {
    let value = answer.headers().get(NOT_RUN_HEADER)?;
    let reason = parse_reason(value.to_str().ok()?)?;
    let backoff = http::retry_after(answer.headers());
    let backoff = backoff.unwrap_or_else(|text| {
        warn!("an upstream sent an invalid retry-after header: `{text}`");
        None
    });
    Some(UpstreamError::Refused {
        reason,
        rest: backoff,
    })
}

fn decode<T: serde::de::DeserializeOwned>(answer: &Response<Bytes>) -> Result<T, UpstreamError> {
    serde_json::from_slice(answer.body())
        .map_err(|e| UpstreamError::Lost(format!("bad answer: {e}")))
}

fn to_upstream_error(failure: Failure) -> UpstreamError {
    match failure {
        Failure::NotSent(cause) => UpstreamError::NotSent(cause),
        Failure::Lost(cause) | Failure::Invalid(cause) => UpstreamError::Lost(cause),
    }
}

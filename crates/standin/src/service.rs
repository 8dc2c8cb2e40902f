//! A stand-in for a plain HTTP service that records every call it ran.

use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::{Body, json};
use hyper::http::request::Parts;
use hyper::{Response, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use upstream::NOT_RUN_HEADER;

use crate::web::{append, run, status_only};

/// A record of one call, stored as one JSON line.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Record {
    /// Path of the call.
    pub path: String,
    /// Body of the call.
    pub body: String,
}

/// Injected states, set by `PUT /admin/mode`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Mode {
    /// Refuse calls, as an upstream that is leaving.
    pub leaving: bool,
    /// Milliseconds for which each call runs.
    pub time_ms: u64,
}

/// Serves a plain HTTP service on a listener; never returns.
pub async fn serve(listener: TcpListener, records: Option<PathBuf>) {
    let mode = Arc::new(Mutex::new(Mode::default()));
    let records = Arc::new(records);
    run(listener, move |head, body| {
        let (mode, records) = (mode.clone(), records.clone());
        async move { handle(head, body, &mode, &records).await }
    })
    .await;
}

async fn handle(
    head: Parts,
    body: Bytes,
    mode: &Mutex<Mode>,
    records: &Option<PathBuf>,
) -> Response<Body> {
    if head.uri.path() == "/admin/mode" {
        if let (Ok(new), Ok(mut mode)) = (serde_json::from_slice(&body), mode.lock()) {
            *mode = new;
        }
        return status_only(StatusCode::OK);
    }
    let now = mode.lock().map(|m| m.clone()).unwrap_or_default();
    if now.leaving {
        let mut response = status_only(StatusCode::SERVICE_UNAVAILABLE);
        let reason = hyper::header::HeaderValue::from_static("leaving");
        response.headers_mut().insert(NOT_RUN_HEADER, reason);
        return response;
    }
    let record = Record {
        path: head.uri.path().into(),
        body: String::from_utf8_lossy(&body).into(),
    };
    append(records.as_deref(), &record);
    if now.time_ms > 0 {
        tokio::time::sleep(Duration::from_millis(now.time_ms)).await;
    }
    json(
        StatusCode::OK,
        &serde_json::json!({"ran": record.path, "got": record.body}),
    )
}

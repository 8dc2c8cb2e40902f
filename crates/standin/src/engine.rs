//! A stand-in for a model engine that holds a range of layers.

use std::collections::HashMap;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use ashgauge::node::{RefusalReason, Token};
use bytes::Bytes;
use http::{Body, json};
use hyper::header::RETRY_AFTER;
use hyper::http::request::Parts;
use hyper::{Response, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::{Mutex as TaskMutex, Semaphore};
use upstream::{Cancel, NOT_RUN_HEADER, OrderBody, OrderReply, RunBody, RunReply, reason_name};

use crate::model::{Layers, sample};
use crate::web::{append, run, status_only};

/// Time of each further position of an order, as a share of the time of the
/// first one.
const BATCH_SHARE: f64 = 0.05;

/// Options of an engine.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of the model.
    pub model: String,
    /// First layer held.
    pub first: u32,
    /// End of the held layers, exclusive.
    pub end: u32,
    /// Number of layers of the whole model.
    pub layers: u32,
    /// Simulated run time per layer and position.
    pub layer_time: Duration,
    /// Number of orders that run concurrently.
    pub slots: usize,
    /// Whether the engine rejects orders with an outdated fencing term.
    pub fenced: bool,
    /// File to which records are appended; no records are kept without one.
    pub records: Option<PathBuf>,
    /// Counter of the microseconds that the engine's slots were busy.
    pub busy: Arc<AtomicU64>,
}

/// A record of what an engine did, stored as one JSON line.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum Record {
    /// The engine ran positions `start..start + count` through layers `first..end`.
    Ran {
        /// Id of the request.
        request: String,
        /// Id of the session.
        session: String,
        /// Number of the attempt.
        attempt: u32,
        /// First layer.
        first: u32,
        /// End of the layers, exclusive.
        end: u32,
        /// First position.
        start: u32,
        /// Number of positions.
        count: u32,
        /// How many of the positions were replayed only to rebuild state.
        rebuild: u32,
    },
    /// The engine refused a new session, as it is leaving or busy.
    Refused {
        /// Id of the session.
        session: String,
    },
    /// The engine returned the stored outputs of a repeated order and ran nothing.
    Kept {
        /// Id of the session.
        session: String,
        /// First position.
        start: u32,
    },
    /// The engine applied an order of its desired state.
    Obeyed {
        /// Fencing term of the order.
        term: u64,
        /// Hash of the desired state.
        goal: u64,
        /// Adapter that the order sets.
        adapter: Option<String>,
    },
    /// The engine rejected an order with an outdated fencing term.
    Fenced {
        /// Fencing term of the order.
        term: u64,
    },
}

/// Injected faults and states, set by `PUT /admin/mode`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Mode {
    /// Refuse new sessions, as an upstream that is leaving.
    pub leaving: bool,
    /// Refuse new sessions as busy, with this many milliseconds in `retry-after`, which is
    /// sent in seconds; 0 disables.
    pub rest_ms: u64,
    /// Answer every nth order with the reply to the order before it, which is usually of
    /// another session; 0 disables.
    pub crossed: u64,
    /// Milliseconds by which each reply is delayed.
    pub late_ms: u64,
}

struct Engine {
    options: Options,
    slots: Semaphore,
    sessions: Mutex<HashMap<String, Arc<TaskMutex<Session>>>>,
    mode: Mutex<Mode>,
    last: Mutex<Option<RunReply>>,
    orders: Mutex<u64>,
    fence: Mutex<(u64, u64)>,
}

struct Session {
    layers: Layers,
    next: u32,
    kept: Option<(RunBody, RunReply)>,
}

/// Serves an engine on a listener; never returns.
pub async fn serve(listener: TcpListener, options: Options) {
    let engine = Arc::new(Engine {
        slots: Semaphore::new(options.slots),
        sessions: Mutex::default(),
        mode: Mutex::default(),
        last: Mutex::default(),
        orders: Mutex::default(),
        fence: Mutex::default(),
        options,
    });
    run(listener, move |head, body| {
        let engine = engine.clone();
        async move { engine.handle(head, body).await }
    })
    .await;
}

impl Engine {
    async fn handle(&self, head: Parts, body: Bytes) -> Response<Body> {
        match head.uri.path() {
            "/v1/stages/run" => match serde_json::from_slice(&body) {
                Ok(order) => self.run_order(order).await,
                Err(_) => status_only(StatusCode::BAD_REQUEST),
            },
            "/v1/stages/cancel" => {
                if let Ok(Cancel { session }) = serde_json::from_slice(&body) {
                    lock(&self.sessions).remove(&session);
                }
                status_only(StatusCode::OK)
            }
            "/v1/orders" => match serde_json::from_slice(&body) {
                Ok(order) => self.apply_order(&order),
                Err(_) => status_only(StatusCode::BAD_REQUEST),
            },
            "/admin/mode" => {
                if let Ok(mode) = serde_json::from_slice(&body) {
                    *lock(&self.mode) = mode;
                }
                status_only(StatusCode::OK)
            }
            _ => status_only(StatusCode::NOT_FOUND),
        }
    }

    async fn run_order(&self, order: RunBody) -> Response<Body> {
        let mode = lock(&self.mode).clone();
        let o = &self.options;
        if order.model != o.model || order.first < o.first || order.end > o.end {
            return refuse(RefusalReason::NoLayers);
        }
        let known = lock(&self.sessions).get(&order.session).cloned();
        let session = match known {
            Some(session) => session,
            None if order.start > 0 => return refuse(RefusalReason::NoSession),
            None if mode.leaving => return self.refuse_new(order.session, RefusalReason::Leaving),
            None if mode.rest_ms > 0 => {
                let mut refusal = self.refuse_new(order.session, RefusalReason::Busy);
                let seconds = mode.rest_ms as f64 / 1e3;
                if let Ok(value) = seconds.to_string().parse() {
                    refusal.headers_mut().insert(RETRY_AFTER, value);
                }
                return refusal;
            }
            None => self.open(&order),
        };
        let mut session = session.lock().await;
        if let Some(kept) = session.kept_reply(&order) {
            append(
                o.records.as_deref(),
                &Record::Kept {
                    session: order.session.clone(),
                    start: order.start,
                },
            );
            return json(StatusCode::OK, &kept);
        }
        if session.next != order.start {
            return refuse(RefusalReason::NoSession);
        }
        let reply = self.work(&mut session, order).await;
        drop(session);
        if mode.late_ms > 0 {
            tokio::time::sleep(Duration::from_millis(mode.late_ms)).await;
        }
        json(StatusCode::OK, &self.swap_reply(mode.crossed, reply))
    }

    fn refuse_new(&self, session: String, reason: RefusalReason) -> Response<Body> {
        append(
            self.options.records.as_deref(),
            &Record::Refused { session },
        );
        refuse(reason)
    }

    fn open(&self, order: &RunBody) -> Arc<TaskMutex<Session>> {
        let session = Arc::new(TaskMutex::new(Session {
            layers: Layers::new(order.first, order.end),
            next: 0,
            kept: None,
        }));
        lock(&self.sessions).insert(order.session.clone(), session.clone());
        session
    }

    async fn work(&self, session: &mut Session, order: RunBody) -> RunReply {
        let arrived = Instant::now();
        let _permit = self.slots.acquire().await;
        let queued = arrived.elapsed();
        let started = Instant::now();
        let positions = order.inputs.len() as f64;
        let layers = f64::from(order.end - order.first);
        let factor = layers * (1.0 + (positions - 1.0) * BATCH_SHARE);
        let time = self.options.layer_time.mul_f64(factor.max(0.0));
        if !time.is_zero() {
            tokio::time::sleep(time).await;
        }
        let outputs: Vec<u64> = order
            .inputs
            .iter()
            .map(|x| session.layers.run(*x))
            .collect();
        let ran = started.elapsed().as_micros() as u64;
        self.options.busy.fetch_add(ran, Ordering::Relaxed);
        session.next = order.start + order.inputs.len() as u32;
        self.record(&order);
        let last = order.end == self.options.layers;
        let token = outputs.last().filter(|_| last).map(|x| {
            let (id, text) = sample(*x);
            Token {
                id,
                text,
                end: false,
            }
        });
        let reply = RunReply {
            session: order.session.clone(),
            start: order.start,
            outputs,
            token,
            queued_us: queued.as_micros() as u64,
            ran_us: ran,
        };
        session.kept = Some((order, reply.clone()));
        reply
    }

    fn record(&self, order: &RunBody) {
        append(
            self.options.records.as_deref(),
            &Record::Ran {
                request: order.request.clone(),
                session: order.session.clone(),
                attempt: order.attempt,
                first: order.first,
                end: order.end,
                start: order.start,
                count: order.inputs.len() as u32,
                rebuild: order.rebuild,
            },
        );
    }

    /// Returns the previous reply instead of `reply` for every nth order.
    fn swap_reply(&self, every: u64, reply: RunReply) -> RunReply {
        let mut orders = lock(&self.orders);
        *orders += 1;
        let before = lock(&self.last).replace(reply.clone());
        if every > 0 && (*orders).is_multiple_of(every) {
            return before.unwrap_or(reply);
        }
        reply
    }

    fn apply_order(&self, order: &OrderBody) -> Response<Body> {
        let mut fence = lock(&self.fence);
        let records = self.options.records.as_deref();
        if self.options.fenced && order.term < fence.0 {
            append(records, &Record::Fenced { term: order.term });
            return status_only(StatusCode::CONFLICT);
        }
        *fence = (fence.0.max(order.term), order.desired.hash);
        append(
            records,
            &Record::Obeyed {
                term: order.term,
                goal: order.desired.hash,
                adapter: order.desired.adapter.clone(),
            },
        );
        json(StatusCode::OK, &OrderReply { confirmed: fence.1 })
    }
}

impl Session {
    fn kept_reply(&self, order: &RunBody) -> Option<RunReply> {
        let (before, reply) = self.kept.as_ref()?;
        let same = before.start == order.start && before.inputs == order.inputs;
        same.then(|| reply.clone())
    }
}

fn refuse(reason: RefusalReason) -> Response<Body> {
    let mut response = status_only(StatusCode::CONFLICT);
    let value = hyper::header::HeaderValue::from_static(reason_name(reason));
    response.headers_mut().insert(NOT_RUN_HEADER, value);
    response
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

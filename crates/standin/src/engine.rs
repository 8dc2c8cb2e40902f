//! A model engine that holds a range of layers.

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

/// Share of a position's time that each further one of the same order costs.
const BATCH_SHARE: f64 = 0.05;

/// How an engine behaves.
#[derive(Clone, Debug)]
pub struct Options {
    /// Model.
    pub model: String,
    /// First layer held.
    pub first: u32,
    /// Layer after the last held.
    pub end: u32,
    /// Layers of the whole model.
    pub layers: u32,
    /// Time that one layer takes for one position.
    pub layer_time: Duration,
    /// Orders that run at the same time.
    pub slots: usize,
    /// Whether it refuses orders with an old fence.
    pub fenced: bool,
    /// File for its records.
    pub records: Option<PathBuf>,
    /// Microseconds that its slots were busy, counted here.
    pub busy: Arc<AtomicU64>,
}

/// One line of an engine's records.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum Record {
    /// It ran positions `start..start + count` through layers `first..end`.
    Ran {
        /// Request.
        request: String,
        /// Session.
        session: String,
        /// Number of the try.
        attempt: u32,
        /// First layer.
        first: u32,
        /// Layer after the last.
        end: u32,
        /// First position.
        start: u32,
        /// Number of positions.
        count: u32,
        /// How many of them only rebuilt state.
        rebuild: u32,
    },
    /// It refused a new session, as it is leaving or wants rest.
    Refused {
        /// Session.
        session: String,
    },
    /// It gave kept outputs again and ran nothing.
    Kept {
        /// Session.
        session: String,
        /// First position.
        start: u32,
    },
    /// It obeyed an order.
    Obeyed {
        /// The order's fence.
        term: u64,
        /// Number of the wanted state.
        goal: u64,
        /// Adapter that it has now.
        adapter: Option<String>,
    },
    /// It refused an order whose fence was old.
    Fenced {
        /// The order's fence.
        term: u64,
    },
}

/// Faults and states that `PUT /admin/mode` sets.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Mode {
    /// Refuse new sessions, as an upstream that leaves.
    pub leaving: bool,
    /// Refuse new sessions as busy, and ask for so many milliseconds of rest; 0 for not.
    pub rest_ms: u64,
    /// Answer every nth order with another session's answer; 0 for never.
    pub crossed: u64,
    /// Milliseconds added before an answer goes out.
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

/// Serves an engine on a listener, for ever.
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
                Ok(order) => self.order(order).await,
                Err(_) => status_only(StatusCode::BAD_REQUEST),
            },
            "/v1/stages/cancel" => {
                if let Ok(Cancel { session }) = serde_json::from_slice(&body) {
                    lock(&self.sessions).remove(&session);
                }
                status_only(StatusCode::OK)
            }
            "/v1/orders" => match serde_json::from_slice(&body) {
                Ok(order) => self.obey(&order),
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

    async fn order(&self, order: RunBody) -> Response<Body> {
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
        if let Some(kept) = session.kept_for(&order) {
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
        json(StatusCode::OK, &self.cross(mode.crossed, reply))
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
        let came = Instant::now();
        let _place = self.slots.acquire().await;
        let queued = came.elapsed();
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

    /// Gives now and then the answer of another session in place of this one.
    fn cross(&self, every: u64, reply: RunReply) -> RunReply {
        let mut orders = lock(&self.orders);
        *orders += 1;
        let before = lock(&self.last).replace(reply.clone());
        if every > 0 && (*orders).is_multiple_of(every) {
            return before.unwrap_or(reply);
        }
        reply
    }

    fn obey(&self, order: &OrderBody) -> Response<Body> {
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
    fn kept_for(&self, order: &RunBody) -> Option<RunReply> {
        let (before, reply) = self.kept.as_ref()?;
        let same = before.start == order.start && before.inputs == order.inputs;
        same.then(|| reply.clone())
    }
}

fn refuse(reason: RefusalReason) -> Response<Body> {
    let mut response = status_only(StatusCode::CONFLICT);
    let word = hyper::header::HeaderValue::from_static(reason_name(reason));
    response.headers_mut().insert(NOT_RUN_HEADER, word);
    response
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

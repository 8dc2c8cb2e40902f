//! A stand-in for the platform: versioned objects with conditional writes and
//! watches, and the member list.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use ashgauge::member::MemberList;
use bytes::Bytes;
use http::{Body, json};
use hyper::http::request::Parts;
use hyper::{Method, Response, StatusCode};
use platform::{StoredObject, WriteReply};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::web::{query, run, status_only};

/// Interval at which a call that waits for a new member list polls it.
const LIST_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum size of an object's value, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// Injected faults and rate limits, set by `PUT /admin/mode`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct Mode {
    /// Answer every call with 503.
    pub down: bool,
    /// Answer reads with the values that objects had when this was set, and no
    /// watch with a change.
    pub stale: bool,
    /// Milliseconds by which every call is delayed.
    pub delay_ms: u64,
    /// Milliseconds by which the member list lags behind what was set.
    pub lag_ms: u64,
    /// Limit of writes per second.
    pub writes: f64,
    /// Limit of reads per second.
    pub reads: f64,
}

impl Default for Mode {
    fn default() -> Self {
        Mode {
            down: false,
            stale: false,
            delay_ms: 0,
            lag_ms: 0,
            writes: 100.0,
            reads: 2000.0,
        }
    }
}

/// Call counters since the start, returned by `GET /admin/counts`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Reads answered.
    pub reads: u64,
    /// Writes that took effect.
    pub writes: u64,
    /// Writes refused because of a version conflict.
    pub conflicts: u64,
    /// Calls refused by the rate limit.
    pub limited: u64,
    /// Watches answered, with a change or at their time-out.
    pub watches: u64,
}

#[derive(Default)]
struct State {
    objects: HashMap<String, StoredObject>,
    old: HashMap<String, StoredObject>,
    mode: Mode,
    lists: Vec<(Instant, MemberList)>,
    counts: Counts,
    spent: [(f64, Option<Instant>); 2],
}

struct Platform {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
}

/// Serves a platform on a listener; never returns.
pub async fn serve(listener: TcpListener) {
    let platform = Arc::new(Platform {
        state: Mutex::default(),
        changed: watch::Sender::new(0),
    });
    run(listener, move |head, body| {
        let platform = platform.clone();
        async move { platform.handle(head, body).await }
    })
    .await;
}

impl Platform {
    async fn handle(&self, head: Parts, body: Bytes) -> Response<Body> {
        let path = head.uri.path().to_string();
        if let Some(what) = path.strip_prefix("/admin/") {
            return self.admin(what, &head.method, &body);
        }
        let mode = self.lock().mode.clone();
        if mode.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(mode.delay_ms)).await;
        }
        if mode.down {
            return status_only(StatusCode::SERVICE_UNAVAILABLE);
        }
        if !self.lock().admit(head.method == Method::PUT) {
            return status_only(StatusCode::TOO_MANY_REQUESTS);
        }
        if path == "/v1/members" {
            let after = query(&head, "after").unwrap_or(0);
            return self.members(after, query(&head, "wait")).await;
        }
        let Some(name) = path.strip_prefix("/v1/objects/") else {
            return status_only(StatusCode::NOT_FOUND);
        };
        match (head.method.clone(), query(&head, "after")) {
            (Method::PUT, _) => self.write(name, query(&head, "version"), &body),
            (_, Some(after)) => {
                let version_only = query(&head, "value") == Some(0);
                self.watch(name, after, query(&head, "wait"), version_only)
                    .await
            }
            _ => self.read(name),
        }
    }

    fn read(&self, name: &str) -> Response<Body> {
        let mut state = self.lock();
        state.counts.reads += 1;
        let objects = if state.mode.stale {
            &state.old
        } else {
            &state.objects
        };
        match objects.get(name) {
            Some(stored) => json(StatusCode::OK, stored),
            None => status_only(StatusCode::NOT_FOUND),
        }
    }

    fn write(&self, name: &str, version: Option<u64>, body: &[u8]) -> Response<Body> {
        if body.len() > MAX_VALUE_BYTES {
            return status_only(StatusCode::PAYLOAD_TOO_LARGE);
        }
        let (Some(version), Ok(value)) = (version, serde_json::from_slice(body)) else {
            return status_only(StatusCode::BAD_REQUEST);
        };
        let mut state = self.lock();
        let current = state.objects.get(name).map_or(0, |s| s.version);
        if current != version {
            state.counts.conflicts += 1;
            return json(StatusCode::CONFLICT, &WriteReply { version: current });
        }
        let version = current + 1;
        state
            .objects
            .insert(name.into(), StoredObject { version, value });
        state.counts.writes += 1;
        drop(state);
        self.changed.send_modify(|n| *n += 1);
        json(StatusCode::OK, &WriteReply { version })
    }

    async fn watch(
        &self,
        name: &str,
        after: u64,
        wait: Option<u64>,
        version_only: bool,
    ) -> Response<Body> {
        let deadline = Instant::now() + Duration::from_secs(wait.unwrap_or(10));
        let mut changed = self.changed.subscribe();
        loop {
            {
                let mut state = self.lock();
                if state.mode.down {
                    return status_only(StatusCode::SERVICE_UNAVAILABLE);
                }
                let newer = state
                    .objects
                    .get(name)
                    .filter(|s| s.version > after)
                    .cloned();
                if let Some(stored) = newer.filter(|_| !state.mode.stale) {
                    state.counts.watches += 1;
                    if version_only {
                        let version = stored.version;
                        return json(StatusCode::OK, &WriteReply { version });
                    }
                    return json(StatusCode::OK, &stored);
                }
            }
            let left = deadline.saturating_duration_since(Instant::now());
            let waited = tokio::time::timeout(left, changed.changed()).await;
            if waited.is_err() {
                self.lock().counts.watches += 1;
                return status_only(StatusCode::NOT_MODIFIED);
            }
        }
    }

    /// Waits up to `wait` seconds for a member list newer than version `after`. The
    /// list lags behind what was set by `lag_ms`.
    async fn members(&self, after: u64, wait: Option<u64>) -> Response<Body> {
        let deadline = Instant::now() + Duration::from_secs(wait.unwrap_or(0));
        loop {
            {
                let mut state = self.lock();
                if state.mode.down {
                    return status_only(StatusCode::SERVICE_UNAVAILABLE);
                }
                let listing = state.lagged_list();
                if listing.version > after {
                    state.counts.reads += 1;
                    return json(StatusCode::OK, &listing);
                }
                if Instant::now() >= deadline {
                    state.counts.watches += 1;
                    return status_only(StatusCode::NOT_MODIFIED);
                }
            }
            tokio::time::sleep(LIST_POLL_INTERVAL).await;
        }
    }

    fn admin(&self, what: &str, method: &Method, body: &[u8]) -> Response<Body> {
        let mut state = self.lock();
        match (what, method) {
            ("mode", &Method::PUT) => {
                let Ok(mode) = serde_json::from_slice::<Mode>(body) else {
                    return status_only(StatusCode::BAD_REQUEST);
                };
                if mode.stale && !state.mode.stale {
                    state.old = state.objects.clone();
                }
                state.mode = mode;
                drop(state);
                self.changed.send_modify(|n| *n += 1);
                status_only(StatusCode::OK)
            }
            ("members", &Method::PUT) => {
                let Ok(mut listing) = serde_json::from_slice::<MemberList>(body) else {
                    return status_only(StatusCode::BAD_REQUEST);
                };
                listing.version = state.lists.len() as u64 + 1;
                state.lists.push((Instant::now(), listing));
                status_only(StatusCode::OK)
            }
            ("counts", _) => json(StatusCode::OK, &state.counts),
            ("objects", _) => json(StatusCode::OK, &state.objects),
            _ => status_only(StatusCode::NOT_FOUND),
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}

impl State {
    /// Returns the member list as it was `lag_ms` ago, or the first one if none is
    /// that old.
    fn lagged_list(&self) -> MemberList {
        let lag = Duration::from_millis(self.mode.lag_ms);
        let old = self.lists.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        let list = old.or(self.lists.first());
        list.map(|(_, l)| l.clone()).unwrap_or_default()
    }

    /// Admits a call if its token bucket allows it. Writes and reads have a bucket
    /// each, which holds the calls of one second.
    fn admit(&mut self, write: bool) -> bool {
        let rate = if write {
            self.mode.writes
        } else {
            self.mode.reads
        };
        let (spent, last) = &mut self.spent[usize::from(write)];
        let now = Instant::now();
        let gap = last.replace(now).map_or(0.0, |t| (now - t).as_secs_f64());
        *spent = (*spent - gap * rate).max(0.0);
        if *spent + 1.0 > rate {
            self.counts.limited += 1;
            return false;
        }
        *spent += 1.0;
        true
    }
}

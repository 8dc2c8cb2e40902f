//! Answers to the queries of other boxes. One that is too large for a datagram is fetched over a
//! connection, with a token that only the querying box has.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use ashgauge::mirror::Revision;
use ashgauge::query::{Answer, AnswerBody, Datagram, FetchToken, Query};
use ashgauge::reader::MAX_READER_BOXES;
use ashgauge::revision;
use bytes::Bytes;
use rand::Rng;
use serde_json::json;
use spdlog::Level;
use tokio::sync::{Mutex, mpsc};

use super::fetch::FetchRequest;
use super::shared_state::SharedState;
use super::update_cache::{UpdateCache, UpdateKey};
use super::{codec, log};

/// Maximum size of an answer sent as a datagram: what an Ethernet frame carries without
/// fragmentation.
const MAX_INLINE_ANSWER_BYTES: usize = 1400;

/// Minimum interval between log entries on boxes that query with a later revision.
const LATER_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// How long a fetch token is valid.
pub const FETCH_TOKEN_TTL: Duration = Duration::from_secs(3);

/// Maximum number of boxes that may fetch at the same time: when a fleet starts, all
/// boxes turn to the first reader that has data. The rest poll the next reader, or the
/// same one again.
const MAX_FETCH_TOKENS: usize = MAX_READER_BOXES;

/// Makes the answers of this box.
pub struct Answers {
    shared: Rc<SharedState>,
    /// Expiry time of each fetch token.
    fetch_tokens: RefCell<HashMap<FetchToken, Duration>>,
    /// Cached compressed updates.
    compressed_updates: RefCell<UpdateCache>,
    /// Held while an update is compressed.
    compressing: Mutex<()>,
    /// When a query with a later revision was last logged.
    later_logged_at: Cell<Duration>,
}

impl Answers {
    /// Creates the state of a box that has answered no query yet.
    pub fn new(shared: Rc<SharedState>) -> Self {
        Answers {
            shared,
            fetch_tokens: RefCell::default(),
            compressed_updates: RefCell::default(),
            compressing: Mutex::default(),
            later_logged_at: Cell::default(),
        }
    }

    /// Logs that another box knows more than this one, at most once a second.
    fn log_later_revision(&self, query: &Query) {
        let (now, covered) = (self.shared.now(), self.shared.mirror.borrow().covered());
        if query.after <= covered || now < self.later_logged_at.get() + LATER_LOG_INTERVAL {
            return;
        }
        self.later_logged_at.set(now);
        let fields = json!({
            "from": &*query.from,
            "after": [revision::era(query.after), revision::count(query.after)],
            "known": [revision::era(covered), revision::count(covered)],
        });
        log::event(Level::Info, "fleet", "asked by a later revision", fields);
    }

    /// Encodes the answer to a query: the data that this box has, or how to fetch it. A large
    /// update is compressed only when it is fetched, so that this answer is not late.
    pub fn encode(&self, query: &Query) -> Option<Vec<u8>> {
        self.log_later_revision(query);
        let size = self.shared.mirror.borrow().update_bytes(query.after);
        if size <= MAX_INLINE_ANSWER_BYTES {
            let bytes = codec::encode(&Datagram::Answer(self.inline_answer(query)))?;
            if bytes.len() <= MAX_INLINE_ANSWER_BYTES {
                return Some(bytes);
            }
        }
        let answer = self.issue_token(query, size as u64);
        codec::encode(&Datagram::Answer(answer))
    }

    /// Returns the cached update for a box that knows everything up to `after`, if
    /// nothing has changed since it was compressed.
    fn cached_update(&self, after: Revision) -> Option<Bytes> {
        self.compressed_updates
            .borrow()
            .get(&self.update_key(after))
    }

    /// Returns the compressed update for a box that knows everything up to `after`; `None`
    /// if it cannot be compressed, which is logged. It is compressed on another thread, and
    /// once for all boxes that fetch it together.
    async fn compress_update(&self, after: Revision) -> Option<Bytes> {
        let _one_at_a_time = self.compressing.lock().await;
        if let Some(bytes) = self.cached_update(after) {
            return Some(bytes);
        }
        let key = self.update_key(after);
        let update = self
            .shared
            .mirror
            .borrow()
            .update(after, self.shared.removals_certain.get());
        let compressed = tokio::task::spawn_blocking(move || codec::compress(&update)).await;
        let bytes = match compressed.map_err(eyre::Report::from).and_then(|r| r) {
            Ok(bytes) => Bytes::from(bytes),
            Err(e) => {
                let fields = json!({"cause": e.to_string()});
                log::event(Level::Warn, "fleet", "not packed", fields);
                return None;
            }
        };
        let mut updates = self.compressed_updates.borrow_mut();
        updates.insert(key, bytes.clone());
        Some(bytes)
    }

    /// Describes the update for a box that knows everything up to `after`.
    fn update_key(&self, after: Revision) -> UpdateKey {
        let mirror = self.shared.mirror.borrow();
        UpdateKey {
            after,
            until: mirror.covered(),
            generation: mirror.generation(),
            removals_certain: self.shared.removals_certain.get(),
        }
    }

    /// Builds the answer for a box that fetches it, with a compressed update. The age is as of
    /// the time at which the update was made.
    async fn compressed_answer(&self, query: &Query) -> Option<Answer> {
        let shared = &self.shared;
        let asked_at = shared.freshness.borrow().asked_at();
        let body = match asked_at.filter(|_| shared.is_synced()) {
            Some(asked_at) => {
                let bytes = self.compress_update(query.after).await?.to_vec();
                let age = shared.now().saturating_sub(asked_at);
                AnswerBody::Compressed { age, bytes }
            }
            None => self.empty_body(),
        };
        Some(self.answer_with(query, body))
    }

    /// Builds the answer with this box's present data. The age is as of now, which is
    /// after the query was sent.
    fn inline_answer(&self, query: &Query) -> Answer {
        let shared = &self.shared;
        let age = shared.freshness.borrow().age(shared.now());
        let body = match age.filter(|_| shared.is_synced()) {
            Some(age) => AnswerBody::Update {
                age,
                update: shared
                    .mirror
                    .borrow()
                    .update(query.after, shared.removals_certain.get()),
            },
            None => self.empty_body(),
        };
        self.answer_with(query, body)
    }

    fn empty_body(&self) -> AnswerBody {
        let now = self.shared.now();
        let missing_at = self.shared.config_missing_at.get();
        AnswerBody::Empty {
            asked_ago: missing_at.map(|at| now.saturating_sub(at)),
        }
    }

    fn answer_with(&self, query: &Query, body: AnswerBody) -> Answer {
        Answer {
            from: self.shared.settings().id.as_str().into(),
            id: query.id,
            boxes: self.shared.counted_boxes(),
            body,
        }
    }

    fn issue_token(&self, query: &Query, bytes: u64) -> Answer {
        let token = self.shared.rng().random();
        let now = self.shared.now();
        let mut fetch_tokens = self.fetch_tokens.borrow_mut();
        fetch_tokens.retain(|_, expires_at| now < *expires_at);
        if fetch_tokens.len() >= MAX_FETCH_TOKENS {
            return self.answer_with(query, AnswerBody::Empty { asked_ago: None });
        }
        fetch_tokens.insert(token, now + FETCH_TOKEN_TTL);
        self.answer_with(
            query,
            AnswerBody::TooLarge {
                fetch_token: token,
                bytes,
            },
        )
    }

    /// Answers queries received over connections, from boxes with a valid fetch token.
    pub async fn serve_fetches(self: Rc<Self>, requests: Rc<Mutex<mpsc::Receiver<FetchRequest>>>) {
        let mut requests = requests.lock().await;
        while let Some(FetchRequest { query, reply }) = requests.recv().await {
            let token = query.fetch_token;
            let expires_at = token.and_then(|t| self.fetch_tokens.borrow_mut().remove(&t));
            let is_valid = expires_at.is_some_and(|expires_at| self.shared.now() < expires_at);
            let answers = self.clone();
            tokio::task::spawn_local(async move {
                let answer = match is_valid {
                    true => answers.compressed_answer(&query).await,
                    false => None,
                };
                // The requester may be gone.
                let _ = reply.send(answer);
            });
        }
    }
}

//! What boxes send each other: loads, questions and answers.
//!
//! Datagrams carry what is small; an answer that is too large for one is
//! fetched over a connection, with a ticket that only the asking box has. What
//! cannot be read, or comes from an address that no box has announced, is
//! dropped and counted.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ashgauge::hub::Role;
use ashgauge::member::BoxId;
use ashgauge::mirror::Revision;
use ashgauge::question::{Answer, AnswerBody, Datagram, FetchToken, Query};
use ashgauge::reader::MAX_READER_BOXES;
use ashgauge::revision;
use ashgauge::share::LoadReport;
use bytes::Bytes;
use eyre::{Result, WrapErr, eyre};
use http::Full;
use hyper::{Method, Request, StatusCode};
use rand::Rng;
use serde_json::json;
use spdlog::Level;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use tokio::time::sleep;

use super::desk::{Asked, Desk};
use super::fetch::{self, ANSWER_PATH, Fetch};
use super::{census, log, pack, permit, quarantine, suspicion};

/// Largest datagram that is read; a word on 860 engines takes 12 kB.
const DATAGRAM_MOST: usize = 60_000;

/// Largest answer that goes out as a datagram: what an Ethernet frame carries
/// in one piece.
const ANSWER_MOST: usize = 1400;

/// Pause after the socket could not be read.
const READ_PAUSE: Duration = Duration::from_millis(500);

/// Least time between two looks at the boxes because of a stranger's datagram.
const RECOUNT_EVERY: Duration = Duration::from_secs(1);

/// Least time between two lines on boxes that ask by a later revision.
const LATER_EVERY: Duration = Duration::from_secs(1);

/// How long a box that asked is told of news: some rounds of questions.
const ASKER_TIME: Duration = Duration::from_secs(4);

/// How long a ticket is good.
pub const TICKET_TIME: Duration = Duration::from_secs(3);

/// Boxes that may fetch at one time: where a fleet starts, all turn to the first
/// reader that knows something. The others ask the next one, or again.
const TICKETS_MOST: usize = MAX_READER_BOXES;

/// Packed updates that are kept: boxes that start together lack the same, and those
/// that go on lack what came with the last changes.
const PACKED_MOST: usize = 4;

/// Ports that are tried if the system chooses them.
const BIND_TRIES: u32 = 32;

/// Messages that may wait for the following task.
const HEARD_MOST: usize = 256;

/// What the other boxes said.
#[derive(Debug)]
pub enum Heard {
    /// An answer, and when its question went out if it was fetched.
    Answer(Answer, Option<Duration>),
    /// An answer could not be fetched from this box.
    NotFetched(BoxId),
    /// A box knows something new.
    News(BoxId),
}

/// This box's way to the others.
pub struct Peers {
    desk: Rc<Desk>,
    socket: Rc<UdpSocket>,
    heard: mpsc::Sender<Heard>,
    /// Until when each ticket is good.
    tickets: RefCell<HashMap<FetchToken, Duration>>,
    /// What was packed last, the latest last.
    packed: RefCell<VecDeque<Packed>>,
    /// When it was last told that a box asks by a later revision.
    later: Cell<Duration>,
}

/// A packed update, and what it was made for.
struct Packed {
    /// Revision up to which its receivers know everything.
    after: Revision,
    /// Revision up to which they do afterwards.
    upto: Revision,
    /// The mirror's edition that it holds.
    edition: u64,
    /// Whether entries that are gone are certainly gone.
    sure: bool,
    bytes: Bytes,
}

impl Peers {
    /// Starts to hear the other boxes, if the settings name an address for it.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(desk: &Rc<Desk>) -> Result<Option<(Rc<Self>, mpsc::Receiver<Heard>)>> {
        let Some(addr) = desk.settings().peer.clone() else {
            return Ok(None);
        };
        let (socket, listener) = bind(&addr).await?;
        let socket = Rc::new(socket);
        // Boxes start to hear each other once.
        let _ = desk.permits.socket.set(socket.clone());
        desk.heard_at.set(Some(socket.local_addr()?));
        let (heard, messages) = mpsc::channel(HEARD_MOST);
        let peers = Rc::new(Peers {
            desk: desk.clone(),
            socket,
            heard,
            tickets: RefCell::default(),
            packed: RefCell::default(),
            later: Cell::default(),
        });
        tokio::task::spawn_local(peers.clone().hear());
        let (fetches, asked) = mpsc::channel(HEARD_MOST);
        tokio::task::spawn_local(peers.clone().answer_fetches(asked));
        tokio::task::spawn_local(fetch::serve(listener, fetches));
        Ok(Some((peers, messages)))
    }

    /// Sends one datagram to a box. One that does not get out is made good by
    /// the next.
    pub async fn send(&self, to: SocketAddr, bytes: &[u8]) {
        let _ = self.socket.send_to(bytes, to).await;
    }

    /// Asks a box.
    pub async fn ask(&self, to: &BoxId, question: Query) {
        let addr = self.desk.peers.borrow().get(to).map(|p| p.addr);
        let bytes = pack::encode(&Datagram::Query(question));
        if let (Some(addr), Some(bytes)) = (addr, bytes) {
            self.send(addr, &bytes).await;
        }
    }

    /// Fetches an answer that is too large for a datagram.
    pub async fn fetch(self: Rc<Self>, to: BoxId, question: Query, most: Duration) {
        let asked = self.desk.now();
        let heard = match self.fetch_once(&to, &question, most).await {
            Ok(answer) => Heard::Answer(answer, Some(asked)),
            Err(e) => {
                let fields = json!({"from": &*to, "fault": format!("{e:#}")});
                log::line(Level::Info, "fleet", "answer not fetched", fields);
                Heard::NotFetched(to)
            }
        };
        // The following task ends with the process only.
        let _ = self.heard.send(heard).await;
    }

    async fn fetch_once(&self, to: &BoxId, question: &Query, most: Duration) -> Result<Answer> {
        let addr = self.desk.peers.borrow().get(to).map(|p| p.addr);
        let addr = addr.ok_or_else(|| eyre!("the box is not listed any more"))?;
        let addr = addr.to_string();
        let body = Full::new(Bytes::from(postcard::to_allocvec(question)?));
        let request = Request::builder().method(Method::POST).uri(ANSWER_PATH);
        let request = request.header(hyper::header::HOST, &addr);
        let request = request.body(body)?;
        let reply = self.desk.client.send(&addr, request, most);
        let reply = reply.await?;
        if reply.status() != StatusCode::OK {
            return Err(eyre!("the box answered {}", reply.status()));
        }
        let mut answer: Answer = postcard::from_bytes(reply.body())?;
        if let AnswerBody::Compressed { age, bytes } = answer.body {
            let update = pack::unpack(&bytes)?;
            answer.body = AnswerBody::Update { age, update };
        }
        match answer.from == *to && answer.id == question.id {
            true => Ok(answer),
            false => Err(eyre!("the answer is to another question")),
        }
    }

    /// Tells the boxes that asked lately that there is something new.
    pub async fn spread_news(&self) {
        let now = self.desk.now();
        let own: BoxId = self.desk.settings().id.as_str().into();
        let Some(bytes) = pack::encode(&Datagram::Changed(own)) else {
            return;
        };
        let to: Vec<SocketAddr> = {
            let mut askers = self.desk.askers.borrow_mut();
            askers.retain(|_, asked| now < asked.at + ASKER_TIME);
            let peers = self.desk.peers.borrow();
            let addrs = askers.keys().filter_map(|id| peers.get(id));
            addrs.map(|p| p.addr).collect()
        };
        for addr in to {
            self.send(addr, &bytes).await;
        }
    }

    async fn hear(self: Rc<Self>) {
        let mut buffer = vec![0; DATAGRAM_MOST];
        let mut counted = Duration::ZERO;
        loop {
            let Ok((len, from)) = self.socket.recv_from(&mut buffer).await else {
                sleep(READ_PAUSE).await;
                continue;
            };
            let result = self.take(&buffer[..len], from).await;
            let label = [result.label()];
            self.desk.metrics.words.with_label_values(&label).inc();
            let now = self.desk.now();
            if result == Taken::Stranger && now >= counted + RECOUNT_EVERY {
                // It may be a box that has just come.
                counted = now;
                tokio::task::spawn_local(census::look_once(self.desk.clone()));
            }
        }
    }

    /// Takes a datagram in; returns what became of it.
    async fn take(&self, bytes: &[u8], addr: SocketAddr) -> Taken {
        let Ok(datagram) = postcard::from_bytes::<Datagram>(bytes) else {
            return Taken::Unreadable;
        };
        let listed = self
            .desk
            .peers
            .borrow()
            .get(datagram.from())
            .map(|p| p.addr);
        if listed != Some(addr) {
            return Taken::Stranger;
        }
        match datagram {
            Datagram::Load(word) => self.take_load(word),
            Datagram::Query(question) => {
                self.answer(question, addr).await;
                Taken::Question
            }
            Datagram::Answer(answer) => self.pass_on(Heard::Answer(answer, None)),
            Datagram::Changed(from) => self.pass_on(Heard::News(from)),
            Datagram::Losses(from, report) => {
                quarantine::hear(&self.desk, &from, &report);
                Taken::Heard
            }
            Datagram::Suspects(from, starts) => {
                suspicion::hear(&self.desk, &from, &starts);
                Taken::Heard
            }
            Datagram::AskPermit(ask) => {
                permit::answer(&self.desk, ask, addr);
                Taken::Question
            }
            Datagram::Permit(reply) => {
                permit::take_reply(&self.desk, reply);
                Taken::Heard
            }
        }
    }

    fn take_load(&self, mut word: LoadReport) -> Taken {
        let now = self.desk.now();
        let (suspects, slow) = (word.suspects.clone(), word.slow.clone());
        permit::hear(&self.desk, &word.from, &word.limits);
        if self.desk.role() != Role::Hub {
            word.suspects.clear();
            word.slow.clear();
        }
        if !self.desk.shares.borrow_mut().apply(now, word) {
            return Taken::Late;
        }
        let mut roster = self.desk.roster.borrow_mut();
        if !suspects.is_empty() {
            roster.note_peer_suspects(now, &suspects);
        }
        roster.note_peer_slow(now, &slow);
        Taken::Heard
    }

    fn pass_on(&self, heard: Heard) -> Taken {
        match self.heard.try_send(heard) {
            Ok(()) => Taken::Heard,
            Err(_) => Taken::Late,
        }
    }

    async fn answer(&self, question: Query, addr: SocketAddr) {
        let now = self.desk.now();
        let asked = Asked {
            at: now,
            known: question.after,
        };
        let from = question.from.clone();
        self.note_later(&question);
        self.desk.askers.borrow_mut().insert(from, asked);
        if let Some(bytes) = self.encode_answer(&question) {
            self.send(addr, &bytes).await;
        }
    }

    /// Writes a line if a box knows more than this one, once a second at most.
    fn note_later(&self, question: &Query) {
        let (now, covered) = (self.desk.now(), self.desk.mirror.borrow().covered());
        if question.after <= covered || now < self.later.get() + LATER_EVERY {
            return;
        }
        self.later.set(now);
        let fields = json!({
            "from": &*question.from,
            "after": [revision::era(question.after), revision::count(question.after)],
            "known": [revision::era(covered), revision::count(covered)],
        });
        log::line(Level::Info, "fleet", "asked by a later revision", fields);
    }

    /// The datagram that answers a question: what this box knows, or how to fetch it.
    fn encode_answer(&self, question: &Query) -> Option<Vec<u8>> {
        if self.last_packed(question.after).is_none() {
            let bytes = pack::encode(&Datagram::Answer(self.answer_to(question)))?;
            if bytes.len() <= ANSWER_MOST {
                return Some(bytes);
            }
        }
        let packed = self.pack(question.after)?;
        let large = self.ticket_for(question, packed.len() as u64);
        pack::encode(&Datagram::Answer(large))
    }

    /// What a box that knows everything up to `after` lacks, if it was packed and
    /// nothing has changed.
    fn last_packed(&self, after: Revision) -> Option<Bytes> {
        let (mirror, sure) = (self.desk.mirror.borrow(), self.desk.sure.get());
        let now = (after, mirror.covered(), mirror.generation(), sure);
        let packed = self.packed.borrow();
        let mut packed = packed.iter();
        let known = packed.find(|p| (p.after, p.upto, p.edition, p.sure) == now)?;
        Some(known.bytes.clone())
    }

    /// What a box that knows everything up to `after` lacks, packed.
    fn pack(&self, after: Revision) -> Option<Bytes> {
        if let Some(bytes) = self.last_packed(after) {
            return Some(bytes);
        }
        let (mirror, sure) = (self.desk.mirror.borrow(), self.desk.sure.get());
        let bytes = match pack::pack(&mirror.update(after, sure)) {
            Ok(bytes) => Bytes::from(bytes),
            Err(e) => {
                let fields = json!({"cause": e.to_string()});
                log::line(Level::Warn, "fleet", "not packed", fields);
                return None;
            }
        };
        let mut packed = self.packed.borrow_mut();
        if packed.len() >= PACKED_MOST {
            packed.pop_front();
        }
        packed.push_back(Packed {
            after,
            upto: mirror.covered(),
            edition: mirror.generation(),
            sure,
            bytes: bytes.clone(),
        });
        Some(bytes)
    }

    /// What this box knows now, packed for a box that fetches it.
    fn packed_answer(&self, question: &Query) -> Option<Answer> {
        let desk = &self.desk;
        let age = desk.fresh.borrow().age(desk.now());
        let body = match age.filter(|_| desk.is_informed()) {
            Some(age) => AnswerBody::Compressed {
                age,
                bytes: self.pack(question.after)?.to_vec(),
            },
            None => self.nothing(),
        };
        Some(self.answer_with(question, body))
    }

    /// What this box knows now. The age counts to this moment, which is after
    /// the question was asked.
    fn answer_to(&self, question: &Query) -> Answer {
        let desk = &self.desk;
        let age = desk.fresh.borrow().age(desk.now());
        let body = match age.filter(|_| desk.is_informed()) {
            Some(age) => AnswerBody::Update {
                age,
                update: desk.mirror.borrow().update(question.after, desk.sure.get()),
            },
            None => self.nothing(),
        };
        self.answer_with(question, body)
    }

    fn nothing(&self) -> AnswerBody {
        let now = self.desk.now();
        let asked = self.desk.vacant_at.get();
        AnswerBody::Empty {
            asked_ago: asked.map(|at| now.saturating_sub(at)),
        }
    }

    fn answer_with(&self, question: &Query, body: AnswerBody) -> Answer {
        Answer {
            from: self.desk.settings().id.as_str().into(),
            id: question.id,
            boxes: self.desk.counted_boxes(),
            body,
        }
    }

    fn ticket_for(&self, question: &Query, bytes: u64) -> Answer {
        let ticket = self.desk.rng().random();
        let now = self.desk.now();
        let mut tickets = self.tickets.borrow_mut();
        tickets.retain(|_, until| now < *until);
        if tickets.len() >= TICKETS_MOST {
            return self.answer_with(question, AnswerBody::Empty { asked_ago: None });
        }
        tickets.insert(ticket, now + TICKET_TIME);
        self.answer_with(
            question,
            AnswerBody::TooLarge {
                fetch_token: ticket,
                bytes,
            },
        )
    }

    /// Answers what comes over connections, to boxes that have a ticket.
    async fn answer_fetches(self: Rc<Self>, mut asked: mpsc::Receiver<Fetch>) {
        while let Some(Fetch { question, reply }) = asked.recv().await {
            let ticket = question.fetch_token;
            let until = ticket.and_then(|t| self.tickets.borrow_mut().remove(&t));
            let is_good = until.is_some_and(|until| self.desk.now() < until);
            // Whoever asked may be gone.
            let answer = is_good.then(|| self.packed_answer(&question));
            let _ = reply.send(answer.flatten());
        }
    }
}

/// What became of a datagram.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Taken {
    /// It was taken in.
    Heard,
    /// It was a question.
    Question,
    /// A later one was taken in before, or too many wait.
    Late,
    /// It is none of ours.
    Unreadable,
    /// It came from an address that its box has not announced.
    Stranger,
}

impl Taken {
    fn label(self) -> &'static str {
        match self {
            Taken::Heard => "heard",
            Taken::Question => "question",
            Taken::Late => "late",
            Taken::Unreadable => "unreadable",
            Taken::Stranger => "stranger",
        }
    }
}

/// Binds the same port for datagrams and connections. If the system is to choose
/// it, one that is free for datagrams may be taken for connections.
async fn bind(addr: &str) -> Result<(UdpSocket, TcpListener)> {
    let hint = || format!("cannot hear boxes on {addr}; free the port or set another");
    let mut tries = match addr.ends_with(":0") {
        true => BIND_TRIES,
        false => 1,
    };
    loop {
        let socket = UdpSocket::bind(addr).await.wrap_err_with(hint)?;
        tries -= 1;
        match TcpListener::bind(socket.local_addr()?).await {
            Ok(listener) => return Ok((socket, listener)),
            Err(_) if tries > 0 => {}
            Err(e) => return Err(e).wrap_err_with(hint),
        }
    }
}

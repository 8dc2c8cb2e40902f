//! HTTP client with pooled connections that reports whether a failed request was sent.

use std::collections::HashMap;
use std::fmt;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response};
use tokio::sync::watch;
use tokio::time::timeout;

use crate::budget::{Budget, ReadError};
use crate::connect::connect;
use crate::meter::ResponseBody;
use crate::sender::{SendError, Sender, handshake};

/// Maximum number of idle connections for one address.
const MAX_IDLE_PER_ADDR: usize = 64;

/// Maximum number of idle connections for all addresses together: each takes a file
/// descriptor, and a client that calls thousands of upstreams once must not keep one for
/// each.
const MAX_IDLE: usize = 256;

/// Maximum size of a response unless another is set; a stored object has at most 1 MB.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Silence of a pooled connection after which a request that may be repeated is sent over a
/// new one as well. A lost packet is sent again after 200 ms.
const HEDGE_DELAY: Duration = Duration::from_millis(250);

/// Reason why there is no response to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Failure {
    /// No byte of it left this process.
    NotSent(String),
    /// It was sent, but no complete response arrived.
    Lost(String),
    /// It was sent, and what arrived is no response.
    Invalid(String),
}

/// Time limits of a request that has a connection of its own.
#[derive(Clone, Copy, Debug)]
pub struct FetchLimits {
    /// Limit for the whole response.
    pub total: Duration,
    /// Longest time in which nothing arrives.
    pub silence: Duration,
}

/// Sends requests over pooled connections. Clones share the pool.
#[derive(Clone, Debug)]
pub struct Client {
    connect_timeout: Duration,
    /// Maximum size of a response.
    max_bytes: usize,
    /// Memory for the responses that are being read.
    budget: Budget,
    idle: Arc<Mutex<IdlePool>>,
    /// Number of pooled connections that were silent while a new one worked.
    silent: Arc<watch::Sender<u64>>,
}

/// Idle connections.
#[derive(Debug, Default)]
struct IdlePool {
    senders: HashMap<String, Vec<Sender>>,
    count: usize,
}

impl Client {
    /// Creates a client with this timeout for connecting.
    pub fn new(connect_timeout: Duration) -> Self {
        Client {
            connect_timeout,
            max_bytes: MAX_RESPONSE_BYTES,
            budget: Budget::unlimited(),
            idle: Arc::default(),
            silent: Arc::default(),
        }
    }

    /// Limits each response to `max_bytes`, and all responses together to a budget.
    pub fn with_limits(self, max_bytes: usize, budget: Budget) -> Self {
        Client {
            max_bytes,
            budget,
            ..self
        }
    }

    /// Returns a receiver that changes when a pooled connection was silent while a new one to
    /// the same address worked. Other connections that were opened earlier may have died with
    /// it, without a reset.
    pub fn subscribe_silent(&self) -> watch::Receiver<u64> {
        self.silent.subscribe()
    }

    /// Returns the number of idle connections.
    pub fn idle_count(&self) -> usize {
        self.idle.lock().map_or(0, |idle| idle.count)
    }

    /// Sends a request to `addr` and reads the whole response.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be reached, the connection breaks, or no complete
    /// response arrives within `limit`.
    pub async fn send(
        &self,
        addr: &str,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Response<Bytes>, Failure> {
        match timeout(limit, self.exchange(addr, request)).await {
            Ok(result) => result,
            Err(_) => Err(Failure::Lost("no answer in time".into())),
        }
    }

    /// Sends a request that may be repeated. If a pooled connection is silent, the request is
    /// sent again over a new one; the first response counts.
    ///
    /// # Errors
    ///
    /// Same as [`Client::send`].
    pub async fn send_hedged(
        &self,
        addr: &str,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Response<Bytes>, Failure> {
        match timeout(limit, self.exchange_hedged(addr, request)).await {
            Ok(result) => result,
            Err(_) => Err(Failure::Lost("no answer in time".into())),
        }
    }

    /// Sends a request over a connection of its own, which is closed after the response.
    /// Such a request does not depend on connections that may have died without a reset.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be reached, the connection breaks, or a time limit is
    /// reached.
    pub async fn fetch(
        &self,
        addr: &str,
        request: Request<Full<Bytes>>,
        limits: FetchLimits,
    ) -> Result<Response<Bytes>, Failure> {
        match timeout(
            limits.total,
            self.fetch_steadily(addr, request, limits.silence),
        )
        .await
        {
            Ok(result) => result,
            Err(_) => Err(Failure::Lost("the response is not complete in time".into())),
        }
    }

    async fn fetch_steadily(
        &self,
        addr: &str,
        request: Request<Full<Bytes>>,
        silence: Duration,
    ) -> Result<Response<Bytes>, Failure> {
        let silent = |_| Failure::Lost(format!("silent for {silence:?}"));
        let mut sender = self.connect(addr).await?;
        let response = timeout(silence, sender.send(request)).await;
        let response = response.map_err(silent)?.map_err(Failure::from)?;
        let (parts, mut body) = response.into_parts();
        let mut buffer = self.budget.buffer(self.max_bytes);
        while let Some(frame) = timeout(silence, body.frame()).await.map_err(silent)? {
            let frame = frame.map_err(|e| Failure::Lost(e.to_string()))?;
            if let Ok(data) = frame.into_data() {
                buffer.push(&data)?;
            }
        }
        Ok(Response::from_parts(parts, buffer.freeze()))
    }

    async fn exchange(
        &self,
        addr: &str,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, Failure> {
        // The other side may have closed an idle connection; hyper returns the request if
        // it was not begun.
        while let Some(sender) = self.take(addr) {
            match self.send_on(addr, sender, request).await {
                Ok(answer) => return answer,
                Err(unsent) => request = *unsent,
            }
        }
        let sender = self.connect(addr).await?;
        match self.send_on(addr, sender, request).await {
            Ok(answer) => answer,
            Err(_) => Err(Failure::NotSent("connection closed at once".into())),
        }
    }

    async fn exchange_hedged(
        &self,
        addr: &str,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, Failure> {
        let Some(mut sender) = self.take(addr) else {
            return self.exchange(addr, request).await;
        };
        let pooled = sender.send(request.clone());
        tokio::pin!(pooled);
        let head = match timeout(HEDGE_DELAY, pooled.as_mut()).await {
            Ok(head) => head,
            Err(_) => {
                self.drop_idle(addr);
                tokio::select! {
                    head = pooled.as_mut() => head,
                    response = self.exchange(addr, request.clone()) => match response {
                        Ok(response) => {
                            self.silent.send_modify(|count| *count += 1);
                            return Ok(response);
                        }
                        Err(_) => pooled.await,
                    },
                }
            }
        };
        match head {
            Ok(response) => self.read_body(addr, sender, response).await,
            Err(_) => self.exchange(addr, request).await,
        }
    }

    /// Sends on one connection; returns the request if it was not sent.
    async fn send_on(
        &self,
        addr: &str,
        mut sender: Sender,
        request: Request<Full<Bytes>>,
    ) -> Result<Result<Response<Bytes>, Failure>, Box<Request<Full<Bytes>>>> {
        let response = match sender.send(request).await {
            Ok(response) => response,
            Err(SendError::Unsent(request, _)) => return Err(request),
            Err(SendError::Lost(failure)) => return Ok(Err(failure)),
        };
        Ok(self.read_body(addr, sender, response).await)
    }

    /// Reads the body of a response, and keeps its connection.
    async fn read_body(
        &self,
        addr: &str,
        sender: Sender,
        response: Response<ResponseBody>,
    ) -> Result<Response<Bytes>, Failure> {
        let (parts, body) = response.into_parts();
        let body = self.budget.collect(body, self.max_bytes).await?;
        self.put_back(addr, sender);
        Ok(Response::from_parts(parts, body))
    }

    async fn connect(&self, addr: &str) -> Result<Sender, Failure> {
        let not_sent = |e: &dyn fmt::Display| Failure::NotSent(e.to_string());
        let stream = match timeout(self.connect_timeout, connect(addr)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) => return Err(not_sent(&e)),
            Err(_) => return Err(Failure::NotSent("connecting took too long".into())),
        };
        let (sender, connection) = handshake(stream).await.map_err(|e| not_sent(&e))?;
        tokio::spawn(connection);
        Ok(sender)
    }

    fn take(&self, addr: &str) -> Option<Sender> {
        self.idle.lock().ok()?.take(addr)
    }

    fn drop_idle(&self, addr: &str) {
        if let Ok(mut idle) = self.idle.lock() {
            idle.remove(addr);
        }
    }

    fn put_back(&self, addr: &str, sender: Sender) {
        if let Ok(mut idle) = self.idle.lock() {
            idle.put_back(addr, sender);
        }
    }
}

impl IdlePool {
    fn take(&mut self, addr: &str) -> Option<Sender> {
        let senders = self.senders.get_mut(addr)?;
        while let Some(sender) = senders.pop() {
            self.count -= 1;
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    fn put_back(&mut self, addr: &str, sender: Sender) {
        if sender.is_closed() {
            return;
        }
        if self.count >= MAX_IDLE {
            self.drop_closed();
        }
        let senders = self.senders.entry(addr.into()).or_default();
        if self.count < MAX_IDLE && senders.len() < MAX_IDLE_PER_ADDR {
            senders.push(sender);
            self.count += 1;
        }
    }

    fn remove(&mut self, addr: &str) {
        let removed = self.senders.remove(addr);
        self.count -= removed.map_or(0, |senders| senders.len());
    }

    /// Removes connections that the other side has closed.
    fn drop_closed(&mut self) {
        for senders in self.senders.values_mut() {
            senders.retain(|sender| !sender.is_closed());
        }
        self.senders.retain(|_, senders| !senders.is_empty());
        self.count = self.senders.values().map(Vec::len).sum();
    }
}

impl From<ReadError> for Failure {
    fn from(error: ReadError) -> Self {
        Failure::Lost(error.to_string())
    }
}

impl From<SendError> for Failure {
    fn from(error: SendError) -> Self {
        match error {
            SendError::Unsent(_, cause) => Failure::NotSent(cause),
            SendError::Lost(failure) => failure,
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::NotSent(cause) => write!(f, "not sent: {cause}"),
            Failure::Lost(cause) => write!(f, "no answer: {cause}"),
            Failure::Invalid(cause) => write!(f, "no valid answer: {cause}"),
        }
    }
}

impl std::error::Error for Failure {}

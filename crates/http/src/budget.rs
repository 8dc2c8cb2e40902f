//! Memory for messages, limited over all messages of a kind together.
//!
//! A limit on each message is no limit on a process that reads many of them at once.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;

/// Size of the first buffer of a message.
const MIN_BUFFER_BYTES: usize = 1 << 10;

/// Memory that messages may take together. Clones share it.
///
/// # Example
///
/// ```
/// use http::Budget;
///
/// let budget = Budget::new(100);
/// let mut first = budget.reservation();
/// assert!(first.grow(80));
/// let mut second = budget.reservation();
/// assert!(!second.grow(30));
/// drop(first);
/// assert!(second.grow(30));
/// ```
#[derive(Clone, Debug)]
pub struct Budget(Arc<Counters>);

#[derive(Debug)]
struct Counters {
    limit: usize,
    used: AtomicUsize,
    refused: AtomicU64,
}

/// Part of a [`Budget`], which is returned when this is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Budget,
    bytes: usize,
}

/// Reason why a message was not read to its end.
#[derive(Clone, Debug, PartialEq)]
pub enum ReadError {
    /// It is larger than one message may be.
    TooLarge,
    /// Other messages take up the budget.
    NoMemory,
    /// Its connection broke.
    Broken(String),
}

/// A message that is being read into one buffer.
#[derive(Debug)]
pub struct Buffer {
    bytes: Vec<u8>,
    reservation: Reservation,
    max: usize,
}

impl Budget {
    /// Creates a budget of so many bytes.
    pub fn new(limit: usize) -> Self {
        Budget(Arc::new(Counters {
            limit,
            used: AtomicUsize::new(0),
            refused: AtomicU64::new(0),
        }))
    }

    /// Creates a budget that never ends.
    pub fn unlimited() -> Self {
        Budget::new(usize::MAX)
    }

    /// Returns the bytes that messages may take.
    pub fn limit(&self) -> usize {
        self.0.limit
    }

    /// Returns the bytes that messages take now.
    pub fn used(&self) -> usize {
        self.0.used.load(Ordering::Relaxed)
    }

    /// Returns how often a message got no memory.
    pub fn refused(&self) -> u64 {
        self.0.refused.load(Ordering::Relaxed)
    }

    /// Creates a reservation of no bytes.
    pub fn reservation(&self) -> Reservation {
        Reservation {
            budget: self.clone(),
            bytes: 0,
        }
    }

    /// Creates the buffer of a message of at most `max` bytes.
    pub fn buffer(&self, max: usize) -> Buffer {
        Buffer {
            bytes: Vec::new(),
            reservation: self.reservation(),
            max,
        }
    }

    /// Reads a whole body of at most `max` bytes. Its memory is returned when the bytes are
    /// dropped.
    ///
    /// # Errors
    ///
    /// Fails if the body is too large, there is no memory for it, or it breaks.
    pub async fn collect<B>(&self, body: B, max: usize) -> Result<Bytes, ReadError>
    where
        B: Body<Data = Bytes>,
        B::Error: std::fmt::Display,
    {
        let mut buffer = self.buffer(max);
        let mut body = std::pin::pin!(body);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|e| ReadError::Broken(e.to_string()))?;
            if let Ok(data) = frame.into_data() {
                buffer.push(&data)?;
            }
        }
        Ok(buffer.freeze())
    }
}

impl Reservation {
    /// Reserves more bytes; returns `false` if there are not so many left. A message that is alone
    /// may take more than the budget.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let counters = &self.budget.0;
        let own = self.bytes;
        let add = |used: usize| {
            let new = used.saturating_add(bytes);
            (new <= counters.limit || used == own).then_some(new)
        };
        let order = Ordering::Relaxed;
        let is_reserved = counters.used.fetch_update(order, order, add).is_ok();
        match is_reserved {
            true => self.bytes += bytes,
            false => _ = counters.refused.fetch_add(1, Ordering::Relaxed),
        }
        is_reserved
    }

    /// Changes the reservation to so many bytes; returns `false`, and changes nothing, if there
    /// are not so many left.
    pub fn resize(&mut self, bytes: usize) -> bool {
        if bytes > self.bytes {
            return self.grow(bytes - self.bytes);
        }
        let freed = self.bytes - bytes;
        self.budget.0.used.fetch_sub(freed, Ordering::Relaxed);
        self.bytes = bytes;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.0.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

impl Buffer {
    /// Appends a part of the message.
    ///
    /// # Errors
    ///
    /// Fails, without the part, if the message is too large or there is no memory for it.
    pub fn push(&mut self, part: &[u8]) -> Result<(), ReadError> {
        let len = self.bytes.len() + part.len();
        if len > self.max {
            return Err(ReadError::TooLarge);
        }
        if len > self.bytes.capacity() {
            // Doubled, so that few parts are copied often.
            let capacity = len.max(self.bytes.len() * 2).max(MIN_BUFFER_BYTES);
            let capacity = capacity.min(self.max);
            if !self.reservation.resize(capacity) {
                return Err(ReadError::NoMemory);
            }
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(part);
        Ok(())
    }

    /// Returns the message. Its memory is returned to the budget when the bytes are dropped.
    pub fn freeze(self) -> Bytes {
        match self.bytes.is_empty() {
            true => Bytes::new(),
            false => Bytes::from_owner(Held {
                bytes: self.bytes,
                _reservation: self.reservation,
            }),
        }
    }
}

/// Bytes with the memory that is reserved for them.
struct Held {
    bytes: Vec<u8>,
    _reservation: Reservation,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl std::fmt::Display for ReadError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ReadError::TooLarge => f.write_str("larger than a message may be"),
            ReadError::NoMemory => f.write_str("no memory for the message"),
            ReadError::Broken(cause) => write!(f, "broken off: {cause}"),
        }
    }
}

impl std::error::Error for ReadError {}

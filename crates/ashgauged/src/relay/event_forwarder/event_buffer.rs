//! Received bytes of a stream that complete no event yet.

use ashgauge::events::{CompleteEvents, EventScanner};
use bytes::{Bytes, BytesMut};
use http::{Budget, ReadError, Reservation};

/// Maximum number of bytes of an incomplete event.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Holds the bytes of an incomplete event.
pub(super) struct EventBuffer {
    bytes: BytesMut,
    scanner: EventScanner,
    reservation: Reservation,
}

impl EventBuffer {
    /// Creates an empty buffer, which takes its memory from a budget.
    pub(super) fn new(budget: &Budget) -> Self {
        EventBuffer {
            bytes: BytesMut::new(),
            scanner: EventScanner::default(),
            reservation: budget.reservation(),
        }
    }

    /// Appends received bytes; returns the complete events, which [`EventBuffer::take`] removes.
    ///
    /// # Errors
    ///
    /// Fails if an event is too long, or if there is no memory for it.
    pub(super) fn push(&mut self, received: &[u8]) -> Result<CompleteEvents, ReadError> {
        self.bytes.extend_from_slice(received);
        let complete = self.scanner.scan(&self.bytes);
        let incomplete = self.bytes.len() - complete.len;
        if incomplete > MAX_EVENT_BYTES {
            return Err(ReadError::TooLarge);
        }
        match self.reservation.resize(incomplete) {
            true => Ok(complete),
            false => Err(ReadError::NoMemory),
        }
    }

    /// Removes the complete events that [`EventBuffer::push`] found.
    pub(super) fn take(&mut self, complete: &CompleteEvents) -> Bytes {
        self.bytes.split_to(complete.len).freeze()
    }

    /// Returns whether no event is incomplete.
    pub(super) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Forgets the incomplete event.
    pub(super) fn clear(&mut self) {
        self.bytes = BytesMut::new();
        self.scanner = EventScanner::default();
        self.reservation.resize(0);
    }
}

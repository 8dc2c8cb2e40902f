//! Splits server-sent event streams (`text/event-stream`) at event boundaries.

/// The complete events at the start of a buffer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CompleteEvents {
    /// Length of the events in bytes; an incomplete event may follow.
    pub len: usize,
    /// Number of events.
    pub count: usize,
    /// Id of the first event, if it has one.
    pub first_id: Option<u64>,
    /// Id of the last event that has one.
    pub last_id: Option<u64>,
}

/// Finds the complete events at the start of a buffer that grows. Each byte is read once, however
/// long an event is.
///
/// # Example
///
/// ```
/// use ashgauge::events::EventScanner;
///
/// let mut scanner = EventScanner::default();
/// assert_eq!(scanner.scan(b"id: 1\nda").len, 0);
/// let events = scanner.scan(b"id: 1\ndata: a\n\nid: 2");
/// assert_eq!((events.len, events.last_id), (15, Some(1)));
/// // The complete events were removed.
/// assert_eq!(scanner.scan(b"id: 2\n\n").last_id, Some(2));
/// ```
#[derive(Clone, Debug, Default)]
pub struct EventScanner {
    /// Where the first incomplete line begins.
    line: usize,
    /// Number of bytes that were read.
    read: usize,
    /// Id of the incomplete event, if it has one.
    id: Option<u64>,
    /// Whether the incomplete event is more than comments.
    has_content: bool,
}

impl EventScanner {
    /// Finds the complete events at the start of `bytes`, which the caller removes: the next call
    /// gets what follows them, with more bytes appended.
    ///
    /// An event ends with an empty line. Lines end with `\n` or `\r\n`. Comments, which begin
    /// with a colon, are not events, but their bytes are included in the length.
    pub fn scan(&mut self, bytes: &[u8]) -> CompleteEvents {
        let mut events = CompleteEvents::default();
        while let Some(at) = bytes[self.read..].iter().position(|b| *b == b'\n') {
            let end = self.read + at;
            let line = trim_cr(&bytes[self.line..end]);
            self.line = end + 1;
            self.read = self.line;
            match line.is_empty() {
                true => self.end_event(&mut events),
                false => self.add_line(line),
            }
        }
        self.line -= events.len;
        self.read = bytes.len() - events.len;
        events
    }

    fn add_line(&mut self, line: &[u8]) {
        self.has_content |= line[0] != b':';
        self.id = parse_id(line).or(self.id);
    }

    fn end_event(&mut self, events: &mut CompleteEvents) {
        events.len = self.line;
        let id = self.id.take();
        if !std::mem::take(&mut self.has_content) {
            return;
        }
        events.count += 1;
        if events.count == 1 {
            events.first_id = id;
        }
        events.last_id = id.or(events.last_id);
    }
}

/// Finds the complete events at the start of `bytes`, as [`EventScanner::scan`] does.
///
/// # Example
///
/// ```
/// use ashgauge::events::scan_complete;
///
/// let events = scan_complete(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
/// assert_eq!((events.count, events.first_id, events.last_id), (2, Some(1), Some(2)));
/// assert_eq!(events.len, 30);
/// ```
pub fn scan_complete(bytes: &[u8]) -> CompleteEvents {
    EventScanner::default().scan(bytes)
}

fn trim_cr(line: &[u8]) -> &[u8] {
    line.strip_suffix(b"\r").unwrap_or(line)
}

fn parse_id(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(b"id:")?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

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

/// Finds the complete events at the start of `bytes`.
///
/// An event ends with an empty line. Lines end with `\n` or `\r\n`. Comments, which begin
/// with a colon, are not events, but their bytes are included in the length.
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
    let mut events = CompleteEvents::default();
    let mut start = 0;
    let mut id = None;
    let mut has_content = false;
    while let Some(at) = bytes[start..].iter().position(|b| *b == b'\n') {
        let line = trim_cr(&bytes[start..start + at]);
        start += at + 1;
        if !line.is_empty() {
            has_content |= line[0] != b':';
            id = parse_id(line).or(id);
            continue;
        }
        events.len = start;
        if has_content {
            events.count += 1;
            events.first_id = if events.count == 1 {
                id
            } else {
                events.first_id
            };
            events.last_id = id.or(events.last_id);
        }
        id = None;
        has_content = false;
    }
    events
}

fn trim_cr(line: &[u8]) -> &[u8] {
    line.strip_suffix(b"\r").unwrap_or(line)
}

fn parse_id(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(b"id:")?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

//! Streams of events (`text/event-stream`), cut into whole events.

/// Whole events at the start of some bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CompleteEvents {
    /// Bytes that they take; what follows is the start of another event.
    pub len: usize,
    /// How many they are.
    pub count: usize,
    /// Id of the first, if it has one.
    pub first_id: Option<u64>,
    /// Id of the last that has one.
    pub last_id: Option<u64>,
}

/// Finds the whole events at the start of `bytes`.
///
/// An event ends with an empty line. Lines end with `\n` or `\r\n`. Comments, which
/// begin with a colon, are no event, though they come with what goes before the next one.
///
/// # Example
///
/// ```
/// use ashgauge::events::scan_complete;
///
/// let whole = scan_complete(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
/// assert_eq!((whole.count, whole.first_id, whole.last_id), (2, Some(1), Some(2)));
/// assert_eq!(whole.len, 30);
/// ```
pub fn scan_complete(bytes: &[u8]) -> CompleteEvents {
    let mut whole = CompleteEvents::default();
    let mut start = 0;
    let mut id = None;
    let mut filled = false;
    while let Some(at) = bytes[start..].iter().position(|b| *b == b'\n') {
        let line = trim_cr(&bytes[start..start + at]);
        start += at + 1;
        if !line.is_empty() {
            filled |= line[0] != b':';
            id = parse_id(line).or(id);
            continue;
        }
        whole.len = start;
        if filled {
            whole.count += 1;
            whole.first_id = if whole.count == 1 { id } else { whole.first_id };
            whole.last_id = id.or(whole.last_id);
        }
        id = None;
        filled = false;
    }
    whole
}

fn trim_cr(line: &[u8]) -> &[u8] {
    line.strip_suffix(b"\r").unwrap_or(line)
}

fn parse_id(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(b"id:")?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

//! Logging: one JSON line per decision, on standard output.
//!
//! A bounded queue passes the lines to a writer thread. When the queue is full, lines are
//! dropped and counted; the box never waits for its log.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use eyre::Result;
use serde_json::{Map, Value};
use spdlog::formatter::{PatternFormatter, pattern};
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, StdStream, StdStreamSink};
use spdlog::{Level, LevelFilter, Logger, ThreadPool};

/// Number of lines that may wait to be written.
const QUEUE_CAPACITY: usize = 1024;

/// Interval between flushes of written lines.
const FLUSH_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum length of a text in a line, in bytes. Other clients of the store and callers choose
/// some of the texts.
const MAX_TEXT_BYTES: usize = 1024;

/// Name of the box, which is part of every line.
static BOX_ID: OnceLock<String> = OnceLock::new();

/// Number of lines dropped because the queue was full.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Sets up logging for the process, which runs the box `id`.
///
/// # Errors
///
/// Fails if the level is unknown or the writer thread cannot be started.
pub fn start(level: &str, id: &str) -> Result<()> {
    BOX_ID.get_or_init(|| id.into());
    let level = match level {
        "error" => Level::Error,
        "warn" => Level::Warn,
        "info" => Level::Info,
        "debug" => Level::Debug,
        other => eyre::bail!("log: `{other}` is not a log level; use error, warn, info or debug"),
    };
    let formatter = PatternFormatter::new(pattern!("{payload}{eol}"));
    let stdout = StdStreamSink::builder()
        .std_stream(StdStream::Stdout)
        .formatter(formatter)
        .build()?;
    let capacity = std::num::NonZeroUsize::new(QUEUE_CAPACITY);
    let mut pool = ThreadPool::builder();
    if let Some(capacity) = capacity {
        let _ = pool.capacity(capacity);
    }
    let sink = AsyncPoolSink::builder()
        .sink(Arc::new(stdout))
        .thread_pool(Arc::new(pool.build()?))
        .overflow_policy(OverflowPolicy::DropIncoming)
        .build()?;
    let logger = Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(LevelFilter::MoreSevereEqual(level))
        .error_handler(|_| {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        })
        .build()?;
    let logger = Arc::new(logger);
    logger.set_flush_period(Some(FLUSH_INTERVAL));
    spdlog::set_default_logger(logger);
    Ok(())
}

/// Logs one decision and its inputs.
pub fn event(level: Level, part: &str, what: &str, fields: Value) {
    let logger = spdlog::default_logger();
    if !logger.should_log(level) {
        return;
    }
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let mut line = Map::new();
    // A clock before 1970 is wrong in any case.
    line.insert(
        "at_ms".into(),
        (now.unwrap_or_default().as_millis() as u64).into(),
    );
    line.insert("box".into(), BOX_ID.get().map_or("", String::as_str).into());
    line.insert("part".into(), part.into());
    line.insert("what".into(), what.into());
    if let Value::Object(fields) = fields {
        line.extend(fields);
    }
    line.values_mut().for_each(shorten);
    spdlog::log!(level, "{}", Value::Object(line));
}

/// Cuts the texts of a field at [`MAX_TEXT_BYTES`].
fn shorten(field: &mut Value) {
    match field {
        Value::String(text) if text.len() > MAX_TEXT_BYTES => {
            let end = (0..=MAX_TEXT_BYTES).rfind(|at| text.is_char_boundary(*at));
            text.truncate(end.unwrap_or_default());
            text.push_str("...");
        }
        Value::Array(items) => items.iter_mut().for_each(shorten),
        Value::Object(fields) => fields.values_mut().for_each(shorten),
        _ => {}
    }
}

/// Returns the number of lines dropped since the start.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Writes all queued lines; called before the process exits.
pub fn flush() {
    spdlog::default_logger().flush();
}

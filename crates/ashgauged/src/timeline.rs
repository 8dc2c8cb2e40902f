//! Timeline of what happened on this box.

use std::collections::VecDeque;
use std::fs::File;
use std::io::Write;
use std::sync::Mutex;

use ashgauge::record::Record;
use eyre::{Result, WrapErr};
use operator::EventsResponse;

use crate::settings::Settings;

/// Keeps the newest records in memory, and writes all records to a file if one is set.
pub struct Timeline {
    /// Maximum number of records in memory.
    capacity: usize,
    inner: Mutex<Inner>,
}

struct Inner {
    records: VecDeque<Record>,
    /// Number of records dropped from memory.
    evicted: u64,
    file: Option<File>,
}

impl Timeline {
    /// Creates an empty timeline and opens the file, if one is set.
    pub fn new(settings: &Settings) -> Result<Self> {
        let open = |path| {
            let mut options = File::options();
            let file = options.append(true).create(true).open(path);
            file.wrap_err_with(|| format!("events: cannot open {path:?}; name another file"))
        };
        let file = settings.events.as_ref().map(open).transpose()?;
        let inner = Inner {
            records: VecDeque::new(),
            evicted: 0,
            file,
        };
        Ok(Timeline {
            capacity: settings.limits.records,
            inner: Mutex::new(inner),
        })
    }

    /// Adds a record.
    pub fn add(&self, record: Record) {
        let mut inner = self.inner.lock().unwrap_or_else(|e| e.into_inner());
        if let Some(file) = &mut inner.file {
            let mut line = serde_json::to_vec(&record).unwrap_or_default();
            line.push(b'\n');
            let _ = file.write_all(&line);
        }
        if inner.records.len() >= self.capacity {
            inner.records.pop_front();
            inner.evicted += 1;
        }
        inner.records.push_back(record);
    }

    /// Returns the records in memory and the number of evicted ones.
    pub fn read(&self) -> EventsResponse {
        let inner = self.inner.lock().unwrap_or_else(|e| e.into_inner());
        EventsResponse {
            records: inner.records.iter().cloned().collect(),
            dropped: inner.evicted,
        }
    }
}

//! Operators' edits on their way into the stored table.

use std::collections::VecDeque;
use std::time::Duration;

use crate::claim::WriteResult;
use crate::table::{Edit, Table, Version};

/// How long an edit may wait for the platform.
const EDIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause after a try that did not get through.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Number that links an edit to whoever waits for its result.
pub type WaiterId = u64;

/// What to do for the edits.
#[derive(Clone, Debug, PartialEq)]
pub enum EditAction {
    /// Read the table's object.
    Read,
    /// Write it if it still has this version.
    Write(Version, Table),
    /// Tell an edit's result.
    Respond(WaiterId, Edit, EditResult),
}

/// Result of an edit.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum EditResult {
    /// It is part of the table from this version on.
    Accepted {
        /// The version.
        version: Version,
    },
    /// It is not and will not be part of the table.
    Refused {
        /// Why, and what to do.
        message: String,
        /// Whether another edit came first.
        conflict: bool,
    },
    /// The platform did not answer; the edit may still take effect.
    Unknown,
}

/// Edits of one box, one at a time.
#[derive(Debug, Default)]
pub struct Editor {
    waiting: VecDeque<(WaiterId, Edit, Duration)>,
    snapshot: Option<(Version, Table)>,
    busy: bool,
    reading: bool,
    write_unknown: bool,
    retry_at: Duration,
}

impl Editor {
    /// Takes an edit.
    pub fn push(&mut self, now: Duration, ticket: WaiterId, edit: Edit) -> Vec<EditAction> {
        self.waiting.push_back((ticket, edit, now + EDIT_TIMEOUT));
        self.advance(now)
    }

    /// Takes the answer to [`EditAction::Read`].
    ///
    /// An answer older than `least`, the version known to be in force, is a
    /// stale one and is asked for again: a refusal must not rest on it.
    pub fn on_read(
        &mut self,
        now: Duration,
        least: Version,
        answer: Option<(Version, Table)>,
    ) -> Vec<EditAction> {
        // The table is also read for other reasons; an edit judged by such an
        // older reading could be refused for a value long replaced.
        if !std::mem::replace(&mut self.reading, false) {
            return Vec::new();
        }
        self.busy = false;
        match answer.filter(|(v, _)| *v >= least) {
            Some(base) => self.snapshot = Some(base),
            None => self.retry_at = now + RETRY_DELAY,
        }
        self.advance(now)
    }

    /// Takes the answer to [`EditAction::Write`] of `table`.
    pub fn on_written(
        &mut self,
        now: Duration,
        table: Table,
        result: WriteResult,
    ) -> Vec<EditAction> {
        self.busy = false;
        match result {
            WriteResult::Done(version) => self.snapshot = Some((version, table)),
            WriteResult::Conflict => {
                self.snapshot = None;
                // A stale read would be refused over and over without a pause.
                self.retry_at = now + RETRY_DELAY / 10;
            }
            WriteResult::Unknown => {
                self.snapshot = None;
                self.write_unknown = true;
                self.retry_at = now + RETRY_DELAY;
            }
            WriteResult::Refused => self.retry_at = now + RETRY_DELAY,
        }
        self.advance(now)
    }

    /// Goes on with the first edit.
    pub fn advance(&mut self, now: Duration) -> Vec<EditAction> {
        let mut steps = Vec::new();
        while let Some(step) = self.next_action(now) {
            let more = matches!(step, EditAction::Respond(..));
            steps.push(step);
            if !more {
                break;
            }
        }
        steps
    }

    fn next_action(&mut self, now: Duration) -> Option<EditAction> {
        let (_, edit, until) = self.waiting.front()?;
        if self.busy {
            return None;
        }
        if now >= *until {
            return self.time_out();
        }
        if now < self.retry_at {
            return None;
        }
        let Some((version, table)) = &self.snapshot else {
            self.busy = true;
            self.reading = true;
            return Some(EditAction::Read);
        };
        let version = *version;
        if table.contains_edit(&edit.id) {
            return self.finish(EditResult::Accepted { version });
        }
        match table.apply(edit) {
            Ok(next) => {
                self.busy = true;
                Some(EditAction::Write(version, next))
            }
            Err(e) => self.finish(EditResult::Refused {
                message: e.to_string(),
                conflict: e.is_conflict(),
            }),
        }
    }

    fn time_out(&mut self) -> Option<EditAction> {
        if self.write_unknown {
            return self.finish(EditResult::Unknown);
        }
        self.finish(EditResult::Refused {
            message: "the platform does not answer; send the edit again later".into(),
            conflict: false,
        })
    }

    fn finish(&mut self, answer: EditResult) -> Option<EditAction> {
        let (ticket, edit, _) = self.waiting.pop_front()?;
        self.write_unknown = false;
        // Each edit starts from a reading of its own, so that a refusal is
        // never drawn from an old table.
        self.snapshot = None;
        Some(EditAction::Respond(ticket, edit, answer))
    }
}

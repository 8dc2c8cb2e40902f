//! Applies operators' edits to the stored table, one at a time, by conditional writes.

use std::collections::VecDeque;
use std::time::Duration;

use crate::claim::WriteResult;
use crate::table::{Edit, Table, Version};

/// Time within which the platform must have stored an edit.
const EDIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay after a failed read or write.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Identifies the caller that waits for an edit's result.
pub type WaiterId = u64;

/// Action that the caller of [`Editor`] has to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum EditAction {
    /// Read the stored table.
    Read,
    /// Write the table if the stored one still has this version.
    Write(Version, Table),
    /// Give an edit's result to its waiter.
    Respond(WaiterId, Edit, EditResult),
}

/// Result of an edit.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum EditResult {
    /// The edit is part of the table from this version on.
    Accepted {
        /// The version.
        version: Version,
    },
    /// The edit is not part of the table and will not become so.
    Refused {
        /// Reason, and what the operator can do.
        message: String,
        /// Whether another edit changed one of the cells first.
        conflict: bool,
    },
    /// The platform did not answer; the edit may still take effect.
    Unknown,
}

/// Queue of the edits that one box has received; they are processed one at a time.
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
    /// Adds an edit to the queue.
    pub fn push(&mut self, now: Duration, waiter: WaiterId, edit: Edit) -> Vec<EditAction> {
        self.waiting.push_back((waiter, edit, now + EDIT_TIMEOUT));
        self.advance(now)
    }

    /// Handles the result of [`EditAction::Read`]; `None` if the read failed.
    ///
    /// A table older than `min_version`, the version known to be in force, is stale and is
    /// read again: an edit must not be refused because of stale data.
    pub fn on_read(
        &mut self,
        now: Duration,
        min_version: Version,
        result: Option<(Version, Table)>,
    ) -> Vec<EditAction> {
        // The table is also read for other reasons. Such a read may be older, and an edit
        // compared with it could be refused because of a value that was replaced since.
        if !std::mem::replace(&mut self.reading, false) {
            return Vec::new();
        }
        self.busy = false;
        match result.filter(|(v, _)| *v >= min_version) {
            Some(read) => self.snapshot = Some(read),
            None => self.retry_at = now + RETRY_DELAY,
        }
        self.advance(now)
    }

    /// Handles the result of [`EditAction::Write`] of `table`.
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
                // Without a delay, stale reads would lead to a tight loop of refused writes.
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

    /// Continues with the first edit of the queue; returns the actions to perform now.
    pub fn advance(&mut self, now: Duration) -> Vec<EditAction> {
        let mut actions = Vec::new();
        while let Some(action) = self.next_action(now) {
            let more = matches!(action, EditAction::Respond(..));
            actions.push(action);
            if !more {
                break;
            }
        }
        actions
    }

    fn next_action(&mut self, now: Duration) -> Option<EditAction> {
        let (_, edit, deadline) = self.waiting.front()?;
        if self.busy {
            return None;
        }
        if now >= *deadline {
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

    fn finish(&mut self, result: EditResult) -> Option<EditAction> {
        let (waiter, edit, _) = self.waiting.pop_front()?;
        self.write_unknown = false;
        // Each edit reads the table anew, so that none is refused because of an old
        // version.
        self.snapshot = None;
        Some(EditAction::Respond(waiter, edit, result))
    }
}

//! Operators' edits on their way into the stored table.

use std::collections::VecDeque;
use std::time::Duration;

use crate::claim::Written;
use crate::table::{Edit, Table, Version};

/// How long an edit may wait for the platform.
const PATIENCE: Duration = Duration::from_secs(5);

/// Pause after a try that did not get through.
const PAUSE: Duration = Duration::from_millis(100);

/// Number that links an edit to whoever waits for its result.
pub type Ticket = u64;

/// What to do for the edits.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Read the table's object.
    Read,
    /// Write it if it still has this version.
    Write(Version, Table),
    /// Tell an edit's result.
    Tell(Ticket, Edit, Answer),
}

/// Result of an edit.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum Answer {
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
    waiting: VecDeque<(Ticket, Edit, Duration)>,
    base: Option<(Version, Table)>,
    busy: bool,
    reading: bool,
    unsure: bool,
    next: Duration,
}

impl Editor {
    /// Takes an edit.
    pub fn push(&mut self, now: Duration, ticket: Ticket, edit: Edit) -> Vec<Step> {
        self.waiting.push_back((ticket, edit, now + PATIENCE));
        self.advance(now)
    }

    /// Takes the answer to [`Step::Read`].
    ///
    /// An answer older than `least`, the version known to be in force, is a
    /// stale one and is asked for again: a refusal must not rest on it.
    pub fn read(
        &mut self,
        now: Duration,
        least: Version,
        answer: Option<(Version, Table)>,
    ) -> Vec<Step> {
        // The table is also read for other reasons; an edit judged by such an
        // older reading could be refused for a value long replaced.
        if !std::mem::replace(&mut self.reading, false) {
            return Vec::new();
        }
        self.busy = false;
        match answer.filter(|(v, _)| *v >= least) {
            Some(base) => self.base = Some(base),
            None => self.next = now + PAUSE,
        }
        self.advance(now)
    }

    /// Takes the answer to [`Step::Write`] of `table`.
    pub fn written(&mut self, now: Duration, table: Table, result: Written) -> Vec<Step> {
        self.busy = false;
        match result {
            Written::Done(version) => self.base = Some((version, table)),
            Written::Conflict => {
                self.base = None;
                // A stale read would be refused over and over without a pause.
                self.next = now + PAUSE / 10;
            }
            Written::Unknown => {
                self.base = None;
                self.unsure = true;
                self.next = now + PAUSE;
            }
            Written::Refused => self.next = now + PAUSE,
        }
        self.advance(now)
    }

    /// Goes on with the first edit.
    pub fn advance(&mut self, now: Duration) -> Vec<Step> {
        let mut steps = Vec::new();
        while let Some(step) = self.step(now) {
            let more = matches!(step, Step::Tell(..));
            steps.push(step);
            if !more {
                break;
            }
        }
        steps
    }

    fn step(&mut self, now: Duration) -> Option<Step> {
        let (_, edit, until) = self.waiting.front()?;
        if self.busy {
            return None;
        }
        if now >= *until {
            return self.give_up();
        }
        if now < self.next {
            return None;
        }
        let Some((version, table)) = &self.base else {
            self.busy = true;
            self.reading = true;
            return Some(Step::Read);
        };
        let version = *version;
        if table.holds(&edit.id) {
            return self.tell(Answer::Accepted { version });
        }
        match table.apply(edit) {
            Ok(next) => {
                self.busy = true;
                Some(Step::Write(version, next))
            }
            Err(e) => self.tell(Answer::Refused {
                message: e.to_string(),
                conflict: e.is_conflict(),
            }),
        }
    }

    fn give_up(&mut self) -> Option<Step> {
        if self.unsure {
            return self.tell(Answer::Unknown);
        }
        self.tell(Answer::Refused {
            message: "the platform does not answer; send the edit again later".into(),
            conflict: false,
        })
    }

    fn tell(&mut self, answer: Answer) -> Option<Step> {
        let (ticket, edit, _) = self.waiting.pop_front()?;
        self.unsure = false;
        // Each edit starts from a reading of its own, so that a refusal is
        // never drawn from an old table.
        self.base = None;
        Some(Step::Tell(ticket, edit, answer))
    }
}

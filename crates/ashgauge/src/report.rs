//! Reports to operators on admission levels: what a level was computed from, and when it
//! changed.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::class::Class;
use crate::demand::Demands;
use crate::level;
use crate::pressure::Pressure;

/// Shortest time between two reports of changes. Close to its bound, a level may change
/// with each computation, 20 times a second.
const MIN_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Figures from which a level was computed.
#[derive(Clone, Debug, PartialEq)]
pub struct LevelInputs {
    /// Estimated demand in requests a second by class, the most urgent first.
    pub classes: Vec<(Class, f64)>,
    /// Requests a second that may start over all boxes; infinite if unlimited.
    pub allowed_rate: f64,
    /// Requests that complete each second at the present load.
    pub completion_rate: f64,
    /// Estimated present load of the engines.
    pub pressure: Pressure,
    /// Age of the information on other boxes.
    pub age: Duration,
    /// Number of other boxes that are included.
    pub boxes: usize,
}

impl LevelInputs {
    /// Creates the inputs of a level for these demands; `is_limited` tells that there is one
    /// already.
    ///
    /// # Example
    ///
    /// ```
    /// use ashgauge::pressure::Pressure;
    /// use ashgauge::report::LevelInputs;
    /// use std::time::Duration;
    ///
    /// let age = Duration::from_millis(100);
    /// let inputs = LevelInputs::new(&Vec::new(), Pressure::default(), 0.0, age, 0, false);
    /// assert_eq!(inputs.demand_rate(), 0.0);
    /// assert_eq!(inputs.allowed_rate, f64::INFINITY);
    /// ```
    pub fn new(
        demands: &Demands,
        pressure: Pressure,
        completion_rate: f64,
        age: Duration,
        boxes: usize,
        is_limited: bool,
    ) -> Self {
        let mut classes: BTreeMap<Class, f64> = BTreeMap::new();
        for (source, demand) in demands {
            *classes.entry(source.class).or_default() += demand.rate();
        }
        LevelInputs {
            classes: classes.into_iter().collect(),
            allowed_rate: level::allowed_rate(&pressure, completion_rate, is_limited),
            completion_rate,
            pressure,
            age,
            boxes,
        }
    }

    /// Returns the demand in requests a second over all classes.
    pub fn demand_rate(&self) -> f64 {
        self.classes.iter().map(|(_, rate)| rate).sum()
    }

    /// Returns the number of classes with demand that are more urgent than `class`.
    pub fn classes_before(&self, class: Class) -> usize {
        self.classes.iter().filter(|(c, _)| *c < class).count()
    }
}

/// Difference between a level and the one that was reported last.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LevelChange {
    /// A level was set; before, all classes were admitted.
    Started,
    /// Another class is now admitted in part.
    ClassChanged,
    /// All classes are admitted again. Holds the time for which there was a level.
    Ended(Duration),
}

/// Decides when a change of the level is reported.
#[derive(Debug, Default)]
pub struct ChangeReporter {
    /// Class of the level that was reported last.
    class: Option<Class>,
    /// Time of the last report.
    last_reported: Option<Duration>,
    /// Time at which the start of the present overload was reported.
    started: Duration,
}

impl ChangeReporter {
    /// Returns the change to report now, if there is one and the last report is old
    /// enough. A change that comes too early is reported by a later call if it still
    /// holds.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    /// use ashgauge::class::Class;
    /// use ashgauge::report::{LevelChange, ChangeReporter};
    ///
    /// let (mut reporter, class) = (ChangeReporter::default(), Class::default());
    /// let second = Duration::from_secs(1);
    /// assert_eq!(reporter.change(second, Some(class)), Some(LevelChange::Started));
    /// assert_eq!(reporter.change(second, None), None);
    /// assert_eq!(reporter.change(second * 2, None), Some(LevelChange::Ended(second)));
    /// ```
    pub fn change(&mut self, now: Duration, class: Option<Class>) -> Option<LevelChange> {
        let is_early = self
            .last_reported
            .is_some_and(|last| now < last + MIN_REPORT_INTERVAL);
        if class == self.class || is_early {
            return None;
        }
        let change = match (self.class, class) {
            (None, _) => LevelChange::Started,
            (Some(_), Some(_)) => LevelChange::ClassChanged,
            (Some(_), None) => LevelChange::Ended(now.saturating_sub(self.started)),
        };
        if change == LevelChange::Started {
            self.started = now;
        }
        self.class = class;
        self.last_reported = Some(now);
        Some(change)
    }
}

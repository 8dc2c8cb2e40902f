//! What operators are told of a level: what it was computed from, and when it changed.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::class::Class;
use crate::demand::Demands;
use crate::level;
use crate::pressure::Pressure;

/// Least time between two reports of changes. Near its bound a level may change with each
/// computation, 20 times a second.
const MIN_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// What a level was computed from.
#[derive(Clone, Debug, PartialEq)]
pub struct LevelInputs {
    /// Requests a second that are estimated to be asked for by class, the most urgent first.
    pub classes: Vec<(Class, f64)>,
    /// Requests a second that may begin over all boxes; infinite if nothing limits them.
    pub allowed_rate: f64,
    /// Requests a second that end as long as the engines are used as they are.
    pub completion_rate: f64,
    /// Use of the engines, as it is estimated to be now.
    pub pressure: Pressure,
    /// How old what is known of other boxes is.
    pub age: Duration,
    /// Other boxes that were heard.
    pub boxes: usize,
}

impl LevelInputs {
    /// The basis of a level for these demands.
    ///
    /// # Example
    ///
    /// ```
    /// use ashgauge::pressure::Pressure;
    /// use ashgauge::report::LevelInputs;
    /// use std::time::Duration;
    ///
    /// let age = Duration::from_millis(100);
    /// let basis = LevelInputs::new(&Vec::new(), Pressure::default(), 0.0, age, 0);
    /// assert_eq!(basis.demand_rate(), 0.0);
    /// assert_eq!(basis.allowed_rate, f64::INFINITY);
    /// ```
    pub fn new(
        demands: &Demands,
        pressure: Pressure,
        ends: f64,
        age: Duration,
        boxes: usize,
    ) -> Self {
        let mut classes: BTreeMap<Class, f64> = BTreeMap::new();
        for (source, demand) in demands {
            *classes.entry(source.class).or_default() += demand.rate();
        }
        LevelInputs {
            classes: classes.into_iter().collect(),
            allowed_rate: level::allowed_rate(&pressure, ends),
            completion_rate: ends,
            pressure,
            age,
            boxes,
        }
    }

    /// Requests a second that are asked for, over all classes.
    pub fn demand_rate(&self) -> f64 {
        self.classes.iter().map(|(_, rate)| rate).sum()
    }

    /// How many classes with demand are ahead of this one.
    pub fn classes_before(&self, class: Class) -> usize {
        self.classes.iter().filter(|(c, _)| *c < class).count()
    }
}

/// How a level differs from the one that was reported last.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LevelChange {
    /// All classes were admitted before.
    Started,
    /// Another class was the last to be admitted.
    ClassChanged,
    /// All classes are admitted again; the level lasted so long.
    Ended(Duration),
}

/// Decides when a change of a level is reported.
#[derive(Debug, Default)]
pub struct ChangeReporter {
    /// Class of the level that was reported last.
    class: Option<Class>,
    /// When that was.
    last_reported: Option<Duration>,
    /// When the first level of this overload was reported.
    started: Duration,
}

impl ChangeReporter {
    /// The change to report now, if there is one and the last report is old enough. A change
    /// that comes too early is reported by a later call if it still holds.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    /// use ashgauge::class::Class;
    /// use ashgauge::report::{LevelChange, ChangeReporter};
    ///
    /// let (mut report, class) = (ChangeReporter::default(), Class::default());
    /// let second = Duration::from_secs(1);
    /// assert_eq!(report.change(second, Some(class)), Some(LevelChange::Started));
    /// assert_eq!(report.change(second, None), None);
    /// assert_eq!(report.change(second * 2, None), Some(LevelChange::Ended(second)));
    /// ```
    pub fn change(&mut self, now: Duration, class: Option<Class>) -> Option<LevelChange> {
        let is_early = self
            .last_reported
            .is_some_and(|told| now < told + MIN_REPORT_INTERVAL);
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

//! Priority classes of requests, which decide who is served first under overload.

use serde::{Deserialize, Serialize};

/// Largest priority that engines accept; classes beyond it all get this value.
const MAX_PRIORITY: u32 = 8;

/// Priority class of a request.
///
/// Classes are ordered from the most urgent to the least: by the priority of the team,
/// then by that of the route. Within these, first attempts come before retries.
///
/// A retry is late already. If retries went first, a lasting overload would make each new
/// request late as well, since each refused request is retried.
///
/// # Example
///
/// ```
/// use ashgauge::class::Class;
///
/// let urgent = Class::new(Some(0), 2, false);
/// assert!(urgent < Class::new(Some(1), 0, false));
/// assert!(urgent < Class::new(Some(0), 2, true));
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Class {
    /// Priority of the team, or of the route if the team has none; 0 is the most urgent.
    pub team: u8,
    /// Priority of the route; 0 is the most urgent.
    pub route: u8,
    /// Whether the caller repeats an earlier request.
    #[serde(rename = "back")]
    pub is_retry: bool,
}

impl Class {
    /// Creates the class of a request, from the priorities of its team, if the team has
    /// one, and of its route.
    pub fn new(team: Option<u32>, route: u32, is_retry: bool) -> Self {
        let saturate = |priority: u32| u8::try_from(priority).unwrap_or(u8::MAX);
        Class {
            team: saturate(team.unwrap_or(route)),
            route: saturate(route),
            is_retry,
        }
    }
}

/// Priorities of the requests that compete for a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Priorities {
    /// Pairs of team and route priorities that may occur, the most urgent first.
    pairs: Vec<(u8, u8)>,
    /// Number of distinct priorities of the service's routes.
    route_priorities: usize,
}

impl Priorities {
    /// Creates the priorities of requests on these routes, made by these teams. `None`
    /// stands for teams without a priority and for requests without a team.
    pub fn new(teams: &[Option<u32>], routes: &[u32]) -> Self {
        let with_teams = |route: &u32| {
            let classes = teams.iter().map(|team| Class::new(*team, *route, false));
            classes.map(|c| (c.team, c.route)).collect::<Vec<_>>()
        };
        let mut pairs: Vec<_> = routes.iter().flat_map(with_teams).collect();
        pairs.sort_unstable();
        pairs.dedup();
        let mut routes = routes.to_vec();
        routes.sort_unstable();
        routes.dedup();
        Priorities {
            pairs,
            route_priorities: routes.len(),
        }
    }

    /// Returns whether the service's routes have different priorities, so that some
    /// requests are served before others.
    pub fn routes_differ(&self) -> bool {
        self.route_priorities > 1
    }

    /// Returns the priority of a class at the engines, from 1 to 8, the most urgent
    /// first. Value 0 is left for streams under way, so that these go before all new
    /// requests.
    ///
    /// # Example
    ///
    /// ```
    /// use ashgauge::class::{Class, Priorities};
    ///
    /// let priorities = Priorities::new(&[Some(0), Some(1)], &[0, 2]);
    /// assert!(priorities.routes_differ());
    /// assert_eq!(priorities.engine_priority(Class::new(Some(0), 2, false)), 2);
    /// assert_eq!(priorities.engine_priority(Class::new(Some(1), 0, false)), 3);
    /// ```
    pub fn engine_priority(&self, class: Class) -> u32 {
        let before = self
            .pairs
            .partition_point(|p| *p < (class.team, class.route));
        u32::try_from(before + 1)
            .unwrap_or(MAX_PRIORITY)
            .min(MAX_PRIORITY)
    }
}

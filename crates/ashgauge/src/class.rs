//! The order of requests where not all of them can be served in time.

use serde::{Deserialize, Serialize};

/// Largest order that an engine takes; past it all requests are alike.
const MAX_PRIORITY: u32 = 8;

/// The priority class of a request, the most urgent first: by its team, then by its
/// route; of the same ranks, first attempts go ahead.
///
/// One that comes back is late already. If it went first, an overload that lasts would
/// make each new request late as well, as each that is refused comes back.
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
    /// Rank of its team, or of its route if the team has none; 0 first.
    pub team: u8,
    /// Rank of its route, 0 first.
    pub route: u8,
    /// Whether its caller made it before.
    #[serde(rename = "back")]
    pub is_retry: bool,
}

impl Class {
    /// The class of a request of a team with a rank, or none, on a route.
    pub fn new(team: Option<u32>, route: u32, back: bool) -> Self {
        let narrow = |rank: u32| u8::try_from(rank).unwrap_or(u8::MAX);
        Class {
            team: narrow(team.unwrap_or(route)),
            route: narrow(route),
            is_retry: back,
        }
    }
}

/// The ranks that compete for a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ranks {
    /// Ranks of teams and routes that may come together, the most urgent first.
    pairs: Vec<(u8, u8)>,
    /// Distinct ranks of its routes.
    route_ranks: usize,
}

impl Ranks {
    /// The ranks of requests on these routes, of teams with these ranks; `None` stands
    /// for teams without one, or requests without a team.
    pub fn new(teams: &[Option<u32>], routes: &[u32]) -> Self {
        let both = |route: &u32| {
            let classes = teams.iter().map(|team| Class::new(*team, *route, false));
            classes.map(|c| (c.team, c.route)).collect::<Vec<_>>()
        };
        let mut pairs: Vec<_> = routes.iter().flat_map(both).collect();
        pairs.sort_unstable();
        pairs.dedup();
        let mut routes = routes.to_vec();
        routes.sort_unstable();
        routes.dedup();
        Ranks {
            pairs,
            route_ranks: routes.len(),
        }
    }

    /// Whether the operators ranked the service's routes differently, so that some
    /// requests are to be served before others.
    pub fn routes_differ(&self) -> bool {
        self.route_ranks > 1
    }

    /// The order of a class at the engines, from 1, so that streams that go on can go
    /// before the first.
    ///
    /// # Example
    ///
    /// ```
    /// use ashgauge::class::{Class, Ranks};
    ///
    /// let ranks = Ranks::new(&[Some(0), Some(1)], &[0, 2]);
    /// assert!(ranks.routes_differ());
    /// assert_eq!(ranks.priority(Class::new(Some(0), 2, false)), 2);
    /// assert_eq!(ranks.priority(Class::new(Some(1), 0, false)), 3);
    /// ```
    pub fn priority(&self, class: Class) -> u32 {
        let before = self
            .pairs
            .partition_point(|p| *p < (class.team, class.route));
        u32::try_from(before + 1)
            .unwrap_or(MAX_PRIORITY)
            .min(MAX_PRIORITY)
    }
}

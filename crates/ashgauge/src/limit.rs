//! Team limits that hold over the whole fleet.
//!
//! Each limited team has a home box, which grants slices of the team's rate to
//! the boxes that ask. A slice runs out by itself. The slices that have not
//! run out never sum to more than the limit, and a box that becomes home waits
//! one slice time before its first grant, until all that an earlier home
//! granted has run out.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::member::BoxId;
use crate::policy::TeamId;

/// How long a slice is valid, counted by its holder from before it asked.
pub const SLICE_TIME: Duration = Duration::from_secs(2);

/// Allowance on top of [`SLICE_TIME`] for clocks that run at other speeds.
const SLICE_MARGIN: Duration = Duration::from_millis(200);

/// Time of rate that an unused slice may save up.
const BURST_TIME: f64 = 0.25;

/// Smallest change of a slice, as a share of the limit.
const LEAST_SHARE: f64 = 0.001;

/// The granting side, for the teams this box is home to.
#[derive(Debug, Default)]
pub struct Home {
    teams: HashMap<TeamId, HomeTeam>,
}

#[derive(Debug)]
struct HomeTeam {
    opens: Duration,
    grants: HashMap<BoxId, Grant>,
}

/// Slices of one box: it may still use any that has not run out, since the
/// newer ones may be on their way or lost.
#[derive(Debug, Default)]
struct Grant {
    want: f64,
    slices: Vec<(f64, Duration)>,
}

impl Grant {
    /// The most that the box may be spending.
    fn rate(&self, now: Duration) -> f64 {
        let valid = self.slices.iter().filter(|(_, until)| *until > now);
        valid.map(|(rate, _)| *rate).fold(0.0, f64::max)
    }
}

impl Home {
    /// Grants a slice of `limit` to a box, in tokens a second.
    ///
    /// Returns `None` while an earlier home's slices may still be valid. A
    /// grant of 0 means that nothing is free now.
    pub fn grant(
        &mut self,
        now: Duration,
        team: &TeamId,
        limit: f64,
        asker: &BoxId,
        want: f64,
    ) -> Option<f64> {
        let entry = self.teams.entry(team.clone()).or_insert_with(|| HomeTeam {
            opens: now + SLICE_TIME + SLICE_MARGIN,
            grants: HashMap::new(),
        });
        if now < entry.opens {
            return None;
        }
        entry.expire(now);
        Some(entry.grant(now, limit, asker, want))
    }

    /// Sum of the slices of a team that have not run out.
    pub fn granted(&self, now: Duration, team: &str) -> f64 {
        let Some(entry) = self.teams.get(team) else {
            return 0.0;
        };
        entry.grants.values().map(|g| g.rate(now)).sum()
    }

    /// Forgets teams whose home is another box now.
    ///
    /// Should this box become home again, it waits like any new home.
    pub fn retain(&mut self, mut is_home: impl FnMut(&str) -> bool) {
        self.teams.retain(|team, _| is_home(team));
    }
}

impl HomeTeam {
    fn expire(&mut self, now: Duration) {
        for grant in self.grants.values_mut() {
            grant.slices.retain(|(_, until)| *until > now);
        }
        self.grants.retain(|_, g| !g.slices.is_empty());
    }

    fn grant(&mut self, now: Duration, limit: f64, asker: &BoxId, want: f64) -> f64 {
        let mine = self.grants.entry(asker.clone()).or_default();
        mine.want = want;
        let wanted: f64 = self.grants.values().map(|g| g.want).sum();
        let fair = if wanted > limit {
            limit * want / wanted
        } else {
            want + (limit - wanted) / self.grants.len() as f64
        };
        let others = self.grants.iter().filter(|(id, _)| *id != asker);
        let taken: f64 = others.map(|(_, g)| g.rate(now)).sum();
        let rate = fair.min(limit - taken).max(0.0);
        let rate = if rate < limit * LEAST_SHARE {
            0.0
        } else {
            rate
        };
        if let Some(mine) = self.grants.get_mut(asker) {
            mine.slices.push((rate, now + SLICE_TIME + SLICE_MARGIN));
        }
        rate
    }
}

/// The spending side, for the teams with requests on this box.
#[derive(Debug, Default)]
pub struct Slices {
    teams: BTreeMap<TeamId, Slice>,
}

#[derive(Debug)]
struct Slice {
    rate: f64,
    until: Duration,
    tokens: f64,
    at: Duration,
    demand: f64,
    since: Duration,
    asked: Option<Duration>,
}

impl Slices {
    /// Notes tokens that a team's new request would like to spend.
    pub fn demand(&mut self, now: Duration, team: &TeamId, tokens: f64) {
        self.entry(now, team).demand += tokens;
    }

    /// Returns true if the team's slice has room for a request now.
    ///
    /// One request may overdraw the slice; the next waits until that is paid.
    pub fn has_room(&mut self, now: Duration, team: &TeamId) -> bool {
        let s = self.entry(now, team);
        s.refill(now);
        now < s.until && s.tokens > 0.0
    }

    /// Takes tokens out of the slice; a negative number gives them back.
    pub fn spend(&mut self, now: Duration, team: &TeamId, tokens: f64) {
        let s = self.entry(now, team);
        s.refill(now);
        s.tokens -= tokens;
    }

    /// Time until the slice has room again, if it has a rate.
    pub fn wait(&mut self, now: Duration, team: &TeamId) -> Option<Duration> {
        let s = self.entry(now, team);
        s.refill(now);
        if now >= s.until || s.rate <= 0.0 {
            return None;
        }
        Some(Duration::from_secs_f64((-s.tokens).max(0.0) / s.rate))
    }

    /// Returns the rate to ask for, if it is time to ask.
    pub fn ask(&mut self, now: Duration, team: &TeamId) -> Option<f64> {
        let s = self.entry(now, team);
        let again = if now < s.until {
            SLICE_TIME / 2
        } else {
            SLICE_TIME / 20
        };
        if s.asked.is_some_and(|t| now < t + again) {
            return None;
        }
        let span = now.saturating_sub(s.since).as_secs_f64();
        let want = s.demand / span.max(0.5);
        if span > 1.0 {
            s.demand /= 2.0;
            s.since = now - now.saturating_sub(s.since) / 2;
        }
        s.asked = Some(now);
        Some(want)
    }

    /// Takes over a grant that was asked for at `asked`.
    pub fn granted(&mut self, now: Duration, team: &TeamId, rate: f64, asked: Duration) {
        let s = self.entry(now, team);
        s.refill(now);
        let fresh = s.until <= now;
        s.rate = rate;
        s.until = asked + SLICE_TIME;
        if fresh {
            s.tokens = s.tokens.min(0.0) + rate * BURST_TIME;
        }
    }

    /// Teams that this box has seen, for renewals.
    pub fn teams(&self) -> Vec<TeamId> {
        self.teams.keys().cloned().collect()
    }

    /// Forgets teams without demand whose slice has run out.
    pub fn forget(&mut self, now: Duration) {
        let idle = |s: &Slice| s.until + SLICE_TIME <= now && s.demand < 1.0;
        self.teams.retain(|_, s| !idle(s));
    }

    fn entry(&mut self, now: Duration, team: &TeamId) -> &mut Slice {
        self.teams.entry(team.clone()).or_insert(Slice {
            rate: 0.0,
            until: Duration::ZERO,
            tokens: 0.0,
            at: now,
            demand: 0.0,
            since: now,
            asked: None,
        })
    }
}

impl Slice {
    fn refill(&mut self, now: Duration) {
        let end = now.min(self.until);
        let span = end.saturating_sub(self.at).as_secs_f64();
        let most = self.rate * BURST_TIME;
        self.tokens = (self.tokens + self.rate * span).min(most.max(self.tokens));
        self.at = now;
    }
}

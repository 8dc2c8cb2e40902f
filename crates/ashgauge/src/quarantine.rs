//! Quarantine of requests that crash the upstreams that run them.
//!
//! The loss of a single upstream says little about the requests that it ran. A request during
//! which one upstream after another is lost is taken as the cause, and is quarantined. Its
//! caller may send it again to any box, so boxes report to each other which upstreams were
//! lost during which request. These are sets that only grow, so reports may be late, repeated
//! or out of order.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::crashing_part::{LostRun, PartLosses, SoundPart};
use crate::digest::Digest;
pub use crate::gossip::Audience;
use crate::gossip::Gossip;
pub use crate::loss_report::{
    InstanceKey, InstanceLoss, LossReport, PartReport, QuarantinedRequest, Reported,
};

/// Number of upstreams lost during a request after which it is quarantined, as the users
/// specified.
const LOSSES_TO_QUARANTINE: usize = 3;

/// Time from the start of a run, see [`is_safe_run`], after which the request counts as
/// harmless to its upstream. Requests that crash an upstream did so 3 to 96 ms after they began
/// to run; with a longer time, more losses are attributed to requests that only ran at the same
/// time.
const SAFE_RUN_TIME: Duration = Duration::from_millis(500);

/// How long a request is quarantined before it may run again, and how long a loss counts:
/// much longer than callers keep retrying and than operators need to investigate.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(3600);

/// Maximum number of requests whose losses are kept, at about 100 bytes each.
const MAX_SUSPECTS: usize = 4096;

/// Maximum number of quarantined requests, at about 30 bytes each.
const MAX_QUARANTINED: usize = 4096;

/// Maximum number of losses in one report, about 1 kB; the newest are reported.
const MAX_REPORT_LOSSES: usize = 128;

/// Maximum number of quarantined requests in one report, about 300 bytes.
const MAX_REPORT_QUARANTINED: usize = 32;

/// Maximum number of losses that are kept for reports.
const MAX_GOSSIP_LOSSES: usize = 1024;

/// Maximum number of instances that are remembered as explained by a crashing part.
const MAX_EXPLAINED: usize = 256;

/// The losses during one request.
#[derive(Clone, Debug)]
struct Suspect {
    instances: Vec<InstanceKey>,
    /// Time at which the last loss was recorded.
    last_loss: Duration,
}

/// Requests that may crash upstreams, and those quarantined for it.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use ashgauge::quarantine::{instance_key, InstanceLoss, Quarantine};
///
/// let now = Duration::from_secs(1);
/// let mut quarantine = Quarantine::default();
/// for engine in ["e1", "e2", "e3"] {
///     assert!(quarantine.time_left(now, 7).is_none());
///     let instance = instance_key(engine, None);
///     quarantine.record_loss(now, InstanceLoss { digest: 7, instance });
/// }
/// assert!(quarantine.time_left(now, 7).is_some());
/// ```
#[derive(Clone, Debug)]
pub struct Quarantine {
    suspects: HashMap<Digest, Suspect>,
    /// End of the quarantine of each request, and of each part of a prompt.
    quarantined: HashMap<Digest, Duration>,
    /// Losses that this box reports to others.
    gossip: Gossip<InstanceLoss>,
    /// Possible losses, one for each check of an upstream that is under way.
    checks: Vec<InstanceLoss>,
    /// Losses by the parts of prompts.
    parts: PartLosses,
    /// Instances whose loss a crashing part explains, the latest last. Other boxes go on to
    /// report what else ran on them.
    explained: VecDeque<InstanceKey>,
    /// Lost runs with their parts that this box reports to others.
    run_gossip: Gossip<LostRun>,
    /// Sound parts that this box reports to others.
    sound_gossip: Gossip<Digest>,
}

impl Default for Quarantine {
    fn default() -> Self {
        Quarantine {
            suspects: HashMap::new(),
            quarantined: HashMap::new(),
            gossip: Gossip::new(MAX_GOSSIP_LOSSES),
            checks: Vec::new(),
            parts: PartLosses::default(),
            explained: VecDeque::new(),
            run_gossip: Gossip::new(MAX_GOSSIP_LOSSES),
            sound_gossip: Gossip::new(MAX_GOSSIP_LOSSES),
        }
    }
}

/// Returns the key of an upstream instance: a hash of its id, and of its start time if it
/// announces one.
pub fn instance_key(id: &str, born: Option<u64>) -> InstanceKey {
    xxh3_64_with_seed(id.as_bytes(), born.unwrap_or_default()) as InstanceKey
}

/// Returns whether a run has shown that the request does not crash its upstream: it was known
/// to go on at `last`, and began by `start`, the time of its first event or at which its stages
/// were chosen.
pub fn is_safe_run(start: Duration, last: Duration) -> bool {
    last >= start + SAFE_RUN_TIME
}

impl Quarantine {
    /// Records a loss that this box saw; returns whether the request is now quarantined
    /// because of it.
    pub fn record_loss(&mut self, now: Duration, loss: InstanceLoss) -> bool {
        self.gossip.add(now, loss, Audience::All);
        self.add_loss(now, loss)
    }

    /// Records the start of a check of an upstream, on which a run of the request broke off.
    pub fn begin_check(&mut self, loss: InstanceLoss) {
        self.checks.push(loss);
    }

    /// Records the end of the check, whatever its result.
    pub fn end_check(&mut self, loss: InstanceLoss) {
        if let Some(at) = self.checks.iter().position(|check| *check == loss) {
            self.checks.swap_remove(at);
        }
    }

    /// Returns whether a request would be quarantined if all checks of its upstreams found
    /// them lost. It is not sent anywhere until the checks have ended: a process takes some
    /// time to end, and each send in the meantime may crash another upstream.
    ///
    /// # Example
    ///
    /// ```
    /// use ashgauge::quarantine::{instance_key, InstanceLoss, Quarantine};
    ///
    /// let instances = ["a", "b", "c"].map(|id| instance_key(id, None));
    /// let losses = instances.map(|instance| InstanceLoss { digest: 7, instance });
    /// let mut quarantine = Quarantine::default();
    /// losses.iter().for_each(|loss| quarantine.begin_check(*loss));
    /// assert!(quarantine.may_be_quarantined(7) && !quarantine.may_be_quarantined(8));
    /// quarantine.end_check(losses[0]);
    /// assert!(!quarantine.may_be_quarantined(7));
    /// ```
    pub fn may_be_quarantined(&self, digest: Digest) -> bool {
        let found = self.suspects.get(&digest);
        let mut instances = found.map_or_else(Vec::new, |s| s.instances.clone());
        for check in self.checks.iter().filter(|check| check.digest == digest) {
            if !instances.contains(&check.instance) {
                instances.push(check.instance);
            }
        }
        instances.len() >= LOSSES_TO_QUARANTINE
    }

    /// Forwards the losses of another box's report to boxes that do not get that report;
    /// returns whether there is something new to send.
    pub fn forward(&mut self, now: Duration, report: &LossReport, audience: Audience) -> bool {
        self.gossip.add_new(now, &report.losses, audience)
    }

    /// Merges the report of another box; returns the requests that are newly quarantined.
    pub fn merge(&mut self, now: Duration, report: &LossReport) -> Vec<Digest> {
        let mut new = Vec::new();
        for loss in &report.losses {
            if self.add_loss(now, *loss) {
                new.push(loss.digest);
            }
        }
        for request in &report.quarantined {
            let left = Duration::from_secs(request.left_s.into());
            if self.quarantine(now, request.digest, left) {
                new.push(request.digest);
            }
        }
        new
    }

    /// Quarantines a request for the time `left`; returns whether it was not quarantined before.
    ///
    /// Boxes report the time left, rounded down to whole seconds. So it never grows when it is
    /// passed between boxes, and each quarantine ends.
    pub fn quarantine(&mut self, now: Duration, digest: Digest, left: Duration) -> bool {
        let until = now + left.min(QUARANTINE_TIME);
        if until <= now {
            return false;
        }
        self.suspects.remove(&digest);
        self.remove_explained(digest);
        let is_new = self.time_left(now, digest).is_none();
        if is_new && self.quarantined.len() >= MAX_QUARANTINED {
            evict_min(&mut self.quarantined, |until| *until);
        }
        let known = self.quarantined.entry(digest).or_insert(until);
        *known = until.max(*known);
        is_new
    }

    /// Clears the losses of a request that an upstream has run without failing.
    pub fn clear_losses(&mut self, digest: Digest) {
        self.suspects.remove(&digest);
    }

    /// Records a run that this box saw during which its upstream was lost; returns the part of
    /// its prompt that is now quarantined because of it, if one is.
    pub fn record_lost_run(&mut self, now: Duration, run: &LostRun) -> Option<Digest> {
        let mut run = run.clone();
        run.parts.retain(|part| !self.parts.is_sound(now, *part));
        self.run_gossip.add(now, run.clone(), Audience::All);
        self.add_lost_run(now, &run);
        let part = self.parts.search_changed(now)?;
        self.quarantine(now, part, QUARANTINE_TIME).then_some(part)
    }

    /// Quarantines the part that the losses show to crash upstreams, if a search for it is due;
    /// returns that part.
    pub fn search_parts(&mut self, now: Duration) -> Option<Digest> {
        let part = self.parts.search_due(now)?;
        self.quarantine(now, part, QUARANTINE_TIME).then_some(part)
    }

    /// Returns the number of searches for crashing parts so far.
    pub fn searches(&self) -> u64 {
        self.parts.searches()
    }

    /// Records that an upstream has written an answer on these parts; returns those whose
    /// quarantine ends by it, and whether other boxes are to be told.
    pub fn note_sound(&mut self, now: Duration, parts: &[Digest]) -> (Vec<Digest>, bool) {
        let suspects = self.parts.note_sound(now, parts);
        let released = self.release(now, parts);
        let has_suspects = self.sound_gossip.add_new(now, &suspects, Audience::All);
        let has_released = self.sound_gossip.add_new(now, &released, Audience::All);
        (released, has_suspects || has_released)
    }

    /// Merges another box's report on parts; returns the part that is newly quarantined, if one
    /// is, and whether other boxes are to be told that some of its parts are known to be sound here.
    pub fn merge_parts(&mut self, now: Duration, report: &PartReport) -> (Option<Digest>, bool) {
        let sound = report.sound.iter().map(|sound| {
            let age = Duration::from_millis(sound.age_ms.into());
            (sound.part, now.saturating_sub(age))
        });
        let sound: HashMap<Digest, Duration> = sound.collect();
        self.parts.note_sound_parts(&sound);
        for (part, at) in &sound {
            self.release(*at, &[*part]);
        }
        let mut has_news = false;
        for run in &report.runs {
            has_news |= self.report_sound(now, &run.parts);
            self.add_lost_run(now, run);
        }
        (self.search_parts(now), has_news)
    }

    /// Reports those of the parts that are known to be sound here to other boxes; returns
    /// whether that is new.
    fn report_sound(&mut self, now: Duration, parts: &[Digest]) -> bool {
        let sound = parts.iter().copied();
        let sound = sound.filter(|part| self.parts.sound_at(now, *part).is_some());
        let sound: Vec<Digest> = sound.collect();
        self.sound_gossip.add_new(now, &sound, Audience::All)
    }

    /// Forwards another box's report on parts to boxes that do not get it; returns whether
    /// there is something new to send.
    pub fn forward_parts(&mut self, now: Duration, report: &PartReport, to: Audience) -> bool {
        let sound: Vec<Digest> = report.sound.iter().map(|sound| sound.part).collect();
        let has_runs = self.run_gossip.add_new(now, &report.runs, to);
        self.sound_gossip.add_new(now, &sound, to) || has_runs
    }

    /// Builds a report on parts for an audience.
    pub fn part_report(&self, now: Duration, audience: Audience) -> PartReport {
        self.part_report_since(now, Reported::default(), audience)
    }

    /// Builds a report on parts for an audience, without what was reported before.
    pub fn part_report_since(
        &self,
        now: Duration,
        since: Reported,
        audience: Audience,
    ) -> PartReport {
        let limit = MAX_REPORT_LOSSES;
        let sound = &self.sound_gossip;
        let sound = sound.added_since(now, since.sound, audience, limit);
        let sound = sound.into_iter().filter_map(|part| {
            let age = now.saturating_sub(self.parts.sound_at(now, part)?);
            let age_ms = age.as_millis().try_into().unwrap_or(u32::MAX);
            Some(SoundPart { part, age_ms })
        });
        PartReport {
            runs: self
                .run_gossip
                .added_since(now, since.runs, audience, limit),
            sound: sound.collect(),
        }
    }

    /// Returns whether upstreams were lost under one of these parts, without an answer on it
    /// since.
    pub fn has_suspect_part(&self, parts: &[Digest]) -> bool {
        parts.iter().any(|part| self.parts.is_suspect(*part))
    }

    fn add_lost_run(&mut self, now: Duration, run: &LostRun) {
        let is_explained = |part: &Digest| self.time_left(now, *part).is_some();
        if !run.parts.iter().any(is_explained) {
            self.parts.record(now, run);
        }
    }

    /// Ends the quarantines of parts that began before answers were written on them at `at`;
    /// returns these parts.
    fn release(&mut self, at: Duration, parts: &[Digest]) -> Vec<Digest> {
        let began_before = |part: &&Digest| {
            let until = self.quarantined.get(part);
            until.is_some_and(|until| *until <= at + QUARANTINE_TIME)
        };
        let released: Vec<Digest> = parts.iter().filter(began_before).copied().collect();
        released.iter().for_each(|part| {
            self.quarantined.remove(part);
        });
        released
    }

    /// Returns whether upstreams were lost during a request that is not quarantined.
    pub fn has_losses(&self, digest: Digest) -> bool {
        self.suspects.contains_key(&digest)
    }

    /// Returns the upstreams lost during a request that is not quarantined.
    pub fn losses(&self, digest: Digest) -> &[InstanceKey] {
        let suspect = self.suspects.get(&digest);
        suspect.map_or(&[], |s| &s.instances)
    }

    /// Returns the number of requests during which several upstreams were lost, and that are not
    /// quarantined.
    pub fn repeat_suspects(&self) -> usize {
        let suspects = self.suspects.values();
        suspects.filter(|s| s.instances.len() > 1).count()
    }

    /// Returns the remaining time of a request's quarantine, if it is quarantined.
    pub fn time_left(&self, now: Duration, digest: Digest) -> Option<Duration> {
        let until = self.quarantined.get(&digest)?;
        let left = until.saturating_sub(now);
        (!left.is_zero()).then_some(left)
    }

    /// Returns the quarantined requests and their remaining times, longest first.
    pub fn quarantined(&self, now: Duration) -> Vec<(Digest, Duration)> {
        let left = |(digest, until): (&Digest, &Duration)| (*digest, until.saturating_sub(now));
        let mut quarantined: Vec<_> = self.quarantined.iter().map(left).collect();
        quarantined.retain(|(_, left)| !left.is_zero());
        quarantined.sort_unstable_by_key(|(digest, left)| (std::cmp::Reverse(*left), *digest));
        quarantined
    }

    /// Returns the number of requests with losses that are not quarantined.
    pub fn suspect_count(&self) -> usize {
        self.suspects.len()
    }

    /// Returns what is reported once all items so far are.
    pub fn reported(&self) -> Reported {
        Reported {
            losses: self.gossip.added(),
            runs: self.run_gossip.added(),
            sound: self.sound_gossip.added(),
        }
    }

    /// Builds a report for an audience. If there are too many quarantined requests for one
    /// report, `turn` selects which of them it contains.
    pub fn report(&self, now: Duration, turn: u64, audience: Audience) -> LossReport {
        self.report_since(now, turn, Reported::default(), audience)
    }

    /// Same as [`Quarantine::report`], without the losses that were reported before.
    pub fn report_since(
        &self,
        now: Duration,
        turn: u64,
        since: Reported,
        audience: Audience,
    ) -> LossReport {
        let quarantined = self.quarantined(now);
        let skipped =
            (turn as usize).wrapping_mul(MAX_REPORT_QUARANTINED) % quarantined.len().max(1);
        let reported = quarantined.iter().cycle().skip(skipped);
        let reported = reported.take(quarantined.len().min(MAX_REPORT_QUARANTINED));
        LossReport {
            losses: self
                .gossip
                .added_since(now, since.losses, audience, MAX_REPORT_LOSSES),
            quarantined: reported.map(QuarantinedRequest::new).collect(),
        }
    }

    /// Takes the losses that a crashing part explains from the requests that ran beside.
    fn remove_explained(&mut self, part: Digest) {
        let explained = self.parts.explain(part);
        if explained.is_empty() {
            return;
        }
        self.suspects.retain(|_, suspect| {
            suspect.instances.retain(|i| !explained.contains(i));
            !suspect.instances.is_empty()
        });
        self.explained.extend(explained);
        let surplus = self.explained.len().saturating_sub(MAX_EXPLAINED);
        self.explained.drain(..surplus);
    }

    /// Adds a loss to those of its request; returns whether the request is now quarantined.
    fn add_loss(&mut self, now: Duration, loss: InstanceLoss) -> bool {
        if self.time_left(now, loss.digest).is_some() || self.explained.contains(&loss.instance) {
            return false;
        }
        if !self.suspects.contains_key(&loss.digest) && self.suspects.len() >= MAX_SUSPECTS {
            // The request with the fewest and oldest losses is the least suspect.
            evict_min(&mut self.suspects, |s| (s.instances.len(), s.last_loss));
        }
        let suspect = self.suspects.entry(loss.digest).or_insert(Suspect {
            instances: Vec::new(),
            last_loss: now,
        });
        if now >= suspect.last_loss + QUARANTINE_TIME {
            suspect.instances.clear();
        }
        if !suspect.instances.contains(&loss.instance) {
            suspect.instances.push(loss.instance);
            suspect.last_loss = now;
        }
        let instances = &suspect.instances;
        let is_cause = instances.len() >= LOSSES_TO_QUARANTINE
            && !self.parts.explains(now, loss.digest, instances);
        is_cause && self.quarantine(now, loss.digest, QUARANTINE_TIME)
    }
}

/// Removes the entry with the lowest rank.
fn evict_min<V, R: Ord>(entries: &mut HashMap<Digest, V>, rank: impl Fn(&V) -> R) {
    let least = entries.iter().min_by_key(|(digest, v)| (rank(v), **digest));
    if let Some(digest) = least.map(|(digest, _)| *digest) {
        entries.remove(&digest);
    }
}

//! Finds the part of a prompt under which upstreams are lost.
//!
//! Requests that share a part may crash every upstream that begins to write an answer, while
//! each of them is seen once only. When an upstream is lost, the requests whose runs had just
//! begun there and the parts of their prompts are suspects. A part is cleared by an answer that
//! was written on it, on any upstream. The part under which more upstreams were lost than under
//! any other suspect is the cause, and the losses that it explains are not laid to others.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::digest::Digest;
use crate::quarantine::InstanceKey;

/// Time from the first event of an answer after which it shows that the parts of its prompt are
/// sound: a crashing part ends an upstream as it begins to write.
pub const SOUND_RUN_TIME: Duration = Duration::from_millis(200);

/// Number of events up to which the loss of a run may be due to a part of its prompt.
pub const MAX_CRASHING_EVENTS: u64 = 1;

/// Number of lost upstreams from which on a part can be the cause.
const MIN_INSTANCES: usize = 3;

/// Number of different requests among these losses. A single request that crashes upstreams is
/// quarantined by itself.
const MIN_REQUESTS: usize = 2;

/// [`MIN_INSTANCES`] for a part on which answers had been written before the losses.
const MIN_INSTANCES_ONCE_SOUND: usize = 6;

/// [`MIN_REQUESTS`] for such a part.
const MIN_REQUESTS_ONCE_SOUND: usize = 3;

/// Time since the last answer on a part before which it cannot be the cause: while many upstreams
/// end, even a part that all prompts share may go without an answer for a moment.
const MIN_TIME_SINCE_SOUND: Duration = Duration::from_secs(10);

/// Number of losses one after the other, each of a run that began after the loss before:
/// upstreams that end at one moment may have a cause of their own.
const MIN_SEQUENCE: usize = 2;

/// Number of losses up to which each report with a new one is followed by a search for the cause
/// at once. The time of a search grows with their number.
const MAX_PROMPT_LOSSES: usize = 32;

/// Shortest time between two searches beside more losses.
const MIN_SEARCH_INTERVAL: Duration = Duration::from_millis(250);

/// Time after which the losses are searched again without a new one: an answer on a part excludes
/// it as the cause for some time only.
const SEARCH_AGAIN_INTERVAL: Duration = Duration::from_secs(1);

/// How long a loss counts.
const LOSS_TTL: Duration = Duration::from_secs(600);

/// How long it is remembered that an answer was written on a part.
const SOUND_TTL: Duration = Duration::from_secs(3600);

/// Maximum number of lost runs that are kept, at about 60 bytes each.
const MAX_RUNS: usize = 1024;

/// Maximum number of parts that are remembered as sound, at about 30 bytes each.
const MAX_SOUND: usize = 16_384;

/// Maximum number of parts of one run that are considered.
const MAX_RUN_PARTS: usize = 32;

/// A run of a request during which its upstream was lost.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LostRun {
    /// Digest of the request.
    pub digest: Digest,
    /// Instance of the upstream that was lost.
    pub instance: InstanceKey,
    /// Milliseconds from the start of the run to the loss.
    pub run_ms: u32,
    /// Digests of the parts of its prompt that other requests may share, in order.
    pub parts: Vec<Digest>,
}

/// A part on which an answer was written, as one box reports it to others.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SoundPart {
    /// Digest of the part.
    pub part: Digest,
    /// Time since the last answer, in milliseconds, from the time of the report.
    pub age_ms: u32,
}

/// A lost run, and when the loss was recorded.
#[derive(Clone, Debug)]
struct Loss {
    run: LostRun,
    at: Duration,
}

/// A possible cause of losses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Suspect {
    Part(Digest),
    Request(Digest),
}

/// Losses that a suspect may have caused.
#[derive(Default)]
struct Evidence<'a> {
    instances: HashSet<InstanceKey>,
    requests: HashSet<Digest>,
    losses: Vec<&'a Loss>,
    /// Last position of a part in the prompts.
    depth: usize,
}

/// Parts of prompts under which upstreams were lost, and parts that are sound.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use ashgauge::crashing_part::{LostRun, PartLosses};
///
/// let second = Duration::from_secs(1);
/// let mut losses = PartLosses::default();
/// for n in 0..3 {
///     let run = LostRun { digest: 100 + n, instance: n as u32, run_ms: 50, parts: vec![1, 2] };
///     losses.record(second * (2 + n as u32), &run);
/// }
/// assert_eq!(losses.find_crashing(second * 5), Some(2));
/// losses.note_sound(second * 5, &[2]);
/// assert_eq!(losses.find_crashing(second * 5), Some(1));
/// ```
#[derive(Clone, Debug, Default)]
pub struct PartLosses {
    losses: Vec<Loss>,
    /// When an answer was last written on a part.
    sound: HashMap<Digest, Duration>,
    /// Whether the losses have changed since the last search for the cause.
    has_changed: bool,
    /// Time of the last search.
    searched_at: Option<Duration>,
    searches: u64,
}

impl PartLosses {
    /// Records a run during which its upstream was lost, unless it is known.
    pub fn record(&mut self, now: Duration, run: &LostRun) {
        self.losses.retain(|loss| now < loss.at + LOSS_TTL);
        let is_same =
            |loss: &Loss| (loss.run.digest, loss.run.instance) == (run.digest, run.instance);
        if self.losses.iter().any(is_same) {
            return;
        }
        if self.losses.len() >= MAX_RUNS {
            self.losses.remove(0);
        }
        let mut run = run.clone();
        run.parts.truncate(MAX_RUN_PARTS);
        self.losses.push(Loss { run, at: now });
        self.has_changed = true;
    }

    /// Records that an answer was written on these parts at `at`, so that none of them crashes
    /// each upstream; returns those under which upstreams had been lost by then.
    pub fn note_sound(&mut self, at: Duration, parts: &[Digest]) -> Vec<Digest> {
        let sound: HashMap<Digest, Duration> = parts.iter().map(|part| (*part, at)).collect();
        self.note_sound_parts(&sound)
    }

    /// The same for parts on which answers were written at different times.
    pub fn note_sound_parts(&mut self, sound: &HashMap<Digest, Duration>) -> Vec<Digest> {
        for (part, at) in sound {
            if self.sound.len() >= MAX_SOUND && !self.sound.contains_key(part) {
                self.evict_sound(*at);
            }
            let last = self.sound.entry(*part).or_insert(*at);
            *last = (*at).max(*last);
        }
        let mut cleared = Vec::new();
        for loss in &mut self.losses {
            let lost_at = loss.at;
            loss.run.parts.retain(|part| {
                let is_sound = sound.get(part).is_some_and(|at| lost_at <= *at);
                if is_sound {
                    cleared.push(*part);
                }
                !is_sound
            });
        }
        cleared.sort_unstable();
        cleared.dedup();
        self.has_changed |= !cleared.is_empty();
        cleared
    }

    /// Searches the losses for a crashing part, see [`PartLosses::find_crashing`], if they have
    /// changed since the last search.
    pub fn search_changed(&mut self, now: Duration) -> Option<Digest> {
        if !self.has_changed || self.losses.is_empty() {
            return None;
        }
        self.searched_at = Some(now);
        self.has_changed = false;
        self.searches += 1;
        self.find_crashing(now)
    }

    /// Does so, but not too often beside many losses, and after some time also if they have not
    /// changed. Boxes report each loss for some seconds, so most reports change nothing.
    pub fn search_due(&mut self, now: Duration) -> Option<Digest> {
        let age = self.searched_at.map(|at| now.saturating_sub(at));
        let min_age = match self.losses.len() <= MAX_PROMPT_LOSSES {
            true => Duration::ZERO,
            false => MIN_SEARCH_INTERVAL,
        };
        if age.is_some_and(|age| age < min_age) {
            return None;
        }
        self.has_changed |= age.is_none_or(|age| age >= SEARCH_AGAIN_INTERVAL);
        self.search_changed(now)
    }

    /// Returns the number of searches so far.
    pub fn searches(&self) -> u64 {
        self.searches
    }

    /// Returns when an answer was last written on a part, if that is remembered.
    pub fn sound_at(&self, now: Duration, part: Digest) -> Option<Duration> {
        let at = self.sound.get(&part).copied();
        at.filter(|at| now < *at + SOUND_TTL)
    }

    /// Returns whether upstreams were lost under a part since an answer was last written on it.
    pub fn is_suspect(&self, part: Digest) -> bool {
        self.losses
            .iter()
            .any(|loss| loss.run.parts.contains(&part))
    }

    /// Returns the part that crashes upstreams, if the losses show one. Losses count for a part
    /// unless a suspect explains them better; of parts that were always there together, the
    /// last in the prompt is taken.
    pub fn find_crashing(&self, now: Duration) -> Option<Digest> {
        let mut suspects = self.evidence();
        // A suspect with fewer losses is neither the cause nor a better explanation of others.
        suspects.retain(|suspect, evidence| match suspect {
            _ if evidence.instances.len() < MIN_INSTANCES => false,
            Suspect::Part(part) => !self.is_sound(now, *part),
            Suspect::Request(_) => true,
        });
        let ranked = suspects.iter().filter_map(|(suspect, evidence)| {
            let Suspect::Part(part) = *suspect else {
                return None;
            };
            let was_sound = self.sound.contains_key(&part);
            if !evidence.may_suffice(was_sound) {
                return None;
            }
            let count = evidence.count_own(*suspect, &suspects);
            (count >= min_instances(was_sound)).then_some((count, evidence.depth, part))
        });
        ranked.max().map(|(_, _, part)| part)
    }

    /// Returns whether an answer was written on a part a moment ago, so that it cannot be the
    /// cause.
    pub fn is_sound(&self, now: Duration, part: Digest) -> bool {
        let at = self.sound.get(&part);
        at.is_some_and(|at| now < *at + MIN_TIME_SINCE_SOUND)
    }

    /// Returns whether a part explains the losses of these instances during a request that does
    /// not have it: on each of them, another request with that part was lost as well.
    pub fn explains(&self, now: Duration, digest: Digest, instances: &[InstanceKey]) -> bool {
        let own = self.losses.iter().filter(|loss| loss.run.digest == digest);
        let own: HashSet<Digest> = own
            .flat_map(|loss| loss.run.parts.iter().copied())
            .collect();
        let mut explained: HashMap<Digest, HashSet<InstanceKey>> = HashMap::new();
        for loss in self.losses.iter().filter(|loss| loss.run.digest != digest) {
            for part in loss.run.parts.iter().filter(|part| !own.contains(part)) {
                let lost = explained.entry(*part).or_default();
                lost.insert(loss.run.instance);
            }
        }
        let is_cause = |(part, lost): (&Digest, &HashSet<InstanceKey>)| {
            !self.is_sound(now, *part) && instances.iter().all(|i| lost.contains(i))
        };
        explained.iter().any(is_cause)
    }

    /// Removes the losses that a crashing part explains: all those of the instances that were
    /// lost under it. Returns these instances.
    pub fn explain(&mut self, part: Digest) -> HashSet<InstanceKey> {
        let explained = self
            .losses
            .iter()
            .filter(|loss| loss.run.parts.contains(&part));
        let explained: HashSet<InstanceKey> = explained.map(|loss| loss.run.instance).collect();
        self.losses
            .retain(|loss| !explained.contains(&loss.run.instance));
        self.has_changed = true;
        explained
    }

    /// Collects the losses of each suspect.
    fn evidence(&self) -> HashMap<Suspect, Evidence<'_>> {
        let mut suspects: HashMap<Suspect, Evidence> = HashMap::new();
        for loss in &self.losses {
            let request = Suspect::Request(loss.run.digest);
            suspects.entry(request).or_default().add(loss, 0);
            for (depth, part) in loss.run.parts.iter().enumerate() {
                let part = Suspect::Part(*part);
                suspects.entry(part).or_default().add(loss, depth);
            }
        }
        suspects
    }

    /// Removes a tenth of the parts that are remembered as sound, the oldest first.
    fn evict_sound(&mut self, now: Duration) {
        self.sound.retain(|_, at| now < *at + SOUND_TTL);
        let mut times: Vec<Duration> = self.sound.values().copied().collect();
        times.sort_unstable();
        if let Some(limit) = times
            .get(MAX_SOUND / 10)
            .filter(|_| times.len() >= MAX_SOUND)
        {
            self.sound.retain(|_, at| *at > *limit);
        }
    }
}

/// Number of lost upstreams from which on a part can be the cause.
fn min_instances(was_sound: bool) -> usize {
    match was_sound {
        true => MIN_INSTANCES_ONCE_SOUND,
        false => MIN_INSTANCES,
    }
}

impl<'a> Evidence<'a> {
    fn add(&mut self, loss: &'a Loss, depth: usize) {
        self.instances.insert(loss.run.instance);
        self.requests.insert(loss.run.digest);
        self.losses.push(loss);
        self.depth = self.depth.max(depth);
    }

    /// Whether another part was there in each of these losses, so that they do not tell the two
    /// apart.
    fn always_with(&self, suspect: &Suspect) -> bool {
        match suspect {
            Suspect::Part(part) => self.losses.iter().all(|l| l.run.parts.contains(part)),
            Suspect::Request(_) => false,
        }
    }

    /// Whether there are enough losses for the part to be the cause.
    fn may_suffice(&self, was_sound: bool) -> bool {
        let requests = match was_sound {
            true => MIN_REQUESTS_ONCE_SOUND,
            false => MIN_REQUESTS,
        };
        self.instances.len() >= min_instances(was_sound)
            && self.requests.len() >= requests
            && self.sequence() >= MIN_SEQUENCE
    }

    /// Number of lost upstreams that no other suspect explains better.
    fn count_own(&self, suspect: Suspect, all: &HashMap<Suspect, Evidence>) -> usize {
        let others = all.iter().filter(|(other, _)| **other != suspect);
        let rivals = others.filter(|(_, evidence)| self.is_rivalled_by(evidence));
        let rivals: Vec<&Evidence> = rivals
            .filter(|(other, _)| !self.always_with(other))
            .map(|(_, evidence)| evidence)
            .collect();
        let own = self.instances.iter();
        let own = own.filter(|i| !rivals.iter().any(|rival| rival.instances.contains(i)));
        own.count()
    }

    /// Whether another suspect explains the losses that they share at least as well: more
    /// upstreams were lost under it, or as many and it explains all of these.
    fn is_rivalled_by(&self, other: &Evidence) -> bool {
        let (own, theirs) = (self.instances.len(), other.instances.len());
        theirs > own || theirs == own && self.instances.is_subset(&other.instances)
    }

    /// Number of losses one after the other, each of a run that began after the loss before.
    fn sequence(&self) -> usize {
        let span = |loss: &&Loss| {
            let run_time = Duration::from_millis(loss.run.run_ms.into());
            (loss.at, loss.at.saturating_sub(run_time))
        };
        let mut spans: Vec<(Duration, Duration)> = self.losses.iter().map(span).collect();
        spans.sort_unstable();
        let mut count = 0;
        let mut last = Duration::ZERO;
        for (at, began) in spans {
            if began >= last {
                count += 1;
                last = at;
            }
        }
        count
    }
}

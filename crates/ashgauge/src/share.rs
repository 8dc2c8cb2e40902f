//! What boxes tell each other of the load that they put on upstreams.
//!
//! A box knows its own requests; what an upstream has to bear is the sum over
//! all boxes. Each box tells its part every fraction of a second, so the sum is
//! known but for what changed since. A word that was lost is made good by the
//! next one, and of a box that falls silent the last word counts for some
//! seconds.
//!
//! In a large fleet boxes tell a hub, and hubs tell each other and their boxes sums
//! ([`crate::hub`]).

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::demand::Flows;
use crate::ident::BoxId;
pub use crate::ident::{UpstreamKey, key};
use crate::permit::Told;

/// Least time that a box's last word counts. Its streams end with it if it
/// died, and go on if it is only cut off from this one; words may be lost.
const KEEP_LEAST: Duration = Duration::from_secs(2);

/// Upstreams in one word at most, those with most on them: what a datagram holds.
const USES_MOST: usize = 4000;

/// Words of a box that may be lost before it counts as silent.
const LOST_MOST: u32 = 3;

/// Time for which boxes that fell silent are taken to go on as the others: with what was
/// heard of them, as long as a cut mostly lasts.
const ABSENT_TIME: Duration = Duration::from_secs(3);

/// Least time between two words: a small part of a request's time.
const TELL_LEAST: Duration = Duration::from_millis(100);

/// Time between two words for each box of the own data centre: bounds what a
/// box sends there to 250 datagrams a second in a fleet of any size.
const TELL_NEAR: Duration = Duration::from_millis(4);

/// The same for the fleet, as which boxes elsewhere are told: bytes between data
/// centres are dear, and boxes there use these engines less.
const TELL_FAR: Duration = Duration::from_millis(15);

/// Longest time between two words that tell suspects: boxes find them out by
/// their own requests in a second or two.
const SUSPECTS_TIME: Duration = Duration::from_millis(350);

/// What one box, or all of them, have on an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Use {
    /// Requests that it works on.
    pub requests: u32,
    /// Those of them that were sent to it by a box.
    pub leads: u32,
    /// Memory that they hold there, in tokens times layers.
    pub tokens: u32,
    /// Milliseconds for which it has prompts to read.
    pub reading: u32,
}

/// Whose use of which upstreams a word tells.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Scope {
    /// That of its box, and of those that tell this box alone.
    #[default]
    Own,
    /// That of all boxes but the one that is told, of upstreams in its data centre.
    Near,
    /// The same of a part of the other upstreams, as one datagram may not hold all.
    Far(u8),
}

/// What a box tells: its part of every upstream's load, or a sum of several parts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Word {
    /// The box that tells.
    pub from: BoxId,
    /// Start of its process, so that numbers may begin anew.
    pub boot: u64,
    /// Counts its words.
    pub number: u64,
    /// Whose use of what it tells.
    pub scope: Scope,
    /// Boxes for which it tells.
    pub boxes: u32,
    /// Upstreams that it uses.
    pub uses: Uses,
    /// Upstreams that it found to be lost; only in words that are told often.
    pub suspects: Vec<UpstreamKey>,
    /// Limits that upstreams named.
    pub limits: Vec<Told>,
    /// What callers ask for, and what ends.
    pub flows: Flows,
    /// Engines that told it that they are slow; only in words that are told often.
    pub slow: Slow,
}

/// Engines that say that they are slow, with the factor on their time in tenths, ordered
/// by their keys.
pub type Slow = Vec<(UpstreamKey, u16)>;

/// Uses of upstreams, ordered by their keys.
pub type Uses = Vec<(UpstreamKey, Use)>;

/// What some boxes have together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sum {
    /// How many boxes.
    pub boxes: u32,
    /// What they have on each upstream that they use.
    pub uses: Uses,
    /// Upstreams that they found to be lost.
    pub suspects: Vec<UpstreamKey>,
    /// What their callers ask for, and what ends.
    pub flows: Flows,
    /// Engines that told them that they are slow.
    pub slow: Slow,
}

/// What was heard from the other boxes.
#[derive(Debug, Default)]
pub struct Shares {
    heard: HashMap<(BoxId, Scope), Heard>,
    sums: HashMap<UpstreamKey, Total>,
    /// Most boxes that were heard lately, and when so many were heard last.
    most: (usize, Duration),
}

#[derive(Debug)]
struct Heard {
    boot: u64,
    number: u64,
    at: Duration,
    boxes: u32,
    uses: Uses,
    suspects: Vec<UpstreamKey>,
    flows: Flows,
    slow: Slow,
}

/// Whether words that are told after this time tell suspects.
pub fn tells_suspects(time: Duration) -> bool {
    time <= SUSPECTS_TIME
}

/// Times between two words to the own data centre, with so many `near` boxes,
/// and to those elsewhere, in a fleet with so many `others`.
///
/// # Example
///
/// ```
/// use ashgauge::share::tell_times;
/// use std::time::Duration;
///
/// let (near, far) = tell_times(1, 5);
/// assert_eq!((near, far), (Duration::from_millis(100), Duration::from_millis(100)));
/// ```
pub fn tell_times(near: usize, others: usize) -> (Duration, Duration) {
    let each = |time: Duration, boxes: usize| {
        let time = time.saturating_mul(boxes.try_into().unwrap_or(u32::MAX));
        time.max(TELL_LEAST)
    };
    (each(TELL_NEAR, near), each(TELL_FAR, others))
}

impl Shares {
    /// Takes a word in; returns false if a later one was heard before.
    pub fn hear(&mut self, now: Duration, word: Word) -> bool {
        let source = (word.from, word.scope);
        let known = self.heard.get(&source);
        let is_late = known.is_some_and(|k| k.boot == word.boot && k.number >= word.number);
        if is_late {
            return false;
        }
        self.forget_counted(&source);
        for (key, more) in &word.uses {
            self.sums.entry(*key).or_default().add(more);
        }
        let heard = Heard {
            boot: word.boot,
            number: word.number,
            at: now,
            boxes: word.boxes,
            uses: word.uses,
            suspects: word.suspects,
            flows: word.flows.bounded(word.boxes),
            slow: word.slow,
        };
        self.heard.insert(source, heard);
        true
    }

    /// Forgets what the next word from this source counts as well: its last one, and
    /// sums that hold each other.
    fn forget_counted(&mut self, source: &(BoxId, Scope)) {
        let (from, scope) = source;
        let counts = |(other, theirs): &(BoxId, Scope)| match (scope, theirs) {
            (Scope::Own, _) => other == from,
            (_, Scope::Own) => other == from,
            (_, _) => theirs == scope,
        };
        self.forget_where(|source, _| counts(source));
    }

    /// Forgets boxes that fell silent, where words come in each `lag`.
    pub fn expire(&mut self, now: Duration, lag: Duration) {
        let kept = KEEP_LEAST.max(lag * LOST_MOST);
        self.forget_where(|_, heard| now >= heard.at + kept);
        let heard = self.boxes();
        if heard >= self.most.0 || now >= self.most.1 + ABSENT_TIME {
            self.most = (heard, now);
        }
    }

    /// What all other boxes have on an upstream.
    pub fn others(&self, id: &str) -> Use {
        self.sums.get(&key(id)).map(Total::used).unwrap_or_default()
    }

    /// Boxes of which something was heard a short while ago.
    pub fn boxes(&self) -> usize {
        self.counted().map(|heard| heard.boxes as usize).sum()
    }

    /// Boxes that are taken to be there, this one included, of so many that are listed:
    /// of those that fell silent some may only be cut off, so they count for some seconds
    /// more. Before any word all that are listed count.
    pub fn present(&self, listed: f64) -> f64 {
        match self.most {
            (0, _) => listed,
            (most, _) => listed.min(most as f64 + 1.0),
        }
    }

    /// What the callers of this box, which are `own`, and of all others ask for, and what
    /// ends.
    pub fn flows(&self, own: &Flows) -> Flows {
        let others = self.counted().map(|heard| &heard.flows);
        Flows::sum(std::iter::once(own).chain(others))
    }

    /// What counts each other box once.
    fn counted(&self) -> impl Iterator<Item = &Heard> {
        let counted = self.heard.iter();
        let counted = counted.filter(|((_, scope), _)| !matches!(scope, Scope::Far(_)));
        counted.map(|(_, heard)| heard)
    }

    /// Boxes that tell this one what they have themselves.
    pub fn senders(&self) -> impl Iterator<Item = &BoxId> {
        let own = self.heard.keys().filter(|(_, scope)| *scope == Scope::Own);
        own.map(|(from, _)| from)
    }

    /// Whether a box told what it has a short while ago.
    pub fn hears(&self, id: &BoxId) -> bool {
        self.heard.contains_key(&(id.clone(), Scope::Own))
    }

    /// What this box, with `own`, and those that tell it have together, without the
    /// boxes that are left out.
    pub fn below(&self, own: Sum, is_left_out: impl Fn(&str) -> bool) -> Sum {
        let counts = |(from, scope): &(BoxId, Scope)| *scope == Scope::Own && !is_left_out(from);
        let heard = self.heard.iter().filter(|(source, _)| counts(source));
        add_all(own, heard.map(|(_, heard)| heard))
    }

    /// What this box, with `own`, and all others have together, as far as it knows.
    pub fn all(&self, own: Sum) -> Sum {
        add_all(own, self.heard.values())
    }

    /// A sum without what a box told last.
    pub fn without(&self, sum: &Sum, from: &BoxId) -> Sum {
        let mut rest = sum.clone();
        let Some(told) = self.heard.get(&(from.clone(), Scope::Own)) else {
            return rest;
        };
        rest.boxes = rest.boxes.saturating_sub(told.boxes);
        rest.flows = rest.flows.without(&told.flows);
        for (key, less) in &told.uses {
            if let Ok(at) = rest.uses.binary_search_by_key(key, |(key, _)| *key) {
                rest.uses[at].1.take(less);
            }
        }
        rest.uses.retain(|(_, used)| *used != Use::default());
        rest
    }

    fn forget_where(&mut self, is_old: impl Fn(&(BoxId, Scope), &Heard) -> bool) {
        let mut emptied = false;
        for (_, old) in self.heard.extract_if(|source, heard| is_old(source, heard)) {
            for (key, less) in &old.uses {
                if let Some(sum) = self.sums.get_mut(key) {
                    sum.take(less);
                    emptied |= *sum == Total::default();
                }
            }
        }
        if emptied {
            self.sums.retain(|_, sum| *sum != Total::default());
        }
    }
}

/// Adds what was heard to what a box has itself.
fn add_all<'a>(own: Sum, heard: impl Iterator<Item = &'a Heard>) -> Sum {
    let mut boxes = own.boxes;
    let mut sums: BTreeMap<UpstreamKey, Use> = own.uses.iter().copied().collect();
    let mut suspects: BTreeSet<UpstreamKey> = own.suspects.iter().copied().collect();
    let mut flows = vec![&own.flows];
    let mut slow: BTreeMap<UpstreamKey, u16> = own.slow.into_iter().collect();
    for heard in heard {
        flows.push(&heard.flows);
        for (key, factor) in &heard.slow {
            let known = slow.entry(*key).or_default();
            *known = (*known).max(*factor);
        }
        boxes = boxes.saturating_add(heard.boxes);
        suspects.extend(&heard.suspects);
        for (key, more) in &heard.uses {
            sums.entry(*key).or_default().add(more);
        }
    }
    Sum {
        boxes,
        uses: sums.into_iter().collect(),
        suspects: suspects.into_iter().collect(),
        flows: Flows::sum(flows.into_iter()),
        slow: slow.into_iter().collect(),
    }
}

impl Sum {
    /// The part of it on some of the upstreams.
    pub fn only(&self, is_told: impl Fn(UpstreamKey) -> bool) -> Self {
        let uses = self.uses.iter().filter(|(key, _)| is_told(*key));
        Sum {
            uses: uses.copied().collect(),
            ..self.clone()
        }
    }

    /// The part that a datagram holds: the upstreams with most on them.
    pub fn fit(mut self) -> Self {
        self.flows = self.flows.fit();
        if self.uses.len() > USES_MOST {
            self.uses
                .select_nth_unstable_by_key(USES_MOST, |(_, used)| Reverse(used.tokens));
            self.uses.truncate(USES_MOST);
            self.uses.sort_unstable_by_key(|(key, _)| *key);
        }
        self
    }
}

/// A sum of uses. It is wider than its parts: what one box tells is taken out again when
/// its next word comes, and a sum that had overflowed would lack what the others told.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Total {
    requests: u64,
    leads: u64,
    tokens: u64,
    reading: u64,
}

impl Total {
    fn add(&mut self, more: &Use) {
        self.requests += u64::from(more.requests);
        self.leads += u64::from(more.leads);
        self.tokens += u64::from(more.tokens);
        self.reading += u64::from(more.reading);
    }

    fn take(&mut self, less: &Use) {
        self.requests = self.requests.saturating_sub(less.requests.into());
        self.leads = self.leads.saturating_sub(less.leads.into());
        self.tokens = self.tokens.saturating_sub(less.tokens.into());
        self.reading = self.reading.saturating_sub(less.reading.into());
    }

    fn used(&self) -> Use {
        let bounded = |sum: u64| u32::try_from(sum).unwrap_or(u32::MAX);
        Use {
            requests: bounded(self.requests),
            leads: bounded(self.leads),
            tokens: bounded(self.tokens),
            reading: bounded(self.reading),
        }
    }
}

impl Use {
    /// Adds another part of the load.
    pub fn add(&mut self, more: &Use) {
        self.requests = self.requests.saturating_add(more.requests);
        self.leads = self.leads.saturating_add(more.leads);
        self.tokens = self.tokens.saturating_add(more.tokens);
        self.reading = self.reading.saturating_add(more.reading);
    }

    fn take(&mut self, less: &Use) {
        self.requests = self.requests.saturating_sub(less.requests);
        self.leads = self.leads.saturating_sub(less.leads);
        self.tokens = self.tokens.saturating_sub(less.tokens);
        self.reading = self.reading.saturating_sub(less.reading);
    }
}

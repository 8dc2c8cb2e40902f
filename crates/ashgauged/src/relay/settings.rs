//! Settings of a box that hands requests on whole.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use ashgauge::class::Priorities;
use ashgauge::poller::PollTiming;
use ashgauge::retry::Allowance;
use eyre::{Result, WrapErr, bail, eyre};
use serde::Deserialize;
use serde_json::Value;

/// All settings. Times end in `_ms`. Unknown fields are errors, so that a
/// misspelt one is not taken for its default.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the box, unique in the fleet.
    pub id: String,
    /// Its data centre.
    pub data_centre: String,
    /// Address for callers.
    pub caller: String,
    /// Address on which the balancer asks whether the box is ready.
    pub ready: String,
    /// Address for metrics, if they are wanted.
    #[serde(default)]
    pub metrics: Option<String>,
    /// Address on which boxes tell each other their loads, by UDP; without it
    /// each goes by its own.
    #[serde(default)]
    pub peer: Option<String>,
    /// Address of the platform's store.
    pub store: String,
    /// Whether the whole fleet starts for the first time, so that boxes find
    /// each other before a few of them read the store for all.
    #[serde(default)]
    pub fresh_fleet: bool,
    /// Boxes that read the store for the others; by the size of the fleet if it
    /// is not given.
    #[serde(default)]
    pub readers: Option<usize>,
    /// What the box's link carries, in Mbit/s: boxes with fast links read for the
    /// others first.
    #[serde(default)]
    pub link_mbps: Option<f64>,
    /// Whether every box reads the store for itself.
    #[serde(default)]
    pub each_reads: bool,
    /// Services whose streams are refused by their priority class under overload.
    #[serde(default)]
    pub shedding: Shedding,
    /// Bounds that the operators set.
    #[serde(default)]
    pub bounds: Bounds,
    /// Log level: error, warn, info or debug.
    #[serde(default = "default_log")]
    pub log: String,
    /// Times that are the box's own choice.
    #[serde(default)]
    pub timing: Timing,
}

/// Services whose streams are refused by their priority class where callers ask for more
/// than engines can do in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(try_from = "Value")]
pub enum Shedding {
    /// Those to which routes of several ranks lead.
    #[default]
    Ranked,
    /// All.
    All,
    /// None.
    Off,
}

impl TryFrom<Value> for Shedding {
    type Error = String;

    /// Reads the setting; an error names it, which that of a derived reader does not.
    fn try_from(value: Value) -> Result<Self, String> {
        match value.as_str() {
            Some("ranked") => Ok(Shedding::Ranked),
            Some("all") => Ok(Shedding::All),
            Some("off") => Ok(Shedding::Off),
            _ => Err(format!(
                "shedding: {value} is unknown; use `ranked`, `all` or `off`"
            )),
        }
    }
}

/// Bounds that the operators set for the whole fleet. They may be fractions.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// Whether a withdrawn key may not be used past `revoke_ms` even by a box
    /// that cannot know.
    pub strict_keys: bool,
    /// Longest use of a key after it was withdrawn.
    pub revoke_ms: f64,
    /// Time within which boxes must know that an upstream is leaving.
    pub drain_ms: f64,
    /// Time within which a configuration must be in force.
    pub apply_ms: f64,
    /// Time from the signal to stop until the process is killed.
    pub stop_s: f64,
    /// Retries for each first try of a service, over the fleet.
    pub retry_share: f64,
    /// Retries besides, over the fleet.
    pub retry_extra: f64,
    /// Window in which retries are counted.
    pub retry_window_s: f64,
}

impl Default for Bounds {
    /// What holds where the operators set nothing: the stricter of what today's
    /// users set.
    fn default() -> Self {
        Bounds {
            strict_keys: true,
            revoke_ms: 5000.0,
            drain_ms: 2000.0,
            apply_ms: 2000.0,
            stop_s: 8.0,
            retry_share: 0.1,
            retry_extra: 50.0,
            retry_window_s: 10.0,
        }
    }
}

/// Times that are the box's own choice.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Timing {
    /// For an answer of the store; it takes 4 ms when it is well.
    pub store_ms: u64,
    /// How long the store may hold a watch that has no news.
    pub watch_ms: u64,
    /// Between two proofs that the configuration in force is known, where every
    /// box asks the store for them.
    pub confirm_ms: u64,
    /// The same where few ask for all: the others hear of it later.
    pub reader_ms: u64,
    /// Between two questions of a box to one that reads.
    pub ask_ms: u64,
    /// For another box's answer; it takes under 2 ms when both are well.
    pub answer_ms: u64,
    /// For an answer that is fetched from a box over a connection.
    pub fetch_ms: u64,
    /// For a new connection to an upstream, which takes under 2 ms when it is
    /// well.
    pub connect_ms: u64,
    /// Silence before a stream's first event after which its engines are
    /// checked; half of the usual aim.
    pub first_ms: u64,
    /// Least silence within a stream after which its engines are checked.
    pub silence_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            store_ms: 1000,
            watch_ms: 30_000,
            confirm_ms: 2000,
            reader_ms: 1500,
            ask_ms: 1000,
            answer_ms: 150,
            fetch_ms: 1000,
            connect_ms: 150,
            first_ms: 250,
            silence_ms: 100,
        }
    }
}

fn default_log() -> String {
    "info".into()
}

impl Settings {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// Fails with the place of what is wrong and its remedy.
    pub fn load(path: &Path) -> Result<Self> {
        let place = path.display();
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("cannot read {place}; name a settings file"))?;
        let settings: Settings = serde_json::from_str(&text)
            .map_err(|e| eyre!("{place}: {e}; docs/OPERATIONS.md lists the settings"))?;
        let checked = settings.check();
        checked.wrap_err_with(|| format!("{place} is not valid"))?;
        Ok(settings)
    }

    /// One line for `--check`.
    pub fn summary(&self) -> String {
        format!(
            "box {} in {}, callers {}, readiness {}, store {}",
            self.id, self.data_centre, self.caller, self.ready, self.store
        )
    }

    /// Age of the configuration past which no key is believed any more.
    ///
    /// A part of the bound is left for the way of the request to the upstream.
    pub fn max_key_age(&self) -> Duration {
        match self.bounds.strict_keys {
            true => Duration::from_secs_f64(self.bounds.revoke_ms / 1e3 * KEY_SHARE),
            false => Duration::MAX,
        }
    }

    /// Time between two proofs that the configuration in force is known; one
    /// that gets no answer leaves time for another within the age of a key.
    pub fn confirm_interval(&self) -> Duration {
        let spare = self.store_timeout() + CONFIRM_MARGIN;
        let most = self
            .max_key_age()
            .saturating_sub(spare)
            .max(self.max_key_age() / 2);
        Duration::from_millis(self.timing.confirm_ms).min(most)
    }

    /// The same where few boxes ask for all. What they know is heard a round of
    /// questions later, so both times together stay below the bound on upstreams
    /// that leave, also if the box that was asked has lost the store.
    pub fn reader_interval(&self) -> Duration {
        let most = self.drain_bound().mul_f64(PROOF_SHARE);
        Duration::from_millis(self.timing.reader_ms)
            .min(most)
            .min(self.confirm_interval())
    }

    /// When a box asks those that read.
    pub fn poll_pace(&self) -> PollTiming {
        let ms = Duration::from_millis;
        let every = self.drain_bound().mul_f64(ASK_SHARE);
        PollTiming {
            interval: ms(self.timing.ask_ms).min(every),
            answer_timeout: ms(self.timing.answer_ms),
            fetch_timeout: ms(self.timing.fetch_ms),
            max_age: self.reader_interval() + self.drain_bound().mul_f64(STALE_SHARE),
        }
    }

    /// Whether streams of a service for which these ranks compete are refused by class.
    pub fn sheds(&self, ranks: &Priorities) -> bool {
        match self.shedding {
            Shedding::Ranked => ranks.routes_differ(),
            Shedding::All => true,
            Shedding::Off => false,
        }
    }

    /// Whether boxes may learn from each other what a few of them read.
    pub fn shares_reading(&self) -> bool {
        self.peer.is_some() && !self.each_reads
    }

    /// What the box's link carries, in whole Mbit/s; 0 if it is not given.
    pub fn link_mbps(&self) -> u32 {
        self.link_mbps.map_or(0, |mbps| mbps as u32)
    }

    /// Time within which boxes must know that an upstream is leaving.
    pub fn drain_bound(&self) -> Duration {
        Duration::from_secs_f64(self.bounds.drain_ms / 1e3)
    }

    /// Time within which a configuration must be in force.
    pub fn apply_bound(&self) -> Duration {
        Duration::from_secs_f64(self.bounds.apply_ms / 1e3)
    }

    /// For an answer of the store; one that takes longer cannot prove anything
    /// in time.
    pub fn store_timeout(&self) -> Duration {
        Duration::from_millis(self.timing.store_ms).min(self.max_key_age() / 3)
    }

    /// Time from the signal to stop until the process is killed.
    pub fn stop_timeout(&self) -> Duration {
        Duration::from_secs_f64(self.bounds.stop_s)
    }

    /// Retries that the fleet allows.
    pub fn retry_allowance(&self) -> Allowance {
        Allowance {
            window: Duration::from_secs_f64(self.bounds.retry_window_s),
            ratio: self.bounds.retry_share,
            extra: self.bounds.retry_extra,
        }
    }

    fn check(&self) -> Result<()> {
        if self.id.is_empty() {
            bail!("id: it is empty; name the box");
        }
        let addresses = [
            ("caller", Some(&self.caller)),
            ("ready", Some(&self.ready)),
            ("metrics", self.metrics.as_ref()),
            ("peer", self.peer.as_ref()),
            ("store", Some(&self.store)),
        ];
        for (name, addr) in addresses {
            let bad = addr.filter(|a| a.parse::<SocketAddr>().is_err());
            if let Some(bad) = bad {
                bail!("{name}: `{bad}` is no address; write IP:PORT");
            }
        }
        let (b, t) = (&self.bounds, &self.timing);
        let positive = [
            ("bounds.revoke_ms", b.revoke_ms),
            ("bounds.drain_ms", b.drain_ms),
            ("bounds.apply_ms", b.apply_ms),
            ("bounds.stop_s", b.stop_s),
            ("bounds.retry_window_s", b.retry_window_s),
            ("timing.store_ms", t.store_ms as f64),
            ("timing.watch_ms", t.watch_ms as f64),
            ("timing.confirm_ms", t.confirm_ms as f64),
            ("timing.reader_ms", t.reader_ms as f64),
            ("timing.ask_ms", t.ask_ms as f64),
            ("timing.answer_ms", t.answer_ms as f64),
            ("timing.fetch_ms", t.fetch_ms as f64),
            ("timing.connect_ms", t.connect_ms as f64),
            ("timing.first_ms", t.first_ms as f64),
            ("timing.silence_ms", t.silence_ms as f64),
        ];
        for (name, value) in positive {
            if !(1e-3..=MAX_TIME_MS).contains(&value) {
                bail!("{name}: {value} must be above 0 and at most {MAX_TIME_MS}");
            }
        }
        for (name, value) in [
            ("bounds.retry_share", b.retry_share),
            ("bounds.retry_extra", b.retry_extra),
        ] {
            if !(0.0..=MAX_TIME_MS).contains(&value) {
                bail!("{name}: {value} must not be negative");
            }
        }
        let link = self.link_mbps.unwrap_or(MAX_LINK_MBPS);
        if !(0.0..=MAX_LINK_MBPS).contains(&link) {
            bail!(
                "link_mbps: {link} must be from 0 to {MAX_LINK_MBPS}; leave it out if it is not known"
            );
        }
        if self.readers == Some(0) {
            bail!("readers: 0 would leave nobody to read; use 1 or more, or `each_reads`");
        }
        Ok(())
    }
}

/// Share of the bound on upstreams that leave for one proof by a box that reads
/// for others. With [`ASK_SHARE`] and [`STALE_SHARE`] 0.7 of the bound may pass
/// until a box that asked one which has lost the store asks the next.
const PROOF_SHARE: f64 = 0.3;

/// The same for the pause between two questions.
const ASK_SHARE: f64 = 0.25;

/// The same for the wait of a proof until a watch brings what it lacks.
const STALE_SHARE: f64 = 0.15;

/// Largest link that a setting may name, in Mbit/s.
const MAX_LINK_MBPS: f64 = 1e6;

/// Largest figure that a setting may have; a day in milliseconds.
const MAX_TIME_MS: f64 = 86_400_000.0;

/// Share of the bound on withdrawn keys that knowledge may age.
///
/// What is left covers the way from the check to the upstream: the bytes go out
/// in the same turn of the loop, and a box that stood still checks again.
const KEY_SHARE: f64 = 0.9;

/// For the pause after a proof without an answer, and for the next one.
const CONFIRM_MARGIN: Duration = Duration::from_millis(300);

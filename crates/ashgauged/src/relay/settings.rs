//! Settings of a relay box.

use std::net::{IpAddr, SocketAddr};
use std::ops::RangeInclusive;
use std::path::Path;
use std::time::Duration;

use ashgauge::class::Priorities;
use ashgauge::poller::PollTiming;
use ashgauge::retry::Allowance;
use eyre::{Result, WrapErr, bail, eyre};
use serde::Deserialize;
use serde_json::Value;

/// Settings of a box. Names of times end in their unit, `_ms` or `_s`. Unknown fields are
/// errors, so that a misspelt field is not replaced by its default.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the box, unique in the fleet.
    pub id: String,
    /// Data centre of the box.
    pub data_centre: String,
    /// Address on which callers are served.
    pub caller: String,
    /// Address for the readiness checks of the load balancer.
    pub ready: String,
    /// Address on which metrics are served, if they are wanted.
    #[serde(default)]
    pub metrics: Option<String>,
    /// Address for messages between boxes (UDP and TCP), such as load reports; without it
    /// each box only knows its own load.
    #[serde(default)]
    pub peer: Option<String>,
    /// Address under which other boxes reach `peer`, if it differs from that.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// IP address from which connections to upstreams, the store and other boxes are opened;
    /// without it the system chooses one.
    #[serde(default)]
    pub source: Option<IpAddr>,
    /// Address of the platform's store.
    pub store: String,
    /// Whether the whole fleet starts for the first time, so that boxes discover each
    /// other before a few of them read the store for all.
    #[serde(default)]
    pub fresh_fleet: bool,
    /// Number of boxes that read the store for the others; depends on the size of the
    /// fleet if it is not set.
    #[serde(default)]
    pub readers: Option<usize>,
    /// Bandwidth of the box's network link, in Mbit/s: boxes with fast links are
    /// preferred as readers.
    #[serde(default)]
    pub link_mbps: Option<f64>,
    /// Whether every box reads the store itself.
    #[serde(default)]
    pub each_reads: bool,
    /// Services whose streams are refused by priority class under overload.
    #[serde(default)]
    pub shedding: Shedding,
    /// Bounds set by the operators.
    #[serde(default)]
    pub bounds: Bounds,
    /// Memory in MB that messages may take together while they are received or held: callers'
    /// bodies, answers of upstreams, and what the store and other boxes send.
    #[serde(default = "default_message_mb")]
    pub message_mb: u32,
    /// Log level: error, warn, info or debug.
    #[serde(default = "default_log")]
    pub log: String,
    /// Intervals and timeouts that are internal to the box.
    #[serde(default)]
    pub timing: Timing,
}

/// Services whose streams are refused by priority class where callers ask for more than
/// the engines can serve in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(try_from = "Value")]
pub enum Shedding {
    /// Services with routes of different priorities, and those whose first engines run so many
    /// requests at a time that a share of them can be told.
    Auto,
    /// Services with routes of different priorities.
    #[default]
    Ranked,
    /// All services.
    All,
    /// No services.
    Off,
}

impl TryFrom<Value> for Shedding {
    type Error = String;

    /// Parses the setting. The error names the setting, which that of a derived
    /// implementation does not.
    fn try_from(value: Value) -> Result<Self, String> {
        match value.as_str() {
            Some("auto") => Ok(Shedding::Auto),
            Some("ranked") => Ok(Shedding::Ranked),
            Some("all") => Ok(Shedding::All),
            Some("off") => Ok(Shedding::Off),
            _ => Err(format!(
                "shedding: {value} is unknown; use `auto`, `ranked`, `all` or `off`"
            )),
        }
    }
}

/// Bounds that the operators set for the whole fleet. Fractions are allowed.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// Whether a revoked key must not be used past `revoke_ms` even by a box that cannot
    /// learn of the revocation.
    pub strict_keys: bool,
    /// Longest time for which a key may be used after it was revoked.
    pub revoke_ms: f64,
    /// Time within which boxes must know that an upstream is leaving.
    pub drain_ms: f64,
    /// Time within which a configuration must be in force.
    pub apply_ms: f64,
    /// Time from the signal to stop until the process is killed.
    pub stop_s: f64,
    /// Retries allowed per first attempt of a service, over the fleet.
    pub retry_share: f64,
    /// Retries allowed in addition, over the fleet.
    pub retry_extra: f64,
    /// Window over which retries are counted.
    pub retry_window_s: f64,
}

impl Default for Bounds {
    /// Returns the bounds for settings that the operators leave out: the stricter of the
    /// values that users set.
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

/// Intervals and timeouts that are internal to the box.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Timing {
    /// Timeout for a response of the store, which takes 4 ms when the store is healthy.
    pub store_ms: u64,
    /// How long the store may keep a watch open that has no changes.
    pub watch_ms: u64,
    /// Interval between freshness checks of the configuration where every box makes them
    /// against the store.
    pub confirm_ms: u64,
    /// Interval between freshness checks where a few boxes make them for all; the others
    /// learn the result later.
    pub reader_ms: u64,
    /// Interval between the queries of a box to a reader.
    pub ask_ms: u64,
    /// Timeout for another box's answer, which takes under 2 ms when both are healthy.
    pub answer_ms: u64,
    /// Timeout for an answer that is fetched from a box over a connection.
    pub fetch_ms: u64,
    /// Timeout for a new connection to an upstream, which takes under 2 ms when the
    /// upstream is healthy.
    pub connect_ms: u64,
    /// Silence before a stream's first event after which its engines are checked; half of
    /// the usual target latency.
    pub first_ms: u64,
    /// Minimum silence within a stream after which its engines are checked.
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

fn default_message_mb() -> u32 {
    28
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or is invalid; the error names the faulty setting
    /// and how to correct it.
    pub fn load(path: &Path) -> Result<Self> {
        let file = path.display();
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("cannot read {file}; name a settings file"))?;
        let settings: Settings = serde_json::from_str(&text)
            .map_err(|e| eyre!("{file}: {e}; docs/OPERATIONS.md lists the settings"))?;
        let checked = settings.check();
        checked.wrap_err_with(|| format!("{file} is not valid"))?;
        Ok(settings)
    }

    /// Returns a summary of the settings in one line, for `--check`.
    pub fn summary(&self) -> String {
        format!(
            "box {} in {}, callers {}, readiness {}, store {}",
            self.id, self.data_centre, self.caller, self.ready, self.store
        )
    }

    /// Returns the age of the configuration above which no key is accepted any more.
    ///
    /// A part of the bound is reserved for the transfer of the request to the upstream.
    pub fn max_key_age(&self) -> Duration {
        match self.bounds.strict_keys {
            true => Duration::from_secs_f64(self.bounds.revoke_ms / 1e3 * KEY_SHARE),
            false => Duration::MAX,
        }
    }

    /// Returns the interval between freshness checks of the configuration. A check
    /// without an answer leaves time for another one within the maximum key age, and a
    /// check finds a change that no watch delivers within the bound on configurations.
    pub fn confirm_interval(&self) -> Duration {
        let reserve = self.store_timeout() + CONFIRM_MARGIN;
        let limit = self
            .max_key_age()
            .saturating_sub(reserve)
            .max(self.max_key_age() / 2);
        Duration::from_millis(self.timing.confirm_ms)
            .min(limit)
            .min(self.apply_bound().mul_f64(CHECK_SHARE))
    }

    /// Returns the interval between freshness checks where a few boxes make them for all.
    /// The others learn the result one polling round later, so both times together stay
    /// below the bound on leaving upstreams, even if the polled box has lost the store.
    pub fn reader_interval(&self) -> Duration {
        let limit = self.drain_bound().mul_f64(PROOF_SHARE);
        Duration::from_millis(self.timing.reader_ms)
            .min(limit)
            .min(self.confirm_interval())
    }

    /// Returns the timing with which a box polls the readers.
    pub fn poll_timing(&self) -> PollTiming {
        let ms = Duration::from_millis;
        let limit = self.drain_bound().mul_f64(ASK_SHARE);
        PollTiming {
            interval: ms(self.timing.ask_ms).min(limit),
            answer_timeout: ms(self.timing.answer_ms),
            fetch_timeout: ms(self.timing.fetch_ms),
            max_age: self.reader_interval() + self.drain_bound().mul_f64(STALE_SHARE),
        }
    }

    /// Returns whether streams of a service with routes of these priorities are refused
    /// by class, whose first engines run `slots` requests at a time.
    pub fn sheds(&self, priorities: &Priorities, slots: u32) -> bool {
        match self.shedding {
            Shedding::Auto => priorities.routes_differ() || slots >= MIN_SHEDDING_SLOTS,
            Shedding::Ranked => priorities.routes_differ(),
            Shedding::All => true,
            Shedding::Off => false,
        }
    }

    /// Returns whether boxes may get the store's data from a few readers.
    pub fn shares_reading(&self) -> bool {
        self.peer.is_some() && !self.each_reads
    }

    /// Returns the bandwidth of the box's link, in whole Mbit/s; 0 if it is not set.
    pub fn link_mbps(&self) -> u32 {
        self.link_mbps.map_or(0, |mbps| mbps as u32)
    }

    /// Returns the memory that messages may take together, in bytes.
    pub fn message_bytes(&self) -> usize {
        (self.message_mb as usize) << 20
    }

    /// Time within which boxes must know that an upstream is leaving.
    pub fn drain_bound(&self) -> Duration {
        Duration::from_secs_f64(self.bounds.drain_ms / 1e3)
    }

    /// Time within which a configuration must be in force.
    pub fn apply_bound(&self) -> Duration {
        Duration::from_secs_f64(self.bounds.apply_ms / 1e3)
    }

    /// Returns the timeout for a response of the store; a later response cannot confirm
    /// freshness in time.
    pub fn store_timeout(&self) -> Duration {
        Duration::from_millis(self.timing.store_ms).min(self.max_key_age() / 3)
    }

    /// Time from the signal to stop until the process is killed.
    pub fn stop_timeout(&self) -> Duration {
        Duration::from_secs_f64(self.bounds.stop_s)
    }

    /// Returns the retry allowance of the fleet.
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
                bail!("{name}: `{bad}` is not an address; write IP:PORT");
            }
        }
        let (bounds, timing) = (&self.bounds, &self.timing);
        let positive = [
            ("bounds.revoke_ms", bounds.revoke_ms),
            ("bounds.drain_ms", bounds.drain_ms),
            ("bounds.apply_ms", bounds.apply_ms),
            ("bounds.stop_s", bounds.stop_s),
            ("bounds.retry_window_s", bounds.retry_window_s),
            ("timing.store_ms", timing.store_ms as f64),
            ("timing.watch_ms", timing.watch_ms as f64),
            ("timing.confirm_ms", timing.confirm_ms as f64),
            ("timing.reader_ms", timing.reader_ms as f64),
            ("timing.ask_ms", timing.ask_ms as f64),
            ("timing.answer_ms", timing.answer_ms as f64),
            ("timing.fetch_ms", timing.fetch_ms as f64),
            ("timing.connect_ms", timing.connect_ms as f64),
            ("timing.first_ms", timing.first_ms as f64),
            ("timing.silence_ms", timing.silence_ms as f64),
        ];
        for (name, value) in positive {
            if !(1e-3..=MAX_TIME_MS).contains(&value) {
                bail!("{name}: {value} must be above 0 and at most {MAX_TIME_MS}");
            }
        }
        for (name, value) in [
            ("bounds.retry_share", bounds.retry_share),
            ("bounds.retry_extra", bounds.retry_extra),
        ] {
            if !(0.0..=MAX_TIME_MS).contains(&value) {
                bail!("{name}: {value} must not be negative");
            }
        }
        if !MESSAGE_MB_RANGE.contains(&self.message_mb) {
            let (min, max) = MESSAGE_MB_RANGE.into_inner();
            bail!(
                "message_mb: {} must be from {min} to {max}",
                self.message_mb
            );
        }
        let link = self.link_mbps.unwrap_or(MAX_LINK_MBPS);
        if !(0.0..=MAX_LINK_MBPS).contains(&link) {
            bail!(
                "link_mbps: {link} must be from 0 to {MAX_LINK_MBPS}; leave it out if it is not known"
            );
        }
        if self.readers == Some(0) {
            bail!(
                "readers: 0 would leave no box to read the store; use 1 or more, or `each_reads`"
            );
        }
        Ok(())
    }
}

/// Requests that first engines run at a time from which on streams of one priority are refused by
/// class. In a smaller fleet a request or two are more than the level may be wrong by.
const MIN_SHEDDING_SLOTS: u32 = 64;

/// Share of the bound on configurations for the interval between freshness checks. The
/// remainder is for the check, for a watch to deliver what it finds, and for the read.
const CHECK_SHARE: f64 = 0.7;

/// Share of the bound on leaving upstreams that is allowed for one freshness check by a
/// reader. With [`ASK_SHARE`] and [`STALE_SHARE`], 0.7 of the bound may pass until a box
/// that polled a reader without access to the store polls the next one.
const PROOF_SHARE: f64 = 0.3;

/// Share of the same bound for the interval between two queries.
const ASK_SHARE: f64 = 0.25;

/// Share of the same bound for the time that a freshness check waits until a watch
/// delivers the missing changes.
const STALE_SHARE: f64 = 0.15;

/// Memory that `message_mb` may allow: room for the pages of the store at least.
const MESSAGE_MB_RANGE: RangeInclusive<u32> = 7..=4096;

/// Maximum bandwidth that `link_mbps` may have, in Mbit/s.
const MAX_LINK_MBPS: f64 = 1e6;

/// Maximum value of a numeric setting: a day in milliseconds.
const MAX_TIME_MS: f64 = 86_400_000.0;

/// Share of the bound on revoked keys that data may age.
///
/// The remainder covers the time from the check to the upstream: the bytes are sent in
/// the same turn of the event loop, and a box that was suspended checks again.
const KEY_SHARE: f64 = 0.9;

/// Time reserved for the delay after a freshness check without an answer, and for the
/// next check.
const CONFIRM_MARGIN: Duration = Duration::from_millis(300);

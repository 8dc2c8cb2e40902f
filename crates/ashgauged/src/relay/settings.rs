//! Settings of a box that hands requests on whole.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use eyre::{Result, WrapErr, bail, eyre};
use serde::Deserialize;

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
    /// Address of the platform's store.
    pub store: String,
    /// Bounds that the operators set.
    pub bounds: Bounds,
    /// Log level: error, warn, info or debug.
    #[serde(default = "default_log")]
    pub log: String,
    /// Times that are the box's own choice.
    #[serde(default)]
    pub timing: Timing,
}

/// Bounds that the operators set for the whole fleet.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Longest use of a key after it was withdrawn.
    pub revoke_ms: u64,
    /// Time from the signal to stop until the process is killed.
    pub stop_ms: u64,
    /// How long an engine's loss holds up what depends on it.
    pub stall_ms: u64,
    /// Retries for each first try of a service, over the fleet.
    pub retry_share: f64,
    /// Retries besides, over the fleet.
    pub retry_extra: f64,
    /// Window in which retries are counted.
    pub retry_window_ms: u64,
}

/// Times that are the box's own choice.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Timing {
    /// For an answer of the store; it takes 4 ms when it is well.
    pub store_ms: u64,
    /// How long the store may hold a watch that has no news.
    pub watch_ms: u64,
    /// Between two proofs that the configuration in force is known.
    pub confirm_ms: u64,
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
            watch_ms: 15_000,
            confirm_ms: 2000,
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
    pub fn key_age(&self) -> Duration {
        Duration::from_millis(self.bounds.revoke_ms).mul_f64(KEY_SHARE)
    }

    fn check(&self) -> Result<()> {
        if self.id.is_empty() {
            bail!("id: it is empty; name the box");
        }
        let addresses = [
            ("caller", Some(&self.caller)),
            ("ready", Some(&self.ready)),
            ("metrics", self.metrics.as_ref()),
            ("store", Some(&self.store)),
        ];
        for (name, addr) in addresses {
            let bad = addr.filter(|a| a.parse::<SocketAddr>().is_err());
            if let Some(bad) = bad {
                bail!("{name}: `{bad}` is no address; write IP:PORT");
            }
        }
        let t = &self.timing;
        let positive = [
            ("bounds.revoke_ms", self.bounds.revoke_ms),
            ("bounds.stop_ms", self.bounds.stop_ms),
            ("bounds.stall_ms", self.bounds.stall_ms),
            ("bounds.retry_window_ms", self.bounds.retry_window_ms),
            ("timing.store_ms", t.store_ms),
            ("timing.watch_ms", t.watch_ms),
            ("timing.confirm_ms", t.confirm_ms),
            ("timing.connect_ms", t.connect_ms),
            ("timing.first_ms", t.first_ms),
            ("timing.silence_ms", t.silence_ms),
        ];
        for (name, value) in positive {
            if value == 0 {
                bail!("{name}: it must be above 0");
            }
        }
        let share = self.bounds.retry_share;
        if !(0.0..=10.0).contains(&share) {
            bail!("bounds.retry_share: {share} must be from 0 to 10");
        }
        if self.bounds.retry_extra.is_nan() || self.bounds.retry_extra < 0.0 {
            bail!("bounds.retry_extra: it must not be negative");
        }
        if Duration::from_millis(t.confirm_ms + t.store_ms) > self.key_age() {
            bail!(
                "timing.confirm_ms: with timing.store_ms it must stay under {} ms, \
                 or keys lapse between two proofs",
                self.key_age().as_millis()
            );
        }
        Ok(())
    }
}

/// Share of the bound on withdrawn keys that knowledge may age.
const KEY_SHARE: f64 = 0.7;

//! Settings of the daemon, read from JSON and validated before anything starts.

use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ashgauge::Config;
use ashgauge::claim;
use ashgauge::node::Strategy;
use caller::PortLimits;
use eyre::{Result, WrapErr, bail, eyre};
use http::Limits;
use serde::Deserialize;

/// All settings. Names of times end in `_ms` or `_s`, names of sizes in `_bytes`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the box, unique in the fleet.
    pub id: String,
    /// Data centre of the box.
    pub data_centre: String,
    /// Listen address of the callers' port.
    pub caller: String,
    /// Listen address of the box-to-box port.
    pub peer: String,
    /// Listen address of the operators' port.
    pub operator: String,
    /// Address of the platform's object API.
    pub platform: String,
    /// Credential of the box-to-box port.
    pub peer_credential: Credential,
    /// Credential of the operators' port.
    pub operator_credential: Credential,
    /// Box-to-box addresses of peers that are asked for the table if the platform is down
    /// at start.
    #[serde(default)]
    pub seeds: Vec<String>,
    /// Resource limits.
    #[serde(default)]
    pub limits: ResourceLimits,
    /// Intervals and time-outs.
    #[serde(default)]
    pub timing: Timing,
    /// Claims on idempotency keys.
    #[serde(default)]
    pub claims: ClaimSettings,
    /// Maximum number of calls per second to the platform.
    #[serde(default = "default_calls")]
    pub platform_calls: f64,
    /// Retries per first attempt, 0 to 1.
    #[serde(default = "default_retries")]
    pub retry_share: f64,
    /// Log level: error, warn, info or debug.
    #[serde(default = "default_log")]
    pub log: String,
    /// File to which the timeline is written as JSON lines, if any.
    #[serde(default)]
    pub events: Option<PathBuf>,
    /// Strategy for choice, queueing and recovery; for comparison with simple baselines.
    #[serde(default)]
    #[serde(rename = "tactics")]
    pub strategy: Strategy,
    /// Number of worker threads.
    #[serde(default = "default_threads")]
    pub threads: usize,
}

/// Source of a credential. The settings never hold the credential itself.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Credential {
    /// Path of a file.
    File(PathBuf),
    /// Name of an environment variable.
    Env(String),
}

/// Limits on connections, bodies, requests and memory.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ResourceLimits {
    /// Maximum number of callers' connections.
    pub connections: usize,
    /// Maximum size of a request's head in bytes.
    pub head_bytes: usize,
    /// Time limit for receiving a request's head.
    pub head_ms: u64,
    /// Maximum size of a request's body in bytes.
    pub body_bytes: usize,
    /// Time limit for receiving a request's body.
    pub body_ms: u64,
    /// Maximum number of tokens that one request may ask for.
    pub tokens: u32,
    /// Maximum number of requests at one time, including waiting ones.
    pub requests: usize,
    /// Maximum number of stage inputs kept for one request.
    pub keep_inputs: usize,
    /// Maximum number of timeline records kept in memory.
    pub records: usize,
}

/// Intervals and time-outs.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Timing {
    /// Time between heartbeats.
    pub heartbeat_ms: u64,
    /// Minimum time without an answer before a stage counts as lost.
    pub silence_ms: u64,
    /// Time without an answer before a repeatable service call counts as lost.
    pub call_silence_ms: u64,
    /// Time without contact to the platform and to any peer after which the box is not
    /// ready.
    pub isolation_ms: u64,
    /// Time to live of the lease that permits a box to send orders to upstreams.
    pub lease_ms: u64,
    /// Minimum time between two reads of the platform's member list.
    pub list_ms: u64,
    /// Maximum time of a planned stop.
    pub drain_ms: u64,
}

/// Claims on idempotency keys; must be the same on every box.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClaimSettings {
    /// Number of stored objects over which the keys are sharded.
    pub shards: u32,
    /// Time for which a key is kept.
    pub keep_s: u64,
    /// Minimum time between two writes of one object.
    pub interval_ms: u64,
    /// Maximum time that a claim waits for the platform.
    pub patience_ms: u64,
}

impl Default for ResourceLimits {
    fn default() -> Self {
        ResourceLimits {
            connections: 4096,
            head_bytes: 16 << 10,
            head_ms: 5000,
            body_bytes: 1 << 20,
            body_ms: 10_000,
            tokens: 4096,
            requests: 4096,
            keep_inputs: 65_536,
            records: 20_000,
        }
    }
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            heartbeat_ms: 3000,
            silence_ms: 500,
            call_silence_ms: 5000,
            isolation_ms: 30_000,
            lease_ms: 5000,
            list_ms: 500,
            drain_ms: 60_000,
        }
    }
}

impl Default for ClaimSettings {
    fn default() -> Self {
        ClaimSettings {
            shards: 16,
            keep_s: 24 * 3600,
            interval_ms: 200,
            patience_ms: 2000,
        }
    }
}

fn default_calls() -> f64 {
    20.0
}

fn default_retries() -> f64 {
    0.1
}

fn default_log() -> String {
    "info".into()
}

fn default_threads() -> usize {
    2
}

impl Settings {
    /// Reads and validates a settings file.
    pub fn load(path: &Path) -> Result<Self> {
        let file = path.display();
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("cannot read {file}; name a settings file"))?;
        let settings: Settings = serde_json::from_str(&text)
            .map_err(|e| eyre!("{file}: {e}; docs/OPERATIONS.md lists the settings"))?;
        settings
            .check()
            .wrap_err_with(|| format!("{file} is not valid"))?;
        Ok(settings)
    }

    /// Returns a one-line summary for `--check`, without credentials.
    pub fn summary(&self) -> String {
        format!(
            "box {} in {}, callers {}, peers {}, operators {}",
            self.id, self.data_centre, self.caller, self.peer, self.operator
        )
    }

    /// Returns the log level as a filter.
    pub fn log_level(&self) -> Result<spdlog::LevelFilter> {
        use spdlog::{Level, LevelFilter};
        let level = match self.log.as_str() {
            "error" => Level::Error,
            "warn" => Level::Warn,
            "info" => Level::Info,
            "debug" => Level::Debug,
            other => bail!("log: `{other}` is not a log level; use error, warn, info or debug"),
        };
        Ok(LevelFilter::MoreSevereEqual(level))
    }

    /// Returns the settings of the node. `peer_addr` is the address of the box-to-box
    /// port.
    pub fn node_config(&self, peer_addr: &str) -> Config {
        let unix_time = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let ms = Duration::from_millis;
        let t = &self.timing;
        let mut config = Config::new(&self.id, rand::random::<u64>() >> 16);
        config.data_centre = self.data_centre.clone();
        config.peer_addr = peer_addr.into();
        config.seeds = self.seeds.clone();
        config.epoch_ms = unix_time.as_millis() as u64;
        config.max_requests = self.limits.requests;
        config.heartbeat_interval = ms(t.heartbeat_ms);
        config.stage_timeout = ms(t.silence_ms);
        config.call_timeout = ms(t.call_silence_ms);
        config.isolation_timeout = ms(t.isolation_ms);
        config.lease_ttl = ms(t.lease_ms);
        config.max_inputs = self.limits.keep_inputs;
        config.retry_share = self.retry_share;
        config.strategy = self.strategy;
        config.claims = claim::Config {
            shards: self.claims.shards,
            retention: Duration::from_secs(self.claims.keep_s),
            write_interval: ms(self.claims.interval_ms),
            timeout: ms(self.claims.patience_ms),
        };
        config
    }

    /// Returns the limits of the callers' port.
    pub fn caller_limits(&self) -> PortLimits {
        let l = &self.limits;
        PortLimits {
            server: Limits {
                connections: l.connections,
                header_bytes: l.head_bytes,
                header_timeout: Duration::from_millis(l.head_ms),
            },
            max_body_bytes: l.body_bytes,
            body_timeout: Duration::from_millis(l.body_ms),
            max_tokens: l.tokens,
        }
    }

    fn check(&self) -> Result<()> {
        let positive = [
            ("limits.connections", self.limits.connections as u64),
            ("limits.body_bytes", self.limits.body_bytes as u64),
            ("limits.requests", self.limits.requests as u64),
            ("limits.tokens", u64::from(self.limits.tokens)),
            ("limits.records", self.limits.records as u64),
            ("timing.heartbeat_ms", self.timing.heartbeat_ms),
            ("timing.silence_ms", self.timing.silence_ms),
            ("timing.call_silence_ms", self.timing.call_silence_ms),
            ("timing.lease_ms", self.timing.lease_ms),
            ("timing.list_ms", self.timing.list_ms),
            ("claims.shards", u64::from(self.claims.shards)),
            ("claims.keep_s", self.claims.keep_s),
            ("claims.patience_ms", self.claims.patience_ms),
            ("threads", self.threads as u64),
        ];
        for (setting, value) in positive {
            if value == 0 {
                bail!("{setting}: 0 is not possible; use at least 1");
            }
        }
        if self.id.is_empty() || self.id.contains(['.', '/', '+']) {
            bail!("id: `{}` must be a name without `.`, `/` and `+`", self.id);
        }
        if self.limits.head_bytes < 8192 {
            bail!(
                "limits.head_bytes: {} is too small; use at least 8192",
                self.limits.head_bytes
            );
        }
        if !(0.0..=1.0).contains(&self.retry_share) {
            bail!("retry_share: {} is no share; use 0 to 1", self.retry_share);
        }
        if !(self.platform_calls.is_finite() && self.platform_calls >= 1.0) {
            bail!(
                "platform_calls: {} is too few; use at least 1",
                self.platform_calls
            );
        }
        self.check_conflicts()?;
        self.log_level()?;
        self.peer_credential.load("peer_credential")?;
        self.operator_credential.load("operator_credential")?;
        Ok(())
    }

    fn check_conflicts(&self) -> Result<()> {
        let t = &self.timing;
        if t.isolation_ms < 3 * t.heartbeat_ms {
            bail!(
                "timing.isolation_ms: {} clashes with timing.heartbeat_ms: {}; use at least three heartbeats",
                t.isolation_ms,
                t.heartbeat_ms
            );
        }
        if self.claims.interval_ms >= self.claims.patience_ms {
            bail!(
                "claims.interval_ms: {} clashes with claims.patience_ms: {}; make the interval shorter",
                self.claims.interval_ms,
                self.claims.patience_ms
            );
        }
        let ports = [
            ("caller", &self.caller),
            ("peer", &self.peer),
            ("operator", &self.operator),
        ];
        for (i, (name, addr)) in ports.iter().enumerate() {
            let parsed: Result<std::net::SocketAddr, _> = addr.parse();
            let port = parsed
                .map_err(|_| eyre!("{name}: `{addr}` is no IP:PORT"))?
                .port();
            for (other, other_addr) in &ports[i + 1..] {
                if port != 0 && addr == other_addr {
                    bail!("{name} and {other} are both {addr}; give each a port of its own");
                }
            }
        }
        Ok(())
    }
}

impl Credential {
    /// Reads the credential; `setting` is the setting's name for errors.
    pub fn load(&self, setting: &str) -> Result<String> {
        let text = match self {
            Credential::File(path) => std::fs::read_to_string(path).wrap_err_with(|| {
                format!(
                    "{setting}: cannot read {}; name a file with it",
                    path.display()
                )
            })?,
            Credential::Env(name) => std::env::var(name)
                .map_err(|_| eyre!("{setting}: variable {name} is not set; set it"))?,
        };
        let text = text.trim().to_string();
        if text.len() < 8 {
            bail!("{setting}: it is shorter than 8 characters; use a longer one");
        }
        Ok(text)
    }
}

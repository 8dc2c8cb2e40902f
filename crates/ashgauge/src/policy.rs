//! Policy: the configuration table, compiled into the form that decisions use.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::member::UpstreamId;
use crate::order::DesiredState;
use crate::table::{Cell, Table, Version};

/// Name of a team.
pub type TeamId = Arc<str>;

/// SHA-256 of a caller's bearer key.
pub type KeyHash = [u8; 32];

const DEFAULT_QUEUE_LIMIT: usize = 64;
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);

/// Weight and limits of one team.
#[derive(Clone, Debug)]
pub struct Team {
    /// Name.
    pub id: TeamId,
    /// Rank of the tier; 0 goes first.
    pub rank: u32,
    /// Weight within the tier.
    pub weight: f64,
    /// Tokens a second over the fleet, if limited.
    pub token_rate: Option<f64>,
    /// Largest number of requests that may wait on one box.
    pub queue_limit: usize,
}

/// Target of a route.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    /// Model with this many layers.
    Model(u32),
    /// Plain service under this path prefix.
    Service(String),
}

/// Route of requests.
#[derive(Clone, Debug)]
pub struct Route {
    /// Target.
    pub target: Target,
    /// Whether a request may be sent twice.
    pub repeatable: bool,
    /// Longest time for a request.
    pub deadline: Duration,
}

/// Policy of one version of the table.
#[derive(Clone, Debug, Default)]
pub struct Policy {
    /// Version of the table.
    pub version: Version,
    /// Routes by name.
    pub routes: HashMap<String, Route>,
    /// Reserved share of tokens by tier rank, 0 to 1.
    pub tier_floors: HashMap<u32, f64>,
    /// Desired states of upstreams.
    pub desired_states: BTreeMap<UpstreamId, DesiredState>,
    teams_by_key: HashMap<u64, Vec<(KeyHash, Arc<Team>)>>,
    teams_by_name: HashMap<TeamId, Arc<Team>>,
}

/// Hashes a caller's bearer key.
pub fn hash_key(key: &str) -> KeyHash {
    Sha256::digest(key.as_bytes()).into()
}

impl Policy {
    /// Compiles a validated table.
    pub fn new(version: Version, table: &Table) -> Self {
        let mut policy = Policy {
            version,
            ..Policy::default()
        };
        for row in table.rows.keys() {
            match row.split_once('/') {
                Some(("tier", _)) => policy.add_tier(table, row),
                Some(("team", name)) => policy.add_team(table, row, name),
                Some(("route", name)) => policy.add_route(table, row, name),
                Some(("upstream", name)) => policy.add_desired_state(table, row, name),
                _ => {}
            }
        }
        policy
    }

    /// Finds the team with a key hash.
    ///
    /// Candidates share the first eight bytes of the hash and are compared in constant
    /// time.
    pub fn find_team(&self, hash: &KeyHash) -> Option<&Arc<Team>> {
        let candidates = self.teams_by_key.get(&hash_prefix(hash))?;
        let found = candidates.iter().find(|(h, _)| bool::from(h.ct_eq(hash)));
        found.map(|(_, t)| t)
    }

    /// Returns a team by name.
    pub fn team(&self, id: &str) -> Option<&Arc<Team>> {
        self.teams_by_name.get(id)
    }

    /// Returns the number of teams.
    pub fn team_count(&self) -> usize {
        self.teams_by_name.len()
    }

    /// Finds the service route with the longest path prefix of `path`.
    pub fn find_service(&self, path: &str) -> Option<&str> {
        let prefix_len = |r: &Route| match &r.target {
            Target::Service(p) if is_under(path, p) => Some(p.len()),
            _ => None,
        };
        let matches = self
            .routes
            .iter()
            .filter_map(|(n, r)| Some((prefix_len(r)?, n)));
        matches.max().map(|(_, n)| n.as_str())
    }

    fn add_tier(&mut self, table: &Table, row: &str) {
        let rank = number_cell(table, row, "rank").unwrap_or(0.0) as u32;
        let floor = number_cell(table, row, "floor").unwrap_or(0.0).min(1.0);
        self.tier_floors.insert(rank, floor);
    }

    fn add_team(&mut self, table: &Table, row: &str, name: &str) {
        let tier = text_cell(table, row, "tier").unwrap_or_default();
        let rank = number_cell(table, &format!("tier/{tier}"), "rank").unwrap_or(0.0);
        let team = Arc::new(Team {
            id: name.into(),
            rank: rank as u32,
            weight: number_cell(table, row, "weight").unwrap_or(1.0),
            token_rate: number_cell(table, row, "rate").filter(|r| *r > 0.0),
            queue_limit: number_cell(table, row, "queue")
                .map_or(DEFAULT_QUEUE_LIMIT, |n| n as usize),
        });
        self.teams_by_name.insert(team.id.clone(), team.clone());
        if let Some(hash) = text_cell(table, row, "key").and_then(parse_hash) {
            self.teams_by_key
                .entry(hash_prefix(&hash))
                .or_default()
                .push((hash, team));
        }
    }

    fn add_desired_state(&mut self, table: &Table, row: &str, name: &str) {
        let get = |column| text_cell(table, row, column).map(String::from);
        let state = DesiredState {
            hash: 0,
            load: get("load"),
            adapter: get("adapter"),
            version: get("version"),
            role: get("role"),
        };
        self.desired_states.insert(name.into(), state.with_hash());
    }

    fn add_route(&mut self, table: &Table, row: &str, name: &str) {
        let target = match text_cell(table, row, "kind") {
            Some("service") => {
                let path = text_cell(table, row, "path").map_or(format!("/{name}"), String::from);
                Target::Service(path)
            }
            _ => Target::Model(number_cell(table, row, "layers").unwrap_or(1.0) as u32),
        };
        let deadline = number_cell(table, row, "deadline");
        let route = Route {
            target,
            repeatable: text_cell(table, row, "repeat") != Some("no"),
            deadline: deadline.map_or(DEFAULT_DEADLINE, |ms| Duration::from_millis(ms as u64)),
        };
        self.routes.insert(name.into(), route);
    }
}

fn is_under(path: &str, prefix: &str) -> bool {
    let rest = path.strip_prefix(prefix);
    rest.is_some_and(|r| r.is_empty() || r.starts_with('/') || r.starts_with('?'))
}

fn number_cell(table: &Table, row: &str, column: &str) -> Option<f64> {
    match table.cell(row, column) {
        Some(Cell::Number(n)) => Some(*n),
        _ => None,
    }
}

fn text_cell<'a>(table: &'a Table, row: &str, column: &str) -> Option<&'a str> {
    match table.cell(row, column) {
        Some(Cell::Text(s)) => Some(s),
        _ => None,
    }
}

fn hash_prefix(hash: &KeyHash) -> u64 {
    u64::from_le_bytes(std::array::from_fn(|i| hash[i]))
}

fn parse_hash(s: &str) -> Option<KeyHash> {
    let mut hash = [0; 32];
    for (i, b) in hash.iter_mut().enumerate() {
        *b = u8::from_str_radix(s.get(2 * i..2 * i + 2)?, 16).ok()?;
    }
    Some(hash)
}

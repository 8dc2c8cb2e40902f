//! Recent probes of upstreams, shared by all streams of the box.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use platform::engine::Report;
use tokio::sync::OnceCell;

/// Number of results above which expired ones are removed.
const MAX_KEPT: usize = 256;

/// Results by address, each with the time at which the probe started.
pub type ProbeCache<T> = RefCell<HashMap<String, (Duration, Rc<OnceCell<T>>)>>;

/// Recent probes of upstreams, shared by all streams of the box.
#[derive(Default)]
pub struct Probes {
    /// Whether upstreams accept connections.
    pub reachable: ProbeCache<bool>,
    /// Status reports of engines.
    pub reports: ProbeCache<Option<Rc<Report>>>,
}

/// Returns whether a probe of an address is in progress or has just finished.
pub fn is_cached<T>(cache: &ProbeCache<T>, now: Duration, addr: &str, max_age: Duration) -> bool {
    let results = cache.borrow();
    results.get(addr).is_some_and(|(at, _)| now < *at + max_age)
}

/// Returns the probe of an address that is in progress or has just finished, or else a
/// new one.
pub fn cached_cell<T>(
    cache: &ProbeCache<T>,
    now: Duration,
    addr: &str,
    max_age: Duration,
) -> Rc<OnceCell<T>> {
    let mut results = cache.borrow_mut();
    if results.len() > MAX_KEPT {
        results.retain(|_, (at, _)| now < *at + max_age);
    }
    match results.get(addr) {
        Some((at, cell)) if now < *at + max_age => cell.clone(),
        _ => {
            let cell = Rc::new(OnceCell::new());
            results.insert(addr.into(), (now, cell.clone()));
            cell
        }
    }
}

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
pub fn is_cached<T>(cached: &ProbeCache<T>, now: Duration, addr: &str, shared: Duration) -> bool {
    let recent = cached.borrow();
    recent.get(addr).is_some_and(|(at, _)| now < *at + shared)
}

/// Returns the probe of an address that is in progress or has just finished, or else a
/// new one.
pub fn cached_cell<T>(
    cached: &ProbeCache<T>,
    now: Duration,
    addr: &str,
    shared: Duration,
) -> Rc<OnceCell<T>> {
    let mut recent = cached.borrow_mut();
    if recent.len() > MAX_KEPT {
        recent.retain(|_, (at, _)| now < *at + shared);
    }
    match recent.get(addr) {
        Some((at, cell)) if now < *at + shared => cell.clone(),
        _ => {
            let cell = Rc::new(OnceCell::new());
            recent.insert(addr.into(), (now, cell.clone()));
            cell
        }
    }
}

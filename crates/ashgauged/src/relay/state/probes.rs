//! Probes of upstreams of the last moments, shared by all streams of the box.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use platform::engine::Report;
use tokio::sync::OnceCell;

/// Results kept before old ones are cleared.
const MAX_KEPT: usize = 256;

/// Results by address, each with when it was asked for.
pub type ProbeCache<T> = RefCell<HashMap<String, (Duration, Rc<OnceCell<T>>)>>;

/// Probes of the last moments, shared by all streams of the box.
#[derive(Default)]
pub struct Probes {
    /// Whether upstreams take connections.
    pub reachable: ProbeCache<bool>,
    /// What engines report of themselves.
    pub reports: ProbeCache<Option<Rc<Report>>>,
}

/// Whether a question to an address is under way or was just answered.
pub fn is_cached<T>(cached: &ProbeCache<T>, now: Duration, addr: &str, shared: Duration) -> bool {
    let recent = cached.borrow();
    recent.get(addr).is_some_and(|(at, _)| now < *at + shared)
}

/// The question to an address that is under way or was just answered, else a
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

//! Traffic of a box on the links between data centres.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Time constant of the average traffic.
const AVERAGING_WINDOW: Duration = Duration::from_secs(1);

/// Recent traffic of this box between data centres.
///
/// All boxes behave alike, so each estimates the traffic of the fleet as its own times
/// their number.
#[derive(Clone, Debug, Default)]
pub struct WanUsage(HashMap<(Arc<str>, Arc<str>), (f64, Duration)>);

impl WanUsage {
    /// Records a transfer of `mb` megabytes from one data centre to another.
    pub fn record(&mut self, now: Duration, from: &Arc<str>, to: &Arc<str>, mb: f64) {
        let traffic = self.0.entry(link_key(from, to)).or_insert((0.0, now));
        *traffic = (decayed(*traffic, now) + mb, now);
    }

    /// Returns the megabytes a second that this box transfers between two data centres.
    pub fn rate(&self, now: Duration, a: &Arc<str>, b: &Arc<str>) -> f64 {
        let traffic = self.0.get(&link_key(a, b));
        traffic.map_or(0.0, |traffic| {
            decayed(*traffic, now) / AVERAGING_WINDOW.as_secs_f64()
        })
    }
}

/// Returns the key of a link, which carries both directions.
fn link_key(a: &Arc<str>, b: &Arc<str>) -> (Arc<str>, Arc<str>) {
    match a < b {
        true => (a.clone(), b.clone()),
        false => (b.clone(), a.clone()),
    }
}

fn decayed((mb, at): (f64, Duration), now: Duration) -> f64 {
    let age = now.saturating_sub(at).as_secs_f64();
    mb * (-age / AVERAGING_WINDOW.as_secs_f64()).exp()
}

//! Boxes tell each other their parts of the upstreams' loads, by datagrams. A
//! word that is lost is made good by the next.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ashgauge::question::Datagram;
use ashgauge::share::{self, Word};
use rand::Rng;
use tokio::time::sleep;

use super::desk::{Desk, Peer};
use super::peers::{self, Peers};
use super::quarantine;

/// Longest time without a word, so that the others know that this box is there.
const SILENT_MOST: Duration = Duration::from_millis(500);

/// Tells the other boxes, as long as the process runs.
pub async fn tell(desk: Rc<Desk>, peers: Rc<Peers>) {
    let boot = desk.rng().random();
    let (mut number, mut near, mut far) = (0, Told::default(), Told::default());
    loop {
        let others: Vec<Peer> = desk.peers.borrow().values().cloned().collect();
        let here = others.iter().filter(|p| p.near).count();
        let (near_time, far_time) = share::tell_times(here, others.len());
        sleep(near_time).await;
        let now = desk.now();
        desk.shares.borrow_mut().expire(now, others.len());
        let uses = uses(&desk);
        let to_near = near.is_due(now, near_time, &uses);
        let to_far = far.is_due(now, far_time, &uses);
        if !to_near && !to_far {
            continue;
        }
        number += 1;
        let mut word = Word {
            from: Arc::from(desk.settings().id.as_str()),
            boot,
            number,
            uses: uses.clone(),
            suspects: Vec::new(),
        };
        for (near, due, time) in [(true, to_near, near_time), (false, to_far, far_time)] {
            if !due {
                continue;
            }
            word.suspects = match share::tells_suspects(time) {
                true => suspects(&desk),
                false => Vec::new(),
            };
            let Some(bytes) = peers::encode(&Datagram::Load(word.clone())) else {
                continue;
            };
            let report = quarantine::report(&desk, number);
            for other in others.iter().filter(|p| p.near == near) {
                peers.send(other.addr, &bytes).await;
                if let Some(report) = &report {
                    peers.send(other.addr, report).await;
                }
            }
        }
        if to_near {
            near.note(now, &uses);
        }
        if to_far {
            far.note(now, &uses);
        }
    }
}

/// What some boxes were told last, and when.
#[derive(Default)]
struct Told {
    uses: Vec<(share::UpstreamKey, share::Use)>,
    at: Duration,
}

impl Told {
    /// Whether they are to be told again: after `time` if something changed.
    fn is_due(
        &self,
        now: Duration,
        time: Duration,
        uses: &[(share::UpstreamKey, share::Use)],
    ) -> bool {
        let age = now.saturating_sub(self.at);
        let news = self.uses != uses;
        age >= time.max(SILENT_MOST) || (news && age >= time)
    }

    fn note(&mut self, now: Duration, uses: &[(share::UpstreamKey, share::Use)]) {
        self.uses = uses.to_vec();
        self.at = now;
    }
}

/// Upstreams that this box found to be lost.
fn suspects(desk: &Desk) -> Vec<share::UpstreamKey> {
    let (roster, now) = (desk.roster.borrow(), desk.now());
    let suspects = roster.all().filter(|e| e.is_suspect(now));
    suspects.map(|e| share::key(&e.upstream.id)).collect()
}

/// What this box has on the upstreams that it uses.
fn uses(desk: &Desk) -> Vec<(share::UpstreamKey, share::Use)> {
    let (roster, now) = (desk.roster.borrow(), desk.now());
    let uses = roster
        .all()
        .map(|e| (share::key(&e.upstream.id), e.used(now)));
    let mut uses: Vec<_> = uses
        .filter(|(_, used)| *used != share::Use::default())
        .collect();
    uses.sort_unstable_by_key(|(key, _)| *key);
    uses
}

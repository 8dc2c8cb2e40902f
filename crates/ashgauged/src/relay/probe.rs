//! Checks whether upstreams still take connections.
//!
//! A crashed process refuses a connection at once and a machine without power
//! does not answer, so a connection tells within milliseconds which engine of
//! a silent chain is lost; the engines' own reports lag some hundred.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use ashgauge::chain::Stage;
use ashgauge::member::UpstreamId;
use tokio::net::TcpStream;
use tokio::sync::OnceCell;
use tokio::task::JoinSet;
use tokio::time::timeout;

use super::desk::Desk;

/// For a connection to come up; a healthy one takes under 2 ms.
const PROBE_TIME: Duration = Duration::from_millis(50);

/// How long a probe's result serves others that ask.
const SHARED_TIME: Duration = Duration::from_millis(200);

/// Results kept before old ones are cleared.
const KEPT_MOST: usize = 256;

type Result = Rc<OnceCell<bool>>;

/// Probes of the last moments, shared by all streams of the box.
#[derive(Default)]
pub struct Probes(RefCell<HashMap<String, (Duration, Result)>>);

/// Finds the engines of a chain that take no connection.
pub async fn find_dead(desk: &Rc<Desk>, stages: &[Stage]) -> Vec<UpstreamId> {
    let mut probes = JoinSet::new();
    for stage in stages {
        let id = stage.upstream.clone();
        let desk = desk.clone();
        probes.spawn_local(async move {
            let alive = is_alive(&desk, &id).await;
            (id, alive)
        });
    }
    let mut dead = Vec::new();
    while let Some(probed) = probes.join_next().await {
        // A probe neither panics nor is cancelled here.
        if let Ok((id, false)) = probed {
            dead.push(id);
        }
    }
    dead
}

/// Whether an upstream takes a connection; one that is gone does not.
async fn is_alive(desk: &Desk, id: &str) -> bool {
    let addr = {
        let roster = desk.roster.borrow();
        roster.get(id).map(|e| e.upstream.addr.clone())
    };
    let Some(addr) = addr else {
        return false;
    };
    let cell = desk.probes.cell(desk.now(), &addr);
    let probe = async {
        matches!(
            timeout(PROBE_TIME, TcpStream::connect(&addr)).await,
            Ok(Ok(_))
        )
    };
    *cell.get_or_init(|| probe).await
}

impl Probes {
    /// The probe of an address that is under way or was just made, else a new
    /// one.
    fn cell(&self, now: Duration, addr: &str) -> Result {
        let mut recent = self.0.borrow_mut();
        if recent.len() > KEPT_MOST {
            recent.retain(|_, (at, _)| now < *at + SHARED_TIME);
        }
        match recent.get(addr) {
            Some((at, cell)) if now < *at + SHARED_TIME => cell.clone(),
            _ => {
                let cell = Result::default();
                recent.insert(addr.into(), (now, cell.clone()));
                cell
            }
        }
    }
}

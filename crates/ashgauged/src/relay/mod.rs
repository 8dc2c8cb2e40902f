//! The relay: a box that forwards each request whole to an engine or a chain of engines.
//!
//! Where engines pass activations among themselves, the box selects the chain, copies the
//! response stream to the client and repairs the chain. It does not drive the single
//! stages. All tasks run on one thread: a box has a fraction of a core, and decisions
//! need no locks.

mod answers;
mod body;
mod capacity_wait;
mod clock;
mod codec;
mod dial;
mod egress;
mod event_forwarder;
mod fetch;
mod follow;
mod forecast;
mod forward;
mod levels;
mod liveness;
mod load_reporter;
mod log;
mod loss;
mod membership;
mod memory;
mod messaging;
mod metrics;
mod notice;
mod offers;
mod open;
mod orders;
mod peer_server;
mod peers;
mod permit;
mod pick;
mod placer;
mod plain_answer;
mod probe;
mod quarantine;
mod reach;
mod record;
mod recovery;
mod request;
mod retry;
mod round;
mod run_timeout;
mod select;
mod serve;
mod settings;
mod shared_state;
mod shedding;
mod state;
mod status;
mod stop;
mod stream;
mod stream_body;
mod suspicion;
mod task;
mod update_cache;

use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use eyre::{Result, WrapErr};
use serde_json::json;
use spdlog::Level;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;
use tokio::time::sleep;

use follow::StoreFollower;
use metrics::Metrics;
use peers::Peers;
use placer::Placer;
pub use settings::Settings;
use shared_state::SharedState;

/// Interval between checks whether the settings file has changed.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Runs the box until it receives a signal to stop.
///
/// # Errors
///
/// Fails if the settings are invalid or an address cannot be bound.
pub fn run(path: &Path) -> Result<()> {
    let settings = Settings::load(path)?;
    log::start(&settings.log, &settings.id)?;
    task::log_panics();
    if let Some(source) = settings.source {
        http::set_source(source);
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let local = LocalSet::new();
    let path = path.to_path_buf();
    local.block_on(&runtime, async move { serve(settings, &path).await })
}

async fn serve(settings: Settings, path: &Path) -> Result<()> {
    let caller_listener = bind(&settings.caller).await?;
    let ready_listener = bind(&settings.ready).await?;
    let metrics = match &settings.metrics {
        Some(addr) => Some(bind(addr).await?),
        None => None,
    };
    let fields = json!({
        "settings": settings.summary(),
        "caller": caller_listener.local_addr()?.to_string(),
        "ready": ready_listener.local_addr()?.to_string(),
        "metrics": metrics.as_ref().and_then(|m| m.local_addr().ok()).map(|a| a.to_string()),
    });
    log::event(Level::Info, "box", "started", fields);
    let shared = Rc::new(SharedState::new(settings, Metrics::new()?));
    let peers = Peers::start(&shared).await?;
    if let Some((peers, _)) = &peers {
        spawn_reports(&shared, peers);
    }
    StoreFollower::start(shared.clone(), peers);
    Placer::start(shared.clone());
    let state = shared.clone();
    task::spawn(&shared, "clock", move || {
        clock::watch_suspension(state.clone())
    });
    let state = shared.clone();
    task::spawn(&shared, "levels", move || {
        shedding::update_levels(state.clone())
    });
    let state = shared.clone();
    task::spawn(&shared, "memory", move || {
        memory::log_refusals(state.clone())
    });
    spawn_servers(&shared, caller_listener, ready_listener, metrics);
    wait_for_stop(&shared, path).await?;
    stop::run(&shared).await;
    Ok(())
}

/// Starts the tasks that report to the other boxes.
fn spawn_reports(shared: &Rc<SharedState>, peers: &Rc<Peers>) {
    let (state, to) = (shared.clone(), peers.clone());
    task::spawn(shared, "load reports", move || {
        load_reporter::broadcast(state.clone(), to.clone())
    });
    let (state, to) = (shared.clone(), peers.clone());
    task::spawn(shared, "loss reports", move || {
        quarantine::broadcast(state.clone(), to.clone())
    });
    let (state, to) = (shared.clone(), peers.clone());
    task::spawn(shared, "suspect reports", move || {
        suspicion::broadcast(state.clone(), to.clone())
    });
}

/// Starts the tasks that accept connections.
fn spawn_servers(
    shared: &Rc<SharedState>,
    callers: TcpListener,
    readiness: TcpListener,
    metrics: Option<TcpListener>,
) {
    let (state, listener) = (shared.clone(), Rc::new(callers));
    task::spawn(shared, "callers", move || {
        serve::accept(state.clone(), listener.clone())
    });
    let (state, listener) = (shared.clone(), Rc::new(readiness));
    task::spawn(shared, "readiness", move || {
        serve::serve_readiness(state.clone(), listener.clone())
    });
    let Some(listener) = metrics.map(Rc::new) else {
        return;
    };
    let state = shared.clone();
    task::spawn(shared, "metrics", move || {
        serve::serve_metrics(state.clone(), listener.clone())
    });
}

/// Waits for SIGTERM or SIGINT. Reloads the settings on SIGHUP and when the file has
/// changed.
async fn wait_for_stop(shared: &SharedState, path: &Path) -> Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    let mut hup = signal(SignalKind::hangup())?;
    let mut last_modified = modified_at(path);
    loop {
        tokio::select! {
            _ = term.recv() => return Ok(()),
            _ = int.recv() => return Ok(()),
            _ = hup.recv() => reload(shared, path),
            () = sleep(SETTINGS_POLL_INTERVAL) => {
                let now = modified_at(path);
                if now.is_some() && std::mem::replace(&mut last_modified, now) != now {
                    reload(shared, path);
                }
            }
        }
    }
}

/// Applies changed settings, as far as that is possible without a restart.
fn reload(shared: &SharedState, path: &Path) {
    match Settings::load(path) {
        Ok(new) => {
            let changed = new != *shared.settings();
            if changed {
                shared.reload(new);
            }
            log::event(Level::Info, "box", "reloaded", json!({"changed": changed}));
        }
        Err(e) => {
            let fields = json!({"kept": "the settings before", "fault": format!("{e:#}")});
            log::event(Level::Warn, "box", "not reloaded", fields);
        }
    }
}

/// Returns the modification time of the settings file, if it can be read.
fn modified_at(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).ok()?.modified().ok()
}

async fn bind(addr: &str) -> Result<TcpListener> {
    let result = TcpListener::bind(addr).await;
    result.wrap_err_with(|| format!("cannot listen on {addr}; free the port or set another"))
}

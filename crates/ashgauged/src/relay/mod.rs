//! A box that hands requests on whole.
//!
//! Where engines pass activations on among themselves, the box chooses the
//! chain, copies the answer and repairs the chain; it does not drive each
//! stage. Everything runs on one thread: a box has a fraction of a core, and
//! decisions need no locks.

mod body;
mod census;
mod clock;
mod desk;
mod dial;
mod fetch;
mod follow;
mod forecast;
mod forward;
mod gate;
mod levels;
mod log;
mod loss;
mod metrics;
mod notice;
mod open;
mod pack;
mod peers;
mod permit;
mod pick;
mod pieces;
mod place;
mod probe;
mod pump;
mod quarantine;
mod record;
mod recovery;
mod request;
mod retry;
mod select;
mod serve;
mod settings;
mod state;
mod status;
mod stream;
mod suspicion;
mod tell;
mod turn;

use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use eyre::{Result, WrapErr};
use serde_json::json;
use spdlog::Level;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep};

use desk::Desk;
use follow::Follower;
use metrics::Metrics;
use peers::Peers;
use place::Placer;
pub use settings::Settings;

/// How long callers may still be sent here after the box said that it is not
/// ready: the balancer asks every second and believes the second no. Requests
/// that come later, on kept connections, are refused.
const BALANCER_TIME: Duration = Duration::from_millis(2600);

/// How long there must be no request before the process ends, so that the
/// last answer is out.
const QUIET_TIME: Duration = Duration::from_millis(150);

/// Time kept between the last answer and the kill.
const KILL_MARGIN: Duration = Duration::from_millis(700);

/// Time between two looks whether the settings file has changed.
const FILE_EVERY: Duration = Duration::from_secs(2);

/// Time between two looks whether the last request has ended.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// Runs the box until it is told to stop.
///
/// # Errors
///
/// Fails if the settings are wrong or an address cannot be bound.
pub fn run(path: &Path) -> Result<()> {
    let settings = Settings::load(path)?;
    log::start(&settings.log, &settings.id)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let local = LocalSet::new();
    let path = path.to_path_buf();
    local.block_on(&runtime, async move { serve(settings, &path).await })
}

async fn serve(settings: Settings, path: &Path) -> Result<()> {
    let callers = bind(&settings.caller).await?;
    let ready = bind(&settings.ready).await?;
    let metrics = match &settings.metrics {
        Some(addr) => Some(bind(addr).await?),
        None => None,
    };
    let fields = json!({
        "settings": settings.summary(),
        "caller": callers.local_addr()?.to_string(),
        "ready": ready.local_addr()?.to_string(),
        "metrics": metrics.as_ref().and_then(|m| m.local_addr().ok()).map(|a| a.to_string()),
    });
    log::line(Level::Info, "box", "started", fields);
    let desk = Rc::new(Desk::new(settings, Metrics::new()?));
    let peers = Peers::start(&desk).await?;
    if let Some((peers, _)) = &peers {
        tokio::task::spawn_local(tell::tell(desk.clone(), peers.clone()));
        tokio::task::spawn_local(quarantine::tell(desk.clone(), peers.clone()));
        tokio::task::spawn_local(suspicion::tell(desk.clone(), peers.clone()));
    }
    Follower::start(desk.clone(), peers);
    Placer::start(desk.clone());
    tokio::task::spawn_local(clock::watch(desk.clone()));
    tokio::task::spawn_local(gate::watch(desk.clone()));
    tokio::task::spawn_local(serve::accept(desk.clone(), callers));
    tokio::task::spawn_local(serve::answer_ready(desk.clone(), ready));
    if let Some(listener) = metrics {
        tokio::task::spawn_local(serve::answer_metrics(desk.clone(), listener));
    }
    wait_for_stop(&desk, path).await?;
    stop(&desk).await;
    Ok(())
}

/// Waits for the signal to stop; a hang-up reads the settings again.
async fn wait_for_stop(desk: &Desk, path: &Path) -> Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    let mut hup = signal(SignalKind::hangup())?;
    let mut changed = changed_at(path);
    loop {
        tokio::select! {
            _ = term.recv() => return Ok(()),
            _ = int.recv() => return Ok(()),
            _ = hup.recv() => reload(desk, path),
            () = sleep(FILE_EVERY) => {
                let now = changed_at(path);
                if now.is_some() && std::mem::replace(&mut changed, now) != now {
                    reload(desk, path);
                }
            }
        }
    }
}

/// Puts changed settings in force, as far as that goes without a new start.
fn reload(desk: &Desk, path: &Path) {
    match Settings::load(path) {
        Ok(new) => {
            let changed = new != *desk.settings();
            if changed {
                desk.reload(new);
            }
            log::line(Level::Info, "box", "reloaded", json!({"changed": changed}));
        }
        Err(e) => {
            let fields = json!({"kept": "the settings before", "fault": format!("{e:#}")});
            log::line(Level::Warn, "box", "not reloaded", fields);
        }
    }
}

/// When the settings file was last changed, if that can be told.
fn changed_at(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).ok()?.modified().ok()
}

/// Ends the requests under way, within the time that is left.
async fn stop(desk: &Desk) {
    let began = Instant::now();
    desk.stopping.set(true);
    let most = desk.settings().stop_time();
    let most = most.saturating_sub(KILL_MARGIN);
    log::line(
        Level::Info,
        "box",
        "stopping",
        json!({"inflight": desk.inflight.get()}),
    );
    sleep(BALANCER_TIME.min(most)).await;
    desk.stopped.set(true);
    let mut busy = Instant::now();
    while busy.elapsed() < QUIET_TIME && began.elapsed() < most {
        sleep(LOOK_EVERY).await;
        if desk.inflight.get() > 0 {
            busy = Instant::now();
        }
    }
    let fields = json!({"cut": desk.inflight.get(), "ms": began.elapsed().as_millis() as u64});
    log::line(Level::Info, "box", "stopped", fields);
    log::flush();
}

async fn bind(addr: &str) -> Result<TcpListener> {
    let bound = TcpListener::bind(addr).await;
    bound.wrap_err_with(|| format!("cannot listen on {addr}; free the port or set another"))
}

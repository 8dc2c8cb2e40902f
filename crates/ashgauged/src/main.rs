//! `ashgauged`: the ashgauge daemon, which runs one box of the fleet.

mod actor;
mod handle;
mod io;
mod metrics;
mod relay;
mod settings;
mod timeline;

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use eyre::{Result, WrapErr, bail, eyre};
use lexopt::prelude::*;
use ractor::{Actor, ActorStatus};
use spdlog::sink::{StdStream, StdStreamSink};
use spdlog::{LevelFilter, Logger, info, warn};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::actor::{Msg, NodeActor, NodeArgs};
use crate::handle::NodeHandle;
use crate::settings::Settings;
use crate::timeline::Timeline;

const HELP: &str = "\
usage: ashgauged [relay] --settings FILE [--check]

  relay            forward whole requests, on the users' platform; without it
                   the box runs each stage itself
  --settings FILE  settings in JSON; docs/OPERATIONS.md lists them
  --check          check the settings and exit: 0 if they are valid, 2 if not
  --version        print the version

On SIGTERM the box admits no more requests, completes those in flight and exits.";

struct Args {
    relay: bool,
    settings: PathBuf,
    check: bool,
}

fn main() {
    let code = match run_command() {
        Ok(()) => 0,
        Err(e) => {
            eprintln!("ashgauged: {e:#}");
            2
        }
    };
    std::process::exit(code);
}

fn run_command() -> Result<()> {
    let args = parse_args()?;
    if args.relay {
        return start_relay(&args);
    }
    let settings = Settings::load(&args.settings)?;
    if args.check {
        println!("settings are fine: {}", settings.summary());
        return Ok(());
    }
    log_to_stderr(&settings)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .worker_threads(settings.threads)
        .build()?;
    runtime.block_on(run_node(settings))
}

fn start_relay(args: &Args) -> Result<()> {
    if args.check {
        let settings = relay::Settings::load(&args.settings)?;
        println!("settings are fine: {}", settings.summary());
        return Ok(());
    }
    relay::run(&args.settings)
}

async fn run_node(settings: Settings) -> Result<()> {
    let callers = bind(&settings.caller).await?;
    let operators = bind(&settings.operator).await?;
    let operator_credential = settings.operator_credential.load("operator_credential")?;
    let peer_credential = settings.peer_credential.load("peer_credential")?;
    let timeline = Arc::new(Timeline::new(&settings)?);
    let (connector, inbox) = handle::peer_inbox();
    let peer_inbox = inbox.clone();
    let deliver = move |envelope| peer_inbox.deliver(envelope);
    let served = peer::serve(&settings.peer, &peer_credential, deliver).await;
    let (peer_addr, server) = served.map_err(|e| eyre!("{e}"))?;
    let config = settings.node_config(&peer_addr.to_string());
    let instance_id = config.instance_id();
    let args = NodeArgs {
        config,
        settings: settings.clone(),
        peers: peer::PeerClient::new(&peer_credential),
        timeline: timeline.clone(),
    };
    let (node, task) = Actor::spawn(None, NodeActor, args).await?;
    connector.connect(node.clone());
    let node_handle = Arc::new(NodeHandle::new(node.clone(), instance_id, timeline));
    let (stop, stopped) = watch::channel(false);
    print_addresses(&settings, &callers, &operators, &peer_addr.to_string())?;
    let limits = settings.caller_limits();
    let caller_server = tokio::spawn(caller::listen(
        callers,
        limits,
        stopped.clone(),
        node_handle.clone(),
    ));
    let operator_server = operator::listen(operators, operator_credential, stopped, node_handle);
    let operator_server = tokio::spawn(operator_server);
    drain_on_stop(&node, Duration::from_millis(settings.timing.drain_ms)).await;
    let failed = matches!(
        node.get_status(),
        ActorStatus::Stopping | ActorStatus::Stopped
    );
    let _ = stop.send(true);
    // Gives answers that are ready time to be sent.
    let _ = tokio::time::timeout(Duration::from_secs(2), caller_server).await;
    operator_server.abort();
    let _ = server.stop();
    node.stop(None);
    let _ = task.await;
    if failed {
        bail!("the node's task ended unexpectedly; restart the box and report the log");
    }
    info!("box: stopped");
    Ok(())
}

/// Sends logs to standard error, as standard output carries only the addresses.
fn log_to_stderr(settings: &Settings) -> Result<()> {
    let sink = StdStreamSink::builder()
        .std_stream(StdStream::Stderr)
        .build()?;
    let logger = Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(settings.log_level()?)
        .flush_level_filter(LevelFilter::All)
        .build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Waits for the stop signal, then drains the node for at most `timeout`.
async fn drain_on_stop(node: &ractor::ActorRef<Msg>, timeout: Duration) {
    handle::wait_for_signal(node).await;
    info!("box: draining");
    let _ = node.cast(Msg::Event(ashgauge::Event::Drain));
    let drained = async {
        while !handle::is_drained(node).await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    if tokio::time::timeout(timeout, drained).await.is_err() {
        let remaining = handle::inflight(node).await;
        warn!("box: drain timed out; {remaining} requests cut off");
    }
}

async fn bind(addr: &str) -> Result<TcpListener> {
    let listener = TcpListener::bind(addr).await;
    listener.wrap_err_with(|| format!("cannot listen on {addr}; free the port or set another"))
}

/// Prints the bound addresses as one JSON line, for the process that started the box.
fn print_addresses(
    settings: &Settings,
    callers: &TcpListener,
    operators: &TcpListener,
    peer: &str,
) -> Result<()> {
    let line = serde_json::json!({
        "id": settings.id,
        "caller": callers.local_addr()?.to_string(),
        "operator": operators.local_addr()?.to_string(),
        "peer": peer,
    });
    println!("{line}");
    Ok(())
}

fn parse_args() -> Result<Args> {
    let mut settings = None;
    let mut check = false;
    let mut relay = false;
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("settings") => settings = Some(PathBuf::from(parser.value()?)),
            Long("check") => check = true,
            Value(word) if word == "relay" => relay = true,
            Long("help") | Short('h') => {
                println!("{HELP}");
                std::process::exit(0);
            }
            Long("version") => {
                println!("ashgauged {}", env!("CARGO_PKG_VERSION"));
                std::process::exit(0);
            }
            _ => return Err(arg.unexpected().into()),
        }
    }
    let settings = settings.ok_or_else(|| eyre!("--settings FILE is missing\n{HELP}"))?;
    Ok(Args {
        relay,
        settings,
        check,
    })
}

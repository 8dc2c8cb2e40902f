//! Tasks that last as long as the process, and panics of any task.
//!
//! A task that ends by a panic takes its duty along: without placement, following or reports a
//! box seems well and serves nothing. So such tasks are started again, and each panic is logged
//! and counted.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::panic::PanicHookInfo;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use serde::Serialize;
use serde_json::json;
use spdlog::Level;
use tokio::time::sleep;

use super::log;
use super::shared_state::SharedState;

/// Name of a task.
pub type TaskName = &'static str;

/// Delay before a task that has ended by a panic is started again. It doubles while the task ends
/// soon after its start.
const MIN_RESTART_DELAY: Duration = Duration::from_millis(100);
const MAX_RESTART_DELAY: Duration = Duration::from_millis(1600);

/// Time for which a task must run for the next delay to be the shortest one.
const STEADY_TIME: Duration = Duration::from_secs(10);

/// Number of panics of this process.
static PANICS: AtomicU64 = AtomicU64::new(0);

/// State of a task that should last as long as the process.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct TaskStatus {
    /// Name of the task.
    pub name: TaskName,
    /// Whether it runs.
    pub alive: bool,
    /// Number of times that it has ended by a panic.
    pub panics: u64,
}

/// The tasks that should last as long as the process.
#[derive(Debug, Default)]
pub struct Tasks {
    statuses: RefCell<BTreeMap<TaskName, TaskStatus>>,
    /// Notifies the tasks that one of them is to panic, for tests.
    #[cfg(debug_assertions)]
    faults: tokio::sync::watch::Sender<String>,
}

impl Tasks {
    /// Returns the state of all tasks, by name.
    pub fn statuses(&self) -> Vec<TaskStatus> {
        self.statuses.borrow().values().copied().collect()
    }

    /// Returns how many tasks have ended.
    pub fn ended(&self) -> usize {
        let tasks = self.statuses.borrow();
        tasks.values().filter(|task| !task.alive).count()
    }

    fn update(&self, name: TaskName, change: impl FnOnce(&mut TaskStatus)) {
        let mut tasks = self.statuses.borrow_mut();
        let status = tasks.entry(name).or_insert(TaskStatus {
            name,
            alive: true,
            panics: 0,
        });
        change(status);
    }
}

/// Starts a task that lasts as long as the process. After a panic it is started again, by another
/// call of `start`; a task that ends by itself is not.
pub fn spawn<F>(shared: &Rc<SharedState>, name: TaskName, start: impl Fn() -> F + 'static)
where
    F: Future<Output = ()> + 'static,
{
    let shared = shared.clone();
    tokio::task::spawn_local(async move {
        let mut delay = MIN_RESTART_DELAY;
        loop {
            shared.tasks.update(name, |status| status.alive = true);
            let began = Instant::now();
            let task = with_faults(shared.clone(), name, start());
            let has_panicked = tokio::task::spawn_local(task).await.is_err();
            shared.tasks.update(name, |status| {
                status.alive = false;
                status.panics += u64::from(has_panicked);
            });
            let fields = json!({"task": name, "panicked": has_panicked});
            log::event(Level::Error, "task", "ended", fields);
            if !has_panicked {
                return;
            }
            if began.elapsed() >= STEADY_TIME {
                delay = MIN_RESTART_DELAY;
            }
            sleep(delay).await;
            delay = (delay * 2).min(MAX_RESTART_DELAY);
        }
    });
}

/// Runs a task until it ends, or until a test makes it panic.
#[cfg(debug_assertions)]
async fn with_faults(shared: Rc<SharedState>, name: TaskName, task: impl Future<Output = ()>) {
    let mut faults = shared.tasks.faults.subscribe();
    let fault = async {
        // The sender lives as long as the shared state.
        let _ = faults.wait_for(|fault| fault == name).await;
    };
    tokio::select! {
        () = task => {}
        () = fault => {
            shared.tasks.faults.send_replace(String::new());
            panic!("a test lets the task `{name}` panic");
        }
    }
}

#[cfg(not(debug_assertions))]
async fn with_faults(_: Rc<SharedState>, _: TaskName, task: impl Future<Output = ()>) {
    task.await;
}

/// Lets a task panic, in a build for tests.
#[cfg(debug_assertions)]
pub fn inject_panic(shared: &SharedState, name: &str) {
    shared.tasks.faults.send_replace(name.into());
}

/// Logs and counts each panic of any task, in addition to what the process does by default.
pub fn log_panics() {
    let default_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        PANICS.fetch_add(1, Ordering::Relaxed);
        log_panic(panic);
        default_hook(panic);
    }));
}

fn log_panic(panic: &PanicHookInfo) {
    let at = panic.location().map(|at| format!("{at}"));
    let payload = panic.payload();
    let text = payload.downcast_ref::<&str>().copied();
    let text = text.or_else(|| payload.downcast_ref::<String>().map(String::as_str));
    let fields = json!({"at": at, "cause": text});
    log::event(Level::Error, "task", "panicked", fields);
}

/// Returns the number of panics of this process.
pub fn panics() -> u64 {
    PANICS.load(Ordering::Relaxed)
}

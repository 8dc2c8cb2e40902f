//! Tasks that last as long as the process, by name, and panics of any task.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::panic::PanicHookInfo;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};

use serde::Serialize;
use serde_json::json;
use spdlog::Level;

use super::log;
use super::shared_state::SharedState;

/// Name of a task.
pub type TaskName = &'static str;

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
pub struct Tasks(RefCell<BTreeMap<TaskName, TaskStatus>>);

impl Tasks {
    /// Returns the state of all tasks, by name.
    pub fn statuses(&self) -> Vec<TaskStatus> {
        self.0.borrow().values().copied().collect()
    }

    /// Returns how many tasks have ended.
    pub fn ended(&self) -> usize {
        let tasks = self.0.borrow();
        tasks.values().filter(|task| !task.alive).count()
    }

    fn update(&self, name: TaskName, change: impl FnOnce(&mut TaskStatus)) {
        let mut tasks = self.0.borrow_mut();
        let status = tasks.entry(name).or_insert(TaskStatus {
            name,
            alive: true,
            panics: 0,
        });
        change(status);
    }
}

/// Starts a task that lasts as long as the process, and logs its end.
pub fn spawn(shared: &Rc<SharedState>, name: TaskName, task: impl Future<Output = ()> + 'static) {
    let shared = shared.clone();
    shared.tasks.update(name, |status| status.alive = true);
    tokio::task::spawn_local(async move {
        let end = tokio::task::spawn_local(task).await;
        let has_panicked = end.is_err();
        shared.tasks.update(name, |status| {
            status.alive = false;
            status.panics += u64::from(has_panicked);
        });
        let fields = json!({"task": name, "panicked": has_panicked});
        log::event(Level::Error, "task", "ended", fields);
    });
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

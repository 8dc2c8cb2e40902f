//! Child processes, and polling for their effects.

use std::fs::File;
use std::future::Future;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use eyre::{Result, WrapErr, bail, eyre};
use http::{Client, Full};
use hyper::{Method, Request};
use standin::link::Mode;

/// Time-out of [`wait_until`]; only a failing test reaches it.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A child process, killed when dropped.
pub struct Process {
    child: Child,
    lines: Option<BufReader<std::process::ChildStdout>>,
}

/// A fault-injecting TCP proxy with its control port.
pub struct Link {
    /// The process.
    pub process: Process,
    /// Address on which the proxy listens.
    pub addr: String,
    control: String,
}

/// Finds a program of this workspace in the directories above the running
/// test's executable.
pub fn binary(name: &str) -> Result<PathBuf> {
    let exe = std::env::current_exe()?;
    let mut dirs = exe.ancestors().skip(1);
    let found = dirs.find_map(|d| Some(d.join(name)).filter(|p| p.is_file()));
    found.ok_or_else(|| eyre!("program {name} is not built; run cargo build --workspace first"))
}

/// Polls `test` until it returns a value.
///
/// # Errors
///
/// Fails with a message that names `what` after 30 s.
pub async fn wait_until<T, F>(what: &str, mut test: impl FnMut() -> F) -> Result<T>
where
    F: Future<Output = Option<T>>,
{
    let until = Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some(value) = test().await {
            return Ok(value);
        }
        if Instant::now() > until {
            bail!("timed out waiting for {what}");
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

impl Process {
    /// Starts a program of this workspace.
    pub fn start(name: &str, args: &[String]) -> Result<Self> {
        let mut command = Command::new(binary(name)?);
        command
            .args(args)
            // Stand-ins break connections by panicking; printing a backtrace would
            // delay that by 0.1 s.
            .env("RUST_BACKTRACE", "0")
            .stdin(Stdio::null())
            .stdout(Stdio::piped());
        if std::env::var_os("PROOF_LOGS").is_none() {
            command.stderr(Stdio::null());
        }
        let mut child = command
            .spawn()
            .wrap_err_with(|| format!("cannot start {name}"))?;
        let stdout = child
            .stdout
            .take()
            .ok_or_else(|| eyre!("standard output of {name} is not captured"))?;
        Ok(Process {
            child,
            lines: Some(BufReader::new(stdout)),
        })
    }

    /// Reads the next line of the process's standard output.
    pub fn line(&mut self) -> Result<String> {
        let mut line = String::new();
        let lines = self.lines.as_mut();
        let lines = lines.ok_or_else(|| eyre!("standard output is already redirected"))?;
        lines.read_line(&mut line)?;
        if line.is_empty() {
            bail!("the process exited before it printed a line");
        }
        Ok(line.trim().into())
    }

    /// Appends the rest of the standard output to a file, so that the process
    /// never blocks on a full pipe.
    pub fn drain_to(&mut self, file: &Path) -> Result<()> {
        let lines = self.lines.take();
        let mut lines = lines.ok_or_else(|| eyre!("standard output is already redirected"))?;
        let mut file = File::options().create(true).append(true).open(file)?;
        std::thread::spawn(move || std::io::copy(&mut lines, &mut file));
        Ok(())
    }

    /// Discards the rest of the standard output, so that the process never blocks
    /// on a full pipe. If `PROOF_LOGS` is set in the environment, the output goes
    /// to standard error instead.
    pub fn drain(&mut self) -> Result<()> {
        let lines = self.lines.take();
        let mut lines = lines.ok_or_else(|| eyre!("standard output is already redirected"))?;
        let shown = std::env::var_os("PROOF_LOGS").is_some();
        std::thread::spawn(move || match shown {
            true => std::io::copy(&mut lines, &mut std::io::stderr()),
            false => std::io::copy(&mut lines, &mut std::io::sink()),
        });
        Ok(())
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, such as `TERM`, `STOP` or `CONT`.
    pub fn signal(&self, name: &str) -> Result<()> {
        let id = self.child.id().to_string();
        let status = Command::new("kill")
            .args([&format!("-{name}"), &id])
            .status()?;
        if !status.success() {
            bail!("kill -{name} {id} failed");
        }
        Ok(())
    }

    /// Kills the process with `SIGKILL` and reaps it.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for the process to exit and returns its exit code.
    pub async fn ended(&mut self) -> Result<i32> {
        let child = std::sync::Mutex::new(&mut self.child);
        let status = wait_until("the end of a process", || async {
            child.lock().ok()?.try_wait().ok()?
        });
        status
            .await?
            .code()
            .ok_or_else(|| eyre!("the process was killed by a signal"))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Link {
    /// Starts a link that forwards to the address `to`.
    pub fn start(to: &str) -> Result<Self> {
        let args = ["link", "--to", to].map(String::from);
        let mut process = Process::start("standin", &args)?;
        Ok(Link {
            addr: process.line()?,
            control: process.line()?,
            process,
        })
    }

    /// Sets the faults that the link injects.
    pub async fn set(&self, mode: Mode) -> Result<()> {
        put(&self.control, "/admin/mode", &mode).await
    }

    /// Clears all faults of the link.
    pub async fn heal(&self) -> Result<()> {
        self.set(Mode::default()).await
    }
}

/// Sends a JSON value to a stand-in by `PUT`.
pub async fn put(addr: &str, path: &str, value: &impl serde::Serialize) -> Result<()> {
    let mut request = Request::new(Full::new(serde_json::to_vec(value)?.into()));
    *request.method_mut() = Method::PUT;
    *request.uri_mut() = path.parse()?;
    request.headers_mut().insert("host", "standin".parse()?);
    let client = Client::new(Duration::from_secs(2));
    let answer = client.send(addr, request, Duration::from_secs(5)).await?;
    if !answer.status().is_success() {
        bail!("{addr}{path} answered {}", answer.status());
    }
    Ok(())
}

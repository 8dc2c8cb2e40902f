//! Temporary directories of test fleets.

use std::io::ErrorKind;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};

use eyre::Result;

/// Number that is part of the next directory name that this process tries.
static NEXT_NUMBER: AtomicU64 = AtomicU64::new(0);

/// A new directory in the system's temporary directory, removed with its
/// contents when dropped, unless `PROOF_KEEP` is set in the environment.
///
/// Names come from the process id and a counter. Names taken from the time of
/// day collide: threads that start at once read the same nanosecond 5 times in
/// 20,000. Two fleets that share a directory overwrite each other's records,
/// and the first to be dropped removes the files of both.
///
/// ```
/// use proof::Folder;
///
/// let folder = Folder::new("example")?;
/// std::fs::write(folder.path().join("a"), "1")?;
/// # Ok::<(), eyre::Report>(())
/// ```
pub struct Folder {
    path: PathBuf,
}

impl Folder {
    /// Creates a directory whose name begins with `ashgauge-` and `name`.
    ///
    /// # Errors
    ///
    /// Fails if the system's temporary directory is not writable.
    pub fn new(name: &str) -> Result<Self> {
        loop {
            let path = next_path(name);
            match std::fs::create_dir(&path) {
                Ok(()) => return Ok(Folder { path }),
                // Left over from an earlier process with the same id.
                Err(e) if e.kind() == ErrorKind::AlreadyExists => {}
                Err(e) => return Err(e.into()),
            }
        }
    }

    /// Returns the path of the directory.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("PROOF_KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.path);
        }
    }
}

fn next_path(name: &str) -> PathBuf {
    let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
    let id = std::process::id();
    std::env::temp_dir().join(format!("ashgauge-{name}-{id}-{number}"))
}

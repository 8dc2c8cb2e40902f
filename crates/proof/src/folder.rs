//! Folders of fleets.

use std::io::ErrorKind;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};

use eyre::Result;

/// Folders that this process asked for so far.
static ASKED: AtomicU64 = AtomicU64::new(0);

/// A new folder among the system's temporary ones; dropped, it is removed with
/// all that lies in it.
///
/// Two owners of one folder overwrite each other's records, and the first to
/// end removes both; the time of day does not tell owners apart (threads that
/// start at once read the same nanosecond 5 times in 20,000).
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
    /// Makes a folder whose name begins with `ashgauge-` and `name`.
    ///
    /// # Errors
    ///
    /// Fails where the system's temporary folder cannot be written.
    pub fn new(name: &str) -> Result<Self> {
        loop {
            let path = next(name);
            match std::fs::create_dir(&path) {
                Ok(()) => return Ok(Folder { path }),
                // Left behind by an earlier process of the same id.
                Err(e) if e.kind() == ErrorKind::AlreadyExists => {}
                Err(e) => return Err(e.into()),
            }
        }
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.path);
    }
}

fn next(name: &str) -> PathBuf {
    let number = ASKED.fetch_add(1, Ordering::Relaxed);
    let id = std::process::id();
    std::env::temp_dir().join(format!("ashgauge-{name}-{id}-{number}"))
}

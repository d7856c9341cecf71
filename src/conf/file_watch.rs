//! A settings file that may change while the process runs, with or without a signal.

use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

/// How often the file is looked at when no signal says that it changed. It has a few kilobytes;
/// nothing in it decides about single calls.
const LOOK: Duration = Duration::from_secs(5);

/// The file as it was last seen.
#[derive(Clone, Debug)]
pub struct FileWatch {
    path: PathBuf,
    seen: String,
    failure: Option<io::ErrorKind>,
}

impl FileWatch {
    /// Watches a file whose present text has been read already.
    pub fn new(path: PathBuf, seen: String) -> Self {
        Self {
            path,
            seen,
            failure: None,
        }
    }

    /// Where the file is.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Waits until the file is to be looked at again.
    pub async fn due(&self) {
        tokio::time::sleep(LOOK).await;
    }

    /// The text of the file if it is another one than before. Each text is answered once, so that
    /// one that cannot be used is told of once.
    ///
    /// # Errors
    /// When the file cannot be read; the same failure is told once until it is over.
    pub fn changed(&mut self) -> io::Result<Option<String>> {
        let text = match std::fs::read_to_string(&self.path) {
            Ok(text) => text,
            Err(error) if self.failure == Some(error.kind()) => return Ok(None),
            Err(error) => {
                self.failure = Some(error.kind());
                return Err(error);
            }
        };
        self.failure = None;
        if text == self.seen {
            return Ok(None);
        }
        self.seen.clone_from(&text);
        Ok(Some(text))
    }
}

//! Detects changes of a settings file while the process runs, with or without a signal.

use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

/// How often the file is read if no signal announces a change. The file has a few kilobytes, and no
/// single call depends on its contents.
const POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Watches a file by comparing its text with the one last read.
#[derive(Clone, Debug)]
pub struct FileWatch {
    path: PathBuf,
    last_text: String,
    last_error: Option<io::ErrorKind>,
}

impl FileWatch {
    /// Watches a file whose current text has already been read.
    pub fn new(path: PathBuf, last_text: String) -> Self {
        Self {
            path,
            last_text,
            last_error: None,
        }
    }

    /// The path of the file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Waits until the file is to be read again.
    pub async fn due(&self) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }

    /// The text of the file if it has changed. Each change is returned once, so that an invalid
    /// text is reported once.
    ///
    /// # Errors
    /// When the file cannot be read. Consecutive errors of the same kind are returned once.
    pub fn changed(&mut self) -> io::Result<Option<String>> {
        let text = match std::fs::read_to_string(&self.path) {
            Ok(text) => text,
            Err(error) if self.last_error == Some(error.kind()) => return Ok(None),
            Err(error) => {
                self.last_error = Some(error.kind());
                return Err(error);
            }
        };
        self.last_error = None;
        if text == self.last_text {
            return Ok(None);
        }
        self.last_text.clone_from(&text);
        Ok(Some(text))
    }
}

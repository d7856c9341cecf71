//! Writes the log in a thread of its own.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::RecvTimeoutError;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::time::Duration;

/// The maximum number of queued lines: a few hundred kilobytes, or several seconds of a busy node.
const MAX_QUEUED_LINES: usize = 2_048;
/// How long the thread collects further lines after the first one of a batch. Waking the thread for
/// each line costs more than writing it.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);
/// How long a flush waits, as when the program ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

enum Command {
    Line(String),
    Flush(SyncSender<()>),
}

/// A bounded queue to the writing thread.
///
/// If the reader of the log stops reading, a write to it blocks indefinitely. Only the writing
/// thread then blocks. The queue fills, and further lines are counted and dropped.
#[derive(Clone)]
pub struct LogWriter {
    commands: SyncSender<Command>,
    dropped: Arc<AtomicU64>,
}

impl LogWriter {
    /// Starts the thread. It ends when the last clone of the writer is dropped.
    ///
    /// # Errors
    /// When no thread can be started.
    pub fn start(out: impl Write + Send + 'static) -> std::io::Result<Self> {
        let (commands, receiver) = sync_channel(MAX_QUEUED_LINES);
        let builder = std::thread::Builder::new().name("log".to_owned());
        builder.spawn(move || write_all(out, &receiver))?;
        Ok(Self {
            commands,
            dropped: Arc::default(),
        })
    }

    /// Queues a line without blocking. If the queue is full, the line is dropped and counted.
    pub fn write(&self, line: String) {
        if self.commands.try_send(Command::Line(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the number of lines dropped since the last call and resets it.
    pub fn take_dropped(&self) -> u64 {
        self.dropped.swap(0, Ordering::Relaxed)
    }

    /// Waits until all queued lines are written, for at most 300 ms.
    pub fn flush(&self) {
        let (done, acknowledged) = sync_channel(1);
        if self.commands.try_send(Command::Flush(done)).is_err() {
            return;
        }
        match acknowledged.recv_timeout(FLUSH_TIMEOUT) {
            // The reader has stopped reading, so the timeout cannot be reported either.
            Ok(()) | Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => {}
        }
    }
}

fn write_all(mut out: impl Write, receiver: &Receiver<Command>) {
    while let Ok(command) = receiver.recv() {
        let mut text = String::new();
        let mut flushed = append(command, &mut text);
        if flushed.is_none() {
            std::thread::sleep(BATCH_INTERVAL);
        }
        while let Ok(command) = receiver.try_recv() {
            flushed = append(command, &mut text).or(flushed);
        }
        // A failure to write the log cannot be reported anywhere else.
        let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
        if let Some(done) = flushed {
            let _ = done.try_send(());
        }
    }
}

fn append(command: Command, text: &mut String) -> Option<SyncSender<()>> {
    match command {
        Command::Line(line) => {
            text.push_str(&line);
            text.push('\n');
            None
        }
        Command::Flush(done) => Some(done),
    }
}

//! The thread that writes the log.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::RecvTimeoutError;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::time::Duration;

/// Lines that wait to be written: a few hundred kilobytes, and some seconds of a busy node.
const MOST_WAITING: usize = 2_048;
/// After a line has been written further ones are collected for this long: a wake-up for each line costs
/// more than the line.
const COLLECT: Duration = Duration::from_millis(100);
/// How long the end of the program waits for the last lines.
const FLUSH_WITHIN: Duration = Duration::from_millis(300);

enum Order {
    Line(String),
    Flush(SyncSender<()>),
}

/// A bounded queue to one writing thread.
///
/// Guards against a reader of the log that stops reading: a write then blocks for good, and with it
/// whoever writes. Here that is only the thread; the queue fills, and what does not fit any more is
/// counted and left out.
#[derive(Clone)]
pub struct LogWriter {
    orders: SyncSender<Order>,
    dropped: Arc<AtomicU64>,
}

impl LogWriter {
    /// Starts the thread. It ends with the last writer.
    ///
    /// # Errors
    /// When no thread can be started.
    pub fn start(out: impl Write + Send + 'static) -> std::io::Result<Self> {
        let (orders, waiting) = sync_channel(MOST_WAITING);
        let builder = std::thread::Builder::new().name("log".to_owned());
        builder.spawn(move || write_all(out, &waiting))?;
        Ok(Self {
            orders,
            dropped: Arc::default(),
        })
    }

    /// Hands a line over, without ever waiting.
    pub fn write(&self, line: String) {
        if self.orders.try_send(Order::Line(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// How many lines were dropped since this was last asked.
    pub fn take_dropped(&self) -> u64 {
        self.dropped.swap(0, Ordering::Relaxed)
    }

    /// Waits a little until what was handed over is written.
    pub fn flush(&self) {
        let (done, told) = sync_channel(1);
        if self.orders.try_send(Order::Flush(done)).is_err() {
            return;
        }
        match told.recv_timeout(FLUSH_WITHIN) {
            // Nobody reads: there is nowhere to say so.
            Ok(()) | Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => {}
        }
    }
}

fn write_all(mut out: impl Write, waiting: &Receiver<Order>) {
    while let Ok(order) = waiting.recv() {
        let mut text = String::new();
        let mut flushed = take(order, &mut text);
        if flushed.is_none() {
            std::thread::sleep(COLLECT);
        }
        while let Ok(order) = waiting.try_recv() {
            flushed = take(order, &mut text).or(flushed);
        }
        // A log that cannot be written has no other place to complain.
        let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
        if let Some(done) = flushed {
            let _ = done.try_send(());
        }
    }
}

fn take(order: Order, text: &mut String) -> Option<SyncSender<()>> {
    match order {
        Order::Line(line) => {
            text.push_str(&line);
            text.push('\n');
            None
        }
        Order::Flush(done) => Some(done),
    }
}

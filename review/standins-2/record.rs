//! What was sent, answered and run, written to `record.txt`.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    begun: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn new(path: &Path) -> Self {
        Self {
            begun: Instant::now(),
            file: Mutex::new(File::create(path).expect("record.txt")),
        }
    }

    pub fn line(&self, text: &str) {
        let at = self.begun.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("record");
        let _ = writeln!(file, "{at:8.3} s  {text}");
    }
}

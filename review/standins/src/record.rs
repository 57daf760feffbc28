//! What was sent, answered and run, with the time since the start in ms.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn new(path: &std::path::Path) -> Self {
        let file = File::create(path).expect("a writable record.txt");
        Self {
            file: Mutex::new(file),
            start: Instant::now(),
        }
    }

    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>7} {text}", self.now_ms());
    }
}

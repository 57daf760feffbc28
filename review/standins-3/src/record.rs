//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::Arc;
use std::time::Instant;

use parking_lot::Mutex;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<BufWriter<File>>>,
    lines: Arc<Mutex<Vec<String>>>,
    started_at: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("a record");
        Self {
            file: Arc::new(Mutex::new(BufWriter::new(file))),
            lines: Arc::default(),
            started_at: Instant::now(),
        }
    }

    pub fn line(&self, text: &str) {
        let ms = self.started_at.elapsed().as_millis();
        self.lines.lock().push(text.to_owned());
        let mut file = self.file.lock();
        let _ = writeln!(file, "{:>4}.{:03} {text}", ms / 1000, ms % 1000);
    }

    /// The lines so far that contain a text.
    pub fn matching(&self, part: &str) -> Vec<String> {
        let lines = self.lines.lock();
        lines
            .iter()
            .filter(|line| line.contains(part))
            .cloned()
            .collect()
    }

    /// Like [`Record::line`], and on the standard output too.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
        let _ = self.file.lock().flush();
    }
}

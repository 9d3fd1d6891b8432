//! The record of a case: what was sent, answered and run, with the time since the start.

use std::{fs::File, io::Write, sync::Mutex, time::Instant};

pub struct Record {
    file: Mutex<File>,
    started_at: Instant,
}

impl Record {
    /// Creates the file at `path`.
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("create the record");
        Self { file: Mutex::new(file), started_at: Instant::now() }
    }

    /// Writes one line.
    pub fn line(&self, text: &str) {
        let millis = self.started_at.elapsed().as_millis();
        let mut file = self.file.lock().expect("no writer panics");
        writeln!(file, "{:4}.{:03} {text}", millis / 1_000, millis % 1_000).ok();
    }
}

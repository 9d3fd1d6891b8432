//! The record of a case: what was sent, answered and run, by the time since the case began.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        Self { file: Arc::new(Mutex::new(file)), began: Instant::now() }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let seconds = self.began.elapsed().as_secs_f64();
        let line = format!("{seconds:9.3} {}\n", text.as_ref());
        self.file.lock().expect("no writer panics").write_all(line.as_bytes()).ok();
    }
}

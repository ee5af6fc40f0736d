//! `record.txt`: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started_at: Instant,
}

impl Record {
    pub fn create(folder: &str, case: &str, trouble: bool) -> io::Result<Record> {
        let file = File::create(Path::new(folder).join("record.txt"))?;
        let record = Record {
            file: Arc::new(Mutex::new(file)),
            started_at: Instant::now(),
        };
        record.line(&format!("case {case}, disruption: {trouble}"));
        Ok(record)
    }

    pub fn line(&self, text: &str) {
        let at = self.started_at.elapsed().as_secs_f64();
        let line = format!("{at:8.3} {text}\n");
        print!("{line}");
        let mut file = self.file.lock().expect("the record's lock");
        let _ = file.write_all(line.as_bytes());
    }
}

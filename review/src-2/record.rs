//! Record of what a case has sent, received and run.

use std::fmt::Display;
use std::path::PathBuf;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    began_at: Instant,
    lines: Mutex<Vec<(Instant, String)>>,
    path: PathBuf,
}

impl Record {
    pub fn new(path: PathBuf) -> Self {
        Self {
            began_at: Instant::now(),
            lines: Mutex::default(),
            path,
        }
    }

    pub fn line(&self, text: impl Display) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, at: Instant, text: impl Display) {
        self.lines
            .lock()
            .expect("lock")
            .push((at, text.to_string()));
    }

    /// Writes the lines in the order of their times.
    pub fn write(&self) {
        let mut lines = self.lines.lock().expect("lock").clone();
        lines.sort_by_key(|(at, _)| *at);
        let mut text = String::new();
        for (at, line) in lines {
            let ms = at.saturating_duration_since(self.began_at).as_millis();
            text.push_str(&format!("{ms:6} ms  {line}\n"));
        }
        std::fs::write(&self.path, text).expect("a writable folder");
    }
}

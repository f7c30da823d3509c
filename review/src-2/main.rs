//! Cases of the second review that run the deployed program against stand-ins on loopback addresses.
//!
//! `cases NAME RECORD` runs a case and writes its record to that file. It exits with 1 if the rule
//! was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` the disruption is left
//! out.

mod callers;
mod clients;
mod configurations;
mod deployment;
mod descriptors;
mod endless_chunks;
mod http;
mod idle_memory;
mod instance;
mod record;
mod store;
mod worker;

use std::path::PathBuf;
use std::process::ExitCode;

use record::Record;

/// Result of a case.
pub enum Verdict {
    Broken,
    Held,
    NotRun(&'static str),
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let name = arguments.next().unwrap_or_default();
    if name == "clients" {
        let arguments: Vec<String> = arguments.collect();
        clients::run_helper(&arguments);
        return ExitCode::from(2);
    }
    let record = PathBuf::from(arguments.next().unwrap_or_default());
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::new(record);
    let scratch = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    if std::fs::create_dir_all(&scratch).is_err() {
        return ExitCode::from(2);
    }
    let verdict = match name.as_str() {
        "configurations" => configurations::run(&record, &scratch, has_trouble),
        "descriptors" => descriptors::run(&record, &scratch, has_trouble),
        "endless-chunks" => endless_chunks::run(&record, &scratch, has_trouble),
        "idle-memory" => idle_memory::run(&record, &scratch, has_trouble),
        _ => Verdict::NotRun("no such case"),
    };
    let (code, text) = match verdict {
        Verdict::Broken => (1, "broken"),
        Verdict::Held => (0, "held"),
        Verdict::NotRun(reason) => (2, reason),
    };
    record.line(format!("verdict: {text}"));
    record.write();
    println!("{name}: {text}");
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&scratch);
    } else {
        println!("{}", scratch.display());
    }
    ExitCode::from(code)
}

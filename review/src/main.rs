//! Runs one case of the review: `cases NAME RECORD`, from the root of the repository. Exits with 1
//! if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod client;
mod drill;
mod engine;
mod http;
mod instance;
mod keys;
mod memory;
mod platform;
mod rank;
mod record;
mod stall;
mod upload;
mod worker;

use std::path::PathBuf;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let name = arguments.next().unwrap_or_default();
    let record = PathBuf::from(arguments.next().unwrap_or_else(|| "record.txt".to_owned()));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let temp = std::env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
    if let Err(error) = std::fs::create_dir_all(&temp) {
        eprintln!("{}: {error}", temp.display());
        std::process::exit(2);
    }
    // A panic unwinds through the instances, which are killed, so that none is left.
    let case = || match name.as_str() {
        "drill" => drill::run(&record, &temp, trouble),
        "memory" => memory::run(&record, &temp, trouble),
        "rank" => rank::run(&record, &temp, trouble),
        "upload" => upload::run(&record, &temp, trouble),
        "stall" => stall::run(&record, &temp, trouble),
        _ => {
            eprintln!("unknown case {name:?}");
            2
        }
    };
    let code = std::panic::catch_unwind(std::panic::AssertUnwindSafe(case)).unwrap_or(2);
    let _ = std::fs::remove_dir_all(&temp);
    std::process::exit(code);
}

//! Cases of the third review that are no day of the bench.

mod crashes;
mod crashing_worker;
mod floods;
mod http;
mod instance;
mod link;
mod store;

use std::path::PathBuf;
use std::process::exit;

use floods::Flood;

/// Runs the case that the first argument names; the second one is its folder, for `record.txt`, and
/// the third one a temporary folder.
fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    if let [_, program, id] = arguments.as_slice()
        && program == "worker"
    {
        exit(crashing_worker::run(id));
    }
    let [_, case, record, temporary] = arguments.as_slice() else {
        eprintln!("usage: review-3 CASE FOLDER TEMPORARY-FOLDER");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let (record, temporary) = (PathBuf::from(record), PathBuf::from(temporary));
    let code = match case.as_str() {
        "bodies" => floods::run(Flood::Bodies, has_trouble, &record, &temporary),
        "streams" => floods::run(Flood::Streams, has_trouble, &record, &temporary),
        "crashes" => crashes::run(has_trouble, &record, &temporary),
        _ => {
            eprintln!("unknown case {case}");
            2
        }
    };
    exit(code);
}

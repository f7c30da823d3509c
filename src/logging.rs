//! Logger configuration: one line per event.

use super::*;

use log::LevelFilter;
use log::Record;

/// Starts logging to standard error, for commands and tests; `level` applies to this crate, other
/// crates log warnings and errors. Does nothing if a logger is already installed.
pub fn start_logging(level: LevelFilter) {
    let dispatch = fern::Dispatch::new()
        .format(|out, message, record| {
            out.finish(format_args!("{} {} {message}", unix_ms(), record.level()));
        })
        .level(LevelFilter::Warn)
        .level_for("ebonyspread", level)
        .chain(std::io::stderr());
    // Fails if a logger is already installed, as in tests; that logger is kept.
    let _ = dispatch.apply();
}

/// Starts logging to standard output, for daemons, with `level` for this crate. Lines are dropped
/// while the queue of lines to write is full, so that logging never blocks on a slow reader. Does
/// nothing if a logger is already installed.
pub fn start_daemon_logging(level: LevelFilter) {
    let queue = LogQueue::start(std::io::stdout());
    let output = fern::Output::call(move |record: &Record<'_>| {
        queue.push(format!(
            "{} {} {}",
            unix_ms(),
            record.level(),
            record.args()
        ));
    });
    let dispatch = fern::Dispatch::new()
        .level(LevelFilter::Warn)
        // This crate logs broken streams itself, with the request id.
        .level_for("actix_http", LevelFilter::Off)
        .level_for("ebonyspread", level)
        .chain(output);
    // Fails if a logger is already installed, as in tests; that logger is kept.
    let _ = dispatch.apply();
}

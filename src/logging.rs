//! Sets the log up: one line per event.

use super::*;

use log::LevelFilter;
use log::Record;

/// Starts logging to standard error at a level, for commands and tests. Does nothing if logging
/// was started before.
pub fn start_logging(level: LevelFilter) {
    let dispatch = fern::Dispatch::new()
        .format(|out, message, record| {
            out.finish(format_args!("{} {} {message}", unix_ms(), record.level()));
        })
        .level(LevelFilter::Warn)
        .level_for("ebonyspread", level)
        .chain(std::io::stderr());
    // A second start, as in tests, keeps the first.
    let _ = dispatch.apply();
}

/// Starts logging to standard output at a level, for daemons: bounded, and never waiting for
/// whoever reads it.
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
        // Broken streams are told by our own lines, with the request's id.
        .level_for("actix_http", LevelFilter::Off)
        .level_for("ebonyspread", level)
        .chain(output);
    // A second start, as in tests, keeps the first.
    let _ = dispatch.apply();
}

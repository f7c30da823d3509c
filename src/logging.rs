//! Sets the log up: one line per event on standard error.

/// Starts logging at a level. Does nothing if logging was started before.
pub fn start_logging(level: log::LevelFilter) {
    let dispatch = fern::Dispatch::new()
        .format(|out, message, record| {
            let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
            let now_ms = since.map_or(0, |since| since.as_millis());
            out.finish(format_args!("{now_ms} {} {message}", record.level()));
        })
        .level(log::LevelFilter::Warn)
        .level_for("ebonyspread", level)
        .chain(std::io::stderr());
    // A second start, as in tests, keeps the first.
    let _ = dispatch.apply();
}

//! Daemon that runs one entry instance: a process that accepts callers' requests.

use std::process::ExitCode;

use ebonyspread::entry::run_entry;
use ebonyspread::settings::Settings;

mod flags {
    #![allow(missing_docs)]
    xflags::xflags! {
        /// Runs an entry instance.
        cmd ebonyspread-entry {
            /// Settings file in TOML format.
            required --settings settings: String
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::EbonyspreadEntry::from_env_or_exit();
    let result = Settings::load(&flags.settings).and_then(run_entry);
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

//! The operators' command.

fn main() -> std::process::ExitCode {
    ebonyspread::command::run()
}

//! Command-line interface for operators.

fn main() -> std::process::ExitCode {
    ebonyspread::command::run()
}

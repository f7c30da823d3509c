//! Entry point of the command-line interface for operators; see [`ebonyspread::command`].

fn main() -> std::process::ExitCode {
    ebonyspread::command::run()
}

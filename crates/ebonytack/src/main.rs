//! The binary of an entry host.

use std::process::ExitCode;

fn main() -> ExitCode {
    ebonytack::run_command_line(std::env::args_os())
}

//! Entry point of the `ebonytack` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    ebonytack::run_command_line(std::env::args_os())
}

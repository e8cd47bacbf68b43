//! Command-line tool for operating an ebonytack proxy fleet.

mod cli;
mod client;
mod command;
mod failure;
mod table;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = cli::command().get_matches();
    let result = actix_rt::System::new().block_on(command::run(&matches));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("ebonyctl: {failure}");
            ExitCode::from(failure.exit_code())
        }
    }
}

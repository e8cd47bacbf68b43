//! An entry host of the ebonytack proxy fleet, as a library for the binary and for tests.

mod admin;
mod cli;
mod gateway;
mod observe;
mod peer;
mod proxy;
mod runtime;
mod settings;
mod upstream;

use std::ffi::OsString;
use std::process::ExitCode;

use eyre::Result;
use settings::Settings;

/// The exit code for wrong input.
const EXIT_WRONG_INPUT: u8 = 2;

/// Runs the command line with these arguments, the program's name first.
pub fn run_command_line(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let matches = match cli::command().try_get_matches_from(arguments) {
        Ok(matches) => matches,
        Err(error) => {
            // Nothing is left to do when the message cannot be shown.
            let _ = error.print();
            return if error.use_stderr() { wrong_input() } else { ExitCode::SUCCESS };
        }
    };
    let Some((name, arguments)) = matches.subcommand() else { return wrong_input() };
    // An absent path cannot be read, which the error then names.
    let path = arguments.get_one::<std::path::PathBuf>("settings").cloned().unwrap_or_default();
    if name == "gateway" {
        return run_gateway(&path, arguments.get_flag("check"));
    }
    let settings = match Settings::load(&path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return wrong_input();
        }
    };
    match name {
        "check" => {
            println!("{} is valid.", path.display());
            ExitCode::SUCCESS
        }
        _ => finish(run(settings)),
    }
}

fn run_gateway(path: &std::path::Path, check_only: bool) -> ExitCode {
    match gateway::GatewayFile::load(path) {
        Ok(_) if check_only => {
            println!("{} is valid.", path.display());
            ExitCode::SUCCESS
        }
        Ok(file) => finish(gateway::run(file)),
        Err(error) => {
            eprintln!("{error}");
            wrong_input()
        }
    }
}

fn wrong_input() -> ExitCode {
    ExitCode::from(EXIT_WRONG_INPUT)
}

fn run(settings: Settings) -> Result<()> {
    observe::start_log(&settings)?;
    let recorder = observe::start_metrics()?;
    actix_rt::System::new().block_on(runtime::serve(settings, recorder))
}

fn finish(outcome: Result<()>) -> ExitCode {
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ebonytack: {error:#}");
            ExitCode::FAILURE
        }
    }
}

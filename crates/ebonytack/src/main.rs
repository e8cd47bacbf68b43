//! An entry host of the ebonytack proxy fleet.

mod admin;
mod cli;
mod observe;
mod peer;
mod proxy;
mod runtime;
mod settings;
mod upstream;

use std::process::ExitCode;

use eyre::Result;
use settings::Settings;

/// The exit code for wrong input.
const EXIT_WRONG_INPUT: u8 = 2;

fn main() -> ExitCode {
    let matches = cli::command().get_matches();
    let (name, arguments) = match matches.subcommand() {
        Some(found) => found,
        None => return ExitCode::from(EXIT_WRONG_INPUT),
    };
    let path = arguments.get_one::<std::path::PathBuf>("settings").cloned().unwrap_or_default();
    let settings = match Settings::load(&path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_WRONG_INPUT);
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

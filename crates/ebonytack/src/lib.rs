//! Library behind the `ebonytack` binary, which runs one host of the proxy fleet.

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

/// Exit code for invalid arguments and invalid settings.
const EXIT_INVALID_INPUT: u8 = 2;

/// Parses the arguments, of which the first is the program name, and runs the subcommand.
///
/// Exits with 0 on success, 1 when serving fails and 2 when the arguments or settings are invalid.
pub fn run_command_line(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let matches = match cli::command().try_get_matches_from(arguments) {
        Ok(matches) => matches,
        Err(error) => {
            // The exit code reports the error even when printing fails.
            let _ = error.print();
            return if error.use_stderr() { invalid_input() } else { ExitCode::SUCCESS };
        }
    };
    let Some((name, arguments)) = matches.subcommand() else { return invalid_input() };
    // Without the argument the path is empty, and reading it fails with an error that names it.
    let path = arguments.get_one::<std::path::PathBuf>("settings").cloned().unwrap_or_default();
    if name == "gateway" {
        return run_gateway(&path, arguments.get_flag("check"));
    }
    let settings = match Settings::load(&path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return invalid_input();
        }
    };
    match name {
        "check" => {
            println!("{} is valid.", path.display());
            ExitCode::SUCCESS
        }
        _ => exit_code(run(settings)),
    }
}

fn run_gateway(path: &std::path::Path, check_only: bool) -> ExitCode {
    match gateway::SettingsFile::load(path) {
        Ok(_) if check_only => {
            println!("{} is valid.", path.display());
            ExitCode::SUCCESS
        }
        Ok(file) => exit_code(gateway::run(file)),
        Err(error) => {
            eprintln!("{error}");
            invalid_input()
        }
    }
}

fn invalid_input() -> ExitCode {
    ExitCode::from(EXIT_INVALID_INPUT)
}

fn run(settings: Settings) -> Result<()> {
    observe::start_log(&settings)?;
    let recorder = observe::start_metrics()?;
    actix_rt::System::new().block_on(runtime::serve(settings, recorder))
}

fn exit_code(result: Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ebonytack: {error:#}");
            ExitCode::FAILURE
        }
    }
}

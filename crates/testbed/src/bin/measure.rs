//! Runs one measurement of a fleet and compares its figures with their targets.

use std::process::ExitCode;

use clap::{Arg, ArgAction, Command, value_parser};
use ebonytack_testbed::measure::Scenario;
use ebonytack_testbed::run_host_if_requested;

const EXIT_TARGETS_MISSED: u8 = 1;
const EXIT_INVALID_INPUT: u8 = 2;

fn main() -> ExitCode {
    if let Some(code) = run_host_if_requested() {
        return code;
    }
    let matches = command().get_matches();
    let name = matches.get_one::<String>("scenario").cloned().unwrap_or_default();
    let Some(scenario) = Scenario::from_name(&name) else {
        return ExitCode::from(EXIT_INVALID_INPUT);
    };
    let seed = matches.get_one::<u64>("seed").copied().unwrap_or(1);
    let program = std::env::current_exe().unwrap_or_default();
    let outcome = actix_rt::System::new().block_on(scenario.run(&program, seed));
    match outcome {
        Ok(report) => {
            if matches.get_flag("json") {
                println!("{}", serde_json::to_string(&report).unwrap_or_default());
            } else {
                println!("{report}");
            }
            if report.is_met() { ExitCode::SUCCESS } else { ExitCode::from(EXIT_TARGETS_MISSED) }
        }
        Err(error) => {
            eprintln!("measure: {error:#}");
            ExitCode::from(EXIT_TARGETS_MISSED)
        }
    }
}

fn command() -> Command {
    let names = Scenario::ALL.map(Scenario::name);
    Command::new("measure")
        .about("Measures a fleet of real processes on loopback against stated targets")
        .arg(Arg::new("scenario").required(true).value_parser(names.to_vec()))
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_parser(value_parser!(u64))
                .default_value("1")
                .help("The seed of loads and faults"),
        )
        .arg(Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print JSON"))
        .after_help(
            "Exit codes: 0 all targets met, 1 targets missed or not measured, 2 wrong input",
        )
}

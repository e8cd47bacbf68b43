//! The subcommands and arguments of the `ebonytack` binary.

use std::path::PathBuf;

use clap::{Arg, ArgAction, Command, value_parser};

/// Returns the parser for `run` and `check`, which share one settings format, and `gateway`, which
/// has its own.
pub(crate) fn command() -> Command {
    let settings = Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .help("Path of the JSON settings file of this host")
        .required(true)
        .value_parser(value_parser!(PathBuf));
    Command::new("ebonytack")
        .version(clap::crate_version!())
        .about("Runs a host of the ebonytack proxy fleet")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("run")
                .about("Serves until SIGTERM starts a graceful shutdown")
                .arg(settings.clone()),
        )
        .subcommand(
            Command::new("check").about("Checks the settings and exits").arg(settings.clone()),
        )
        .subcommand(
            Command::new("gateway")
                .about("Serves on a platform whose store holds the configuration and the instances")
                .arg(settings)
                .arg(
                    Arg::new("check")
                        .long("check")
                        .help("Checks the settings and exits")
                        .action(ArgAction::SetTrue),
                ),
        )
        .after_help("Examples:\n  ebonytack check --settings host.json\n  ebonytack run --settings host.json\n  ebonytack gateway --settings gateway.json")
}

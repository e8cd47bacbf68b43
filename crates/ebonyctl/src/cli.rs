//! Definition of the command line: subcommands, options and help texts.

use std::path::PathBuf;

use clap::{Arg, ArgAction, Command, value_parser};
use clap_complete::Shell;

/// Builds the clap definition of `ebonyctl`.
pub(crate) fn command() -> Command {
    Command::new("ebonyctl")
        .version(clap::crate_version!())
        .about("Operates an ebonytack proxy fleet through any of its hosts")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            Arg::new("host")
                .long("host")
                .global(true)
                .env("EBONYCTL_HOSTS")
                .value_delimiter(',')
                .help("Comma-separated admin addresses of hosts, tried in order"),
        )
        .arg(
            Arg::new("token-file")
                .long("token-file")
                .global(true)
                .env("EBONYCTL_TOKEN_FILE")
                .value_parser(value_parser!(PathBuf))
                .help("File that contains the operator's token"),
        )
        .arg(
            Arg::new("output")
                .long("output")
                .global(true)
                .value_parser(["table", "json"])
                .default_value("table")
                .help("Output format"),
        )
        .arg(
            Arg::new("change-id")
                .long("change-id")
                .global(true)
                .help("Id of an earlier change to retry because its outcome is unknown"),
        )
        .subcommand(file_command("validate", "Checks a declaration without contacting a host"))
        .subcommand(file_command("diff", "Shows what applying a declaration would change"))
        .subcommand(file_command("apply", "Applies a declaration; keys that it omits are kept"))
        .subcommand(key_command())
        .subcommand(profile_command())
        .subcommand(drain_command("drain", "Stops sending new work to a host or an instance"))
        .subcommand(drain_command("undrain", "Resumes sending new work to a host or an instance"))
        .subcommand(Command::new("status").about("Shows revision, health and load of each host"))
        .subcommand(audit_command())
        .subcommand(
            Command::new("replay")
                .about("Replays a recorded trace and compares its effects byte for byte")
                .arg(path_argument("trace", "TRACE")),
        )
        .subcommand(
            Command::new("explain")
                .about("Shows from hosts' logs how a request was handled and why")
                .arg(Arg::new("request").value_name("REQUEST-ID").required(true))
                .arg(path_argument("file", "FILE").num_args(1..)),
        )
        .subcommand(
            Command::new("completion")
                .about("Prints a shell completion script")
                .arg(Arg::new("shell").required(true).value_parser(value_parser!(Shell))),
        )
        .after_help(
            "Exit codes: 0 success, 2 invalid input, 3 conflict, 4 unreachable, \
             5 outcome unknown\n\n\
             Examples:\n  ebonyctl validate fleet.json\n  \
             ebonyctl --host 10.0.0.1:7002 diff fleet.json\n  \
             ebonyctl --host 10.0.0.1:7002 key issue club-1 --label tablet\n  \
             ebonyctl --host 10.0.0.1:7002 drain instance/catalogue/c4",
        )
}

fn path_argument(id: &'static str, name: &'static str) -> Arg {
    Arg::new(id).value_name(name).required(true).value_parser(value_parser!(PathBuf))
}

fn file_command(name: &'static str, about: &'static str) -> Command {
    Command::new(name).about(about).arg(path_argument("file", "FILE"))
}

fn drain_command(name: &'static str, about: &'static str) -> Command {
    let help = "host/NUMBER or instance/SERVICE/INSTANCE";
    Command::new(name).about(about).arg(Arg::new("target").required(true).help(help))
}

fn key_command() -> Command {
    let label = Arg::new("label").long("label").default_value("unnamed");
    Command::new("key")
        .about("Issues, withdraws and lists API keys")
        .subcommand_required(true)
        .subcommand(
            Command::new("issue")
                .about("Issues a key and prints it; it cannot be shown again")
                .arg(Arg::new("customer").required(true))
                .arg(label),
        )
        .subcommand(
            Command::new("withdraw")
                .about("Withdraws the key with this hash")
                .arg(Arg::new("hash").required(true)),
        )
        .subcommand(
            Command::new("list")
                .about("Lists the hashes, customers and labels of keys")
                .arg(Arg::new("customer").long("customer")),
        )
}

fn profile_command() -> Command {
    Command::new("profile")
        .about("Lists, shows and edits profiles")
        .subcommand_required(true)
        .subcommand(Command::new("list").about("Lists the names of all profiles"))
        .subcommand(
            Command::new("show").about("Shows a profile").arg(Arg::new("name").required(true)),
        )
        .subcommand(
            Command::new("edit")
                .about("Sets fields of a profile; values are JSON")
                .arg(Arg::new("name").required(true))
                .arg(
                    Arg::new("set")
                        .long("set")
                        .value_name("FIELD=VALUE")
                        .required(true)
                        .action(ArgAction::Append),
                ),
        )
}

fn audit_command() -> Command {
    let number = |id: &'static str, default: &'static str, help: &'static str| {
        Arg::new(id).long(id).value_parser(value_parser!(u64)).default_value(default).help(help)
    };
    Command::new("audit")
        .about("Shows the audit trail of changes")
        .arg(
            Arg::new("subject")
                .long("subject")
                .help("Only subjects with this prefix, such as key/ or customer/club"),
        )
        .arg(number("after", "0", "Only changes after this revision"))
        .arg(number("since", "0", "Only changes since this time, in milliseconds since 1970"))
        .arg(number("limit", "100", "Maximum number of changes to fetch"))
}

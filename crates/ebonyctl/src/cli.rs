//! The command line.

use std::path::PathBuf;

use clap::{Arg, ArgAction, Command, value_parser};
use clap_complete::Shell;

/// Returns the definition of the command line.
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
                .help("Admin addresses of hosts; the next is tried when one does not answer"),
        )
        .arg(
            Arg::new("token-file")
                .long("token-file")
                .global(true)
                .env("EBONYCTL_TOKEN_FILE")
                .value_parser(value_parser!(PathBuf))
                .help("The file that holds the operator's token"),
        )
        .arg(
            Arg::new("output")
                .long("output")
                .global(true)
                .value_parser(["table", "json"])
                .default_value("table")
                .help("How results are printed"),
        )
        .arg(
            Arg::new("change-id")
                .long("change-id")
                .global(true)
                .help("Repeats an earlier change whose outcome is unknown"),
        )
        .subcommand(file("validate", "Checks a declaration without a host"))
        .subcommand(file("diff", "Shows what applying a declaration would change"))
        .subcommand(file("apply", "Makes a declaration the one in force"))
        .subcommand(key())
        .subcommand(profile())
        .subcommand(target("drain", "Lets a host or an instance take no new work"))
        .subcommand(target("undrain", "Lets a host or an instance take new work again"))
        .subcommand(Command::new("status").about("Shows revision, health and load of each host"))
        .subcommand(audit())
        .subcommand(
            Command::new("replay")
                .about("Replays a recorded trace and compares its effects byte for byte")
                .arg(path("trace", "TRACE")),
        )
        .subcommand(
            Command::new("explain")
                .about("Shows from hosts' logs what decided about a request")
                .arg(Arg::new("request").value_name("REQUEST-ID").required(true))
                .arg(path("file", "FILE").num_args(1..)),
        )
        .subcommand(
            Command::new("completion")
                .about("Prints the completion script of a shell")
                .arg(Arg::new("shell").required(true).value_parser(value_parser!(Shell))),
        )
        .after_help(
            "Exit codes: 0 done, 2 wrong input, 3 conflict, 4 not reachable, 5 outcome unknown\n\n\
             Examples:\n  ebonyctl validate fleet.json\n  \
             ebonyctl --host 10.0.0.1:7002 diff fleet.json\n  \
             ebonyctl --host 10.0.0.1:7002 key issue club-1 --label tablet\n  \
             ebonyctl --host 10.0.0.1:7002 drain instance/catalogue/c4",
        )
}

fn path(id: &'static str, name: &'static str) -> Arg {
    Arg::new(id).value_name(name).required(true).value_parser(value_parser!(PathBuf))
}

fn file(name: &'static str, about: &'static str) -> Command {
    Command::new(name).about(about).arg(path("file", "FILE"))
}

fn target(name: &'static str, about: &'static str) -> Command {
    let help = "host/NUMBER or instance/SERVICE/INSTANCE";
    Command::new(name).about(about).arg(Arg::new("target").required(true).help(help))
}

fn key() -> Command {
    let label = Arg::new("label").long("label").default_value("unnamed");
    Command::new("key")
        .about("Issues, withdraws and lists keys")
        .subcommand_required(true)
        .subcommand(
            Command::new("issue")
                .about("Issues a key and shows it this once")
                .arg(Arg::new("customer").required(true))
                .arg(label),
        )
        .subcommand(
            Command::new("withdraw")
                .about("Withdraws a key, given its hash")
                .arg(Arg::new("hash").required(true)),
        )
        .subcommand(
            Command::new("list")
                .about("Lists keys by hash")
                .arg(Arg::new("customer").long("customer")),
        )
}

fn profile() -> Command {
    Command::new("profile")
        .about("Lists, shows and edits profiles")
        .subcommand_required(true)
        .subcommand(Command::new("list").about("Names all profiles"))
        .subcommand(
            Command::new("show").about("Shows a profile").arg(Arg::new("name").required(true)),
        )
        .subcommand(
            Command::new("edit")
                .about("Sets fields of a profile")
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

fn audit() -> Command {
    let number = |id: &'static str, default: &'static str, help: &'static str| {
        Arg::new(id).long(id).value_parser(value_parser!(u64)).default_value(default).help(help)
    };
    Command::new("audit")
        .about("Shows who changed what")
        .arg(
            Arg::new("subject")
                .long("subject")
                .help("Only subjects that begin so, as key/ or customer/club"),
        )
        .arg(number("after", "0", "Only changes after this revision"))
        .arg(number("since", "0", "Only changes since this time, in ms since 1970"))
        .arg(number("limit", "100", "The most changes"))
}

//! Subcommands of `ebonyctl`.

mod audit;
mod change;
mod declaration;
mod explain;
mod key;
mod profile;
mod status;

use std::path::{Path, PathBuf};

use clap::ArgMatches;
use ebonytack_core::replay;
use serde_json::Value;

use crate::client::Client;
use crate::failure::Failure;

/// Client and options shared by the commands that contact hosts.
pub(crate) struct Context {
    client: Client,
    change_id: Option<String>,
    json: bool,
}

/// Runs the subcommand selected on the command line.
pub(crate) async fn run(matches: &ArgMatches) -> Result<(), Failure> {
    let Some((name, arguments)) = matches.subcommand() else {
        return Err(Failure::InvalidInput("missing subcommand".to_owned()));
    };
    match name {
        "validate" => return declaration::validate(&path_argument(arguments, "file")?),
        "replay" => return replay_trace(&path_argument(arguments, "trace")?),
        "completion" => return completion(arguments),
        "explain" => {
            let files: Vec<PathBuf> =
                arguments.get_many("file").unwrap_or_default().cloned().collect();
            return explain::explain(string_argument(arguments, "request"), &files);
        }
        _ => {}
    }
    let context = Context::new(arguments)?;
    match name {
        "diff" => declaration::diff(&context, &path_argument(arguments, "file")?).await,
        "apply" => declaration::apply(&context, &path_argument(arguments, "file")?).await,
        "key" => key::run(&context, arguments).await,
        "profile" => profile::run(&context, arguments).await,
        "drain" => change::set_drain(&context, string_argument(arguments, "target"), true).await,
        "undrain" => change::set_drain(&context, string_argument(arguments, "target"), false).await,
        "status" => status::run(&context).await,
        // `audit` is the only subcommand left, because clap rejects unknown ones.
        _ => audit::run(&context, arguments).await,
    }
}

impl Context {
    fn new(arguments: &ArgMatches) -> Result<Self, Failure> {
        let hosts: Vec<String> =
            arguments.get_many::<String>("host").unwrap_or_default().cloned().collect();
        if hosts.is_empty() {
            return Err(Failure::InvalidInput(
                "no hosts given: set --host or EBONYCTL_HOSTS".to_owned(),
            ));
        }
        let token = match arguments.get_one::<PathBuf>("token-file") {
            Some(path) => read_file(path)?.trim().to_owned(),
            // Without a token the hosts reject the request, and their error is printed.
            None => std::env::var("EBONYCTL_TOKEN").unwrap_or_default(),
        };
        Ok(Self {
            client: Client::new(hosts, token),
            change_id: arguments.get_one::<String>("change-id").cloned(),
            json: string_argument(arguments, "output") == "json",
        })
    }

    /// Prints `value` if the output format is JSON; returns whether it is.
    fn print_json(&self, value: &Value) -> bool {
        if self.json {
            println!("{value:#}");
        }
        self.json
    }
}

fn replay_trace(path: &Path) -> Result<(), Failure> {
    let content = read_file(path)?;
    let steps =
        replay(content.lines()).map_err(|error| Failure::InvalidInput(error.to_string()))?;
    println!("{steps} steps replayed with identical effects.");
    Ok(())
}

fn completion(arguments: &ArgMatches) -> Result<(), Failure> {
    if let Some(shell) = arguments.get_one::<clap_complete::Shell>("shell") {
        let mut command = crate::cli::command();
        clap_complete::generate(*shell, &mut command, "ebonyctl", &mut std::io::stdout());
    }
    Ok(())
}

fn path_argument(arguments: &ArgMatches, id: &str) -> Result<PathBuf, Failure> {
    let path = arguments.get_one::<PathBuf>(id).cloned();
    path.ok_or_else(|| Failure::InvalidInput(format!("missing argument: {id}")))
}

fn string_argument<'a>(arguments: &'a ArgMatches, id: &str) -> &'a str {
    arguments.get_one::<String>(id).map_or("", String::as_str)
}

fn read_file(path: &Path) -> Result<String, Failure> {
    let content = std::fs::read_to_string(path);
    content.map_err(|error| Failure::InvalidInput(format!("{}: {error}", path.display())))
}

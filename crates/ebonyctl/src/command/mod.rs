//! The commands.

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
use crate::exit::Failure;

/// What all commands share.
pub(crate) struct Context {
    client: Client,
    change_id: Option<String>,
    json: bool,
}

/// Runs the command that the arguments name.
pub(crate) async fn run(matches: &ArgMatches) -> Result<(), Failure> {
    let Some((name, arguments)) = matches.subcommand() else {
        return Err(Failure::Input("a command is missing".to_owned()));
    };
    match name {
        "validate" => return declaration::validate(&file(arguments, "file")?),
        "replay" => return replay_trace(&file(arguments, "trace")?),
        "completion" => return completion(arguments),
        "explain" => {
            let files: Vec<PathBuf> =
                arguments.get_many("file").unwrap_or_default().cloned().collect();
            return explain::explain(text(arguments, "request"), &files);
        }
        _ => {}
    }
    let context = Context::new(arguments)?;
    match name {
        "diff" => declaration::diff(&context, &file(arguments, "file")?).await,
        "apply" => declaration::apply(&context, &file(arguments, "file")?).await,
        "key" => key::run(&context, arguments).await,
        "profile" => profile::run(&context, arguments).await,
        "drain" => change::drain(&context, text(arguments, "target"), true).await,
        "undrain" => change::drain(&context, text(arguments, "target"), false).await,
        "status" => status::run(&context).await,
        _ => audit::run(&context, arguments).await,
    }
}

impl Context {
    fn new(arguments: &ArgMatches) -> Result<Self, Failure> {
        let hosts: Vec<String> =
            arguments.get_many::<String>("host").unwrap_or_default().cloned().collect();
        if hosts.is_empty() {
            return Err(Failure::Input("--host or EBONYCTL_HOSTS is missing".to_owned()));
        }
        let token = match arguments.get_one::<PathBuf>("token-file") {
            Some(path) => read(path)?.trim().to_owned(),
            // Hosts refuse a call without a token, which tells the operator.
            None => std::env::var("EBONYCTL_TOKEN").unwrap_or_default(),
        };
        Ok(Self {
            client: Client::new(hosts, token),
            change_id: arguments.get_one::<String>("change-id").cloned(),
            json: text(arguments, "output") == "json",
        })
    }

    /// Prints a value as JSON when that was asked for; returns whether it was.
    fn print_json(&self, value: &Value) -> bool {
        if self.json {
            println!("{value:#}");
        }
        self.json
    }
}

fn replay_trace(path: &Path) -> Result<(), Failure> {
    let content = read(path)?;
    let steps = replay(content.lines()).map_err(|error| Failure::Input(error.to_string()))?;
    println!("{steps} steps replayed to the same effects.");
    Ok(())
}

fn completion(arguments: &ArgMatches) -> Result<(), Failure> {
    if let Some(shell) = arguments.get_one::<clap_complete::Shell>("shell") {
        let mut command = crate::cli::command();
        clap_complete::generate(*shell, &mut command, "ebonyctl", &mut std::io::stdout());
    }
    Ok(())
}

fn file(arguments: &ArgMatches, id: &str) -> Result<PathBuf, Failure> {
    let path = arguments.get_one::<PathBuf>(id).cloned();
    path.ok_or_else(|| Failure::Input(format!("{id} is missing")))
}

fn text<'a>(arguments: &'a ArgMatches, id: &str) -> &'a str {
    arguments.get_one::<String>(id).map_or("", String::as_str)
}

fn read(path: &Path) -> Result<String, Failure> {
    let read = std::fs::read_to_string(path);
    read.map_err(|error| Failure::Input(format!("{}: {error}", path.display())))
}

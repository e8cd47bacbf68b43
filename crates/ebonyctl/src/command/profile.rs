//! `profile`: lists, shows and edits profiles.

use std::collections::BTreeMap;

use clap::ArgMatches;
use ebonytack_core::{Operation, Profile, RawDeclaration};
use serde_json::{Value, json};

use super::{Context, change, string_argument};
use crate::failure::Failure;
use crate::table;

pub(super) async fn run(context: &Context, arguments: &ArgMatches) -> Result<(), Failure> {
    let (revision, declaration) = context.client.declaration().await?;
    match arguments.subcommand() {
        Some(("show", arguments)) => {
            let profile = find(&declaration, string_argument(arguments, "name"))?;
            println!("{:#}", json!(profile));
            Ok(())
        }
        Some(("edit", arguments)) => {
            let name = string_argument(arguments, "name");
            let profile = find(&declaration, name)?;
            // clap requires at least one `--set`.
            let assignments = arguments.get_many::<String>("set").unwrap_or_default();
            let value = Some(with_fields(&profile, assignments)?);
            let operation = Operation::Profile { id: name.to_owned(), value };
            change::submit(context, revision, vec![operation]).await
        }
        _ => list(context, &declaration),
    }
}

fn list(context: &Context, declaration: &RawDeclaration) -> Result<(), Failure> {
    let mut names: BTreeMap<&str, &str> =
        Profile::built_in_names().into_iter().map(|name| (name, "built in")).collect();
    names.extend(declaration.profiles.keys().map(|name| (name.as_str(), "declared")));
    if !context.print_json(&json!(names)) {
        let row = |(name, origin): (&&str, &&str)| vec![(*name).to_owned(), (*origin).to_owned()];
        table::print(&["profile", "origin"], &names.iter().map(row).collect::<Vec<_>>());
    }
    Ok(())
}

fn find(declaration: &RawDeclaration, name: &str) -> Result<Profile, Failure> {
    let found = declaration.profiles.get(name).cloned().or_else(|| Profile::built_in(name));
    found.ok_or_else(|| Failure::InvalidInput(format!("unknown profile {name:?}")))
}

/// Returns `profile` with the assignments `FIELD=VALUE` applied; values are JSON.
fn with_fields<'a>(
    profile: &Profile,
    assignments: impl Iterator<Item = &'a String>,
) -> Result<Profile, Failure> {
    let mut json = json!(profile);
    for assignment in assignments {
        let invalid = |reason: &str| Failure::InvalidInput(format!("--set {assignment}: {reason}"));
        let (field, value) =
            assignment.split_once('=').ok_or_else(|| invalid("expected FIELD=VALUE"))?;
        let value: Value = serde_json::from_str(value).map_err(|e| invalid(&e.to_string()))?;
        json[field] = value;
    }
    serde_json::from_value(json).map_err(|error| Failure::InvalidInput(error.to_string()))
}

//! Declarations kept in version control.

use std::path::Path;

use ebonytack_core::{Declaration, Operation, RawDeclaration, difference};
use serde_json::{Value, json};

use super::{Context, change, read};
use crate::exit::Failure;

/// Checks a declaration.
pub(super) fn validate(path: &Path) -> Result<(), Failure> {
    load(path)?;
    println!("{} is valid.", path.display());
    Ok(())
}

/// Shows what applying a declaration would change.
pub(super) async fn diff(context: &Context, path: &Path) -> Result<(), Failure> {
    let wanted = load(path)?;
    let (revision, current) = context.client.declaration().await?;
    let operations = changes(&current, &wanted);
    let value = json!({"based_on": revision, "operations": operations});
    if !context.print_json(&value) {
        print(revision, &operations);
    }
    Ok(())
}

/// Makes a declaration the one in force.
pub(super) async fn apply(context: &Context, path: &Path) -> Result<(), Failure> {
    let wanted = load(path)?;
    let (revision, current) = context.client.declaration().await?;
    let operations = changes(&current, &wanted);
    if operations.is_empty() {
        println!("Revision {revision} already is this declaration.");
        return Ok(());
    }
    if !context.json {
        print(revision, &operations);
    }
    change::make(context, revision, operations).await
}

/// Returns what a declaration changes. Keys that it does not name stay: they are withdrawn by name
/// only, because most of them are issued at the command line.
fn changes(current: &RawDeclaration, wanted: &RawDeclaration) -> Vec<Operation> {
    let mut operations = difference(current, wanted);
    operations.retain(|operation| !matches!(operation, Operation::Key { value: None, .. }));
    operations
}

fn load(path: &Path) -> Result<RawDeclaration, Failure> {
    let fail = |error: String| Failure::Input(format!("{}: {error}", path.display()));
    let raw: RawDeclaration =
        serde_json::from_str(&read(path)?).map_err(|error| fail(error.to_string()))?;
    Declaration::try_from(raw.clone()).map_err(|error| fail(error.to_string()))?;
    Ok(raw)
}

fn print(revision: u64, operations: &[Operation]) {
    println!("{} changes from revision {revision}:", operations.len());
    for operation in operations {
        // A value that cannot be shown leaves the line with its subject.
        let json = serde_json::to_value(operation).unwrap_or_default();
        match json.get("value") {
            None | Some(Value::Null) => println!("- {}", operation.subject()),
            Some(value) => println!("+ {} {value}", operation.subject()),
        }
    }
}

//! `validate`, `diff` and `apply`: declarations kept in files.

use std::path::Path;

use ebonytack_core::{Declaration, Operation, RawDeclaration, difference};
use serde_json::{Value, json};

use super::{Context, change, read_file};
use crate::failure::Failure;

/// Checks the declaration in a file without contacting a host.
pub(super) fn validate(path: &Path) -> Result<(), Failure> {
    load(path)?;
    println!("{} is valid.", path.display());
    Ok(())
}

/// Shows what applying a declaration would change.
pub(super) async fn diff(context: &Context, path: &Path) -> Result<(), Failure> {
    let wanted = load(path)?;
    let (revision, current) = context.client.declaration().await?;
    let operations = required_operations(&current, &wanted);
    let value = json!({"based_on": revision, "operations": operations});
    if !context.print_json(&value) {
        print_operations(revision, &operations);
    }
    Ok(())
}

/// Replaces the declaration in force by the one in a file; keys that the file omits are kept.
pub(super) async fn apply(context: &Context, path: &Path) -> Result<(), Failure> {
    let wanted = load(path)?;
    let (revision, current) = context.client.declaration().await?;
    let operations = required_operations(&current, &wanted);
    if operations.is_empty() {
        println!("Revision {revision} already matches this declaration.");
        return Ok(());
    }
    if !context.json {
        print_operations(revision, &operations);
    }
    change::submit(context, revision, operations).await
}

/// Returns the operations that turn `current` into `wanted`, except the removal of keys.
///
/// Most keys are issued on the command line and are absent from the file, so keys are withdrawn
/// only by an explicit command.
fn required_operations(current: &RawDeclaration, wanted: &RawDeclaration) -> Vec<Operation> {
    let mut operations = difference(current, wanted);
    operations.retain(|operation| !matches!(operation, Operation::Key { value: None, .. }));
    operations
}

fn load(path: &Path) -> Result<RawDeclaration, Failure> {
    let invalid = |error: String| Failure::InvalidInput(format!("{}: {error}", path.display()));
    let raw: RawDeclaration =
        serde_json::from_str(&read_file(path)?).map_err(|error| invalid(error.to_string()))?;
    Declaration::try_from(raw.clone()).map_err(|error| invalid(error.to_string()))?;
    Ok(raw)
}

fn print_operations(revision: u64, operations: &[Operation]) {
    println!("{} changes from revision {revision}:", operations.len());
    for operation in operations {
        // If the value cannot be serialised, the line shows the subject only.
        let json = serde_json::to_value(operation).unwrap_or_default();
        match json.get("value") {
            None | Some(Value::Null) => println!("- {}", operation.subject()),
            Some(value) => println!("+ {} {value}", operation.subject()),
        }
    }
}

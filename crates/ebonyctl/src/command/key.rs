//! `key`: issues, withdraws and lists API keys.

use std::io::Read;

use clap::ArgMatches;
use ebonytack_core::{KeyEntry, KeyHash, Operation, OperatorReply, OperatorRequest};
use serde_json::json;

use super::{Context, change, string_argument};
use crate::failure::Failure;
use crate::table;

const KEY_BYTES: usize = 24;

pub(super) async fn run(context: &Context, arguments: &ArgMatches) -> Result<(), Failure> {
    match arguments.subcommand() {
        Some(("issue", arguments)) => issue(context, arguments).await,
        Some(("withdraw", arguments)) => {
            withdraw(context, string_argument(arguments, "hash")).await
        }
        Some((_, arguments)) => list(context, string_argument(arguments, "customer")).await,
        None => Err(Failure::InvalidInput("missing subcommand".to_owned())),
    }
}

async fn issue(context: &Context, arguments: &ArgMatches) -> Result<(), Failure> {
    let key = generate_key()?;
    let (revision, _) = context.client.declaration().await?;
    let entry = KeyEntry {
        customer: string_argument(arguments, "customer").to_owned(),
        label: string_argument(arguments, "label").to_owned(),
    };
    let id = KeyHash::of(key.as_bytes());
    change::submit(context, revision, vec![Operation::Key { id, value: Some(entry) }]).await?;
    println!("key  {key}\nhash {id}\nThe key is not shown again.");
    Ok(())
}

async fn withdraw(context: &Context, hash: &str) -> Result<(), Failure> {
    let key = KeyHash::try_from(hash.to_owned())
        .map_err(|error| Failure::InvalidInput(error.to_string()))?;
    let request = OperatorRequest::WithdrawKey {
        change_id: context.change_id(),
        author: change::author(),
        made_at_unix_ms: change::now_unix_ms(),
        key,
    };
    match context.client.send(&request).await? {
        OperatorReply::Withdrawn => {
            println!("The key is withdrawn.");
            Ok(())
        }
        other => Err(Failure::from_reply(other)),
    }
}

async fn list(context: &Context, customer: &str) -> Result<(), Failure> {
    let (_, declaration) = context.client.declaration().await?;
    let matches = |entry: &KeyEntry| customer.is_empty() || entry.customer == customer;
    let keys: Vec<_> = declaration.keys.iter().filter(|(_, entry)| matches(entry)).collect();
    if context.print_json(&json!(keys)) {
        return Ok(());
    }
    let row = |(hash, entry): &(&KeyHash, &KeyEntry)| {
        vec![entry.customer.clone(), entry.label.clone(), hash.to_string()]
    };
    table::print(&["customer", "label", "hash"], &keys.iter().map(row).collect::<Vec<_>>());
    Ok(())
}

/// Generates a random key of `KEY_BYTES` bytes, written in hexadecimal.
fn generate_key() -> Result<String, Failure> {
    let fail = |error: std::io::Error| {
        Failure::InvalidInput(format!("failed to read /dev/urandom: {error}"))
    };
    let mut bytes = [0; KEY_BYTES];
    let mut source = std::fs::File::open("/dev/urandom").map_err(fail)?;
    source.read_exact(&mut bytes).map_err(fail)?;
    Ok(bytes.iter().map(|byte| format!("{byte:02x}")).collect())
}

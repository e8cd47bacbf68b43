//! `audit`: lists operations of past changes.

use clap::ArgMatches;
use ebonytack_core::{Change, OperatorReply, OperatorRequest};
use serde_json::{Value, json};

use super::{Context, string_argument};
use crate::failure::Failure;
use crate::table;

pub(super) async fn run(context: &Context, arguments: &ArgMatches) -> Result<(), Failure> {
    // Each of these options has a default, so a value is always present.
    let number = |id: &str| arguments.get_one::<u64>(id).copied().unwrap_or_default();
    let limit = u32::try_from(number("limit")).unwrap_or(u32::MAX);
    let request = OperatorRequest::Audit { after: number("after"), limit };
    let changes = match context.client.send(&request).await? {
        OperatorReply::Audit { changes } => changes,
        other => return Err(Failure::from_reply(other)),
    };
    let since = number("since");
    let rows: Vec<Value> = changes
        .iter()
        .filter(|change| change.made_at_unix_ms >= since)
        .flat_map(|change| rows(change, string_argument(arguments, "subject")))
        .collect();
    if !context.print_json(&json!(rows)) {
        let fields =
            ["revision", "at_unix_ms", "author", "subject", "before", "after", "change_id"];
        let cells = |row: &Value| fields.map(|field| cell_text(&row[field])).to_vec();
        table::print(&fields, &rows.iter().map(cells).collect::<Vec<_>>());
    }
    Ok(())
}

/// Returns one row per operation of `change` whose subject begins with `subject`.
fn rows(change: &Change, subject: &str) -> Vec<Value> {
    let before = change.before.iter().cloned().chain(std::iter::repeat(Value::Null));
    let operations = change.operations.iter().zip(before);
    operations
        .filter(|(operation, _)| operation.subject().starts_with(subject))
        .map(|(operation, before)| {
            json!({
                "revision": change.revision,
                "at_unix_ms": change.made_at_unix_ms,
                "author": change.author,
                "subject": operation.subject(),
                "before": before,
                "after": json!(operation)["value"],
                "change_id": change.change_id,
            })
        })
        .collect()
}

fn cell_text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

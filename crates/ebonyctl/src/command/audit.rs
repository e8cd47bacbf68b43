//! The audit trail.

use clap::ArgMatches;
use ebonytack_core::{Change, OperatorReply, OperatorRequest};
use serde_json::{Value, json};

use super::{Context, text};
use crate::exit::Failure;
use crate::table;

pub(super) async fn run(context: &Context, arguments: &ArgMatches) -> Result<(), Failure> {
    // The command line gives each a default.
    let number = |id: &str| arguments.get_one::<u64>(id).copied().unwrap_or_default();
    let limit = u32::try_from(number("limit")).unwrap_or(u32::MAX);
    let request = OperatorRequest::Audit { after: number("after"), limit };
    let changes = match context.client.ask(&request).await? {
        OperatorReply::Audit { changes } => changes,
        other => return Err(Failure::from_reply(other)),
    };
    let since = number("since");
    let rows: Vec<Value> = changes
        .iter()
        .filter(|change| change.made_at_unix_ms >= since)
        .flat_map(|change| rows(change, text(arguments, "subject")))
        .collect();
    if !context.print_json(&json!(rows)) {
        let fields =
            ["revision", "at_unix_ms", "author", "subject", "before", "after", "change_id"];
        let cells = |row: &Value| fields.map(|field| plain(&row[field])).to_vec();
        table::print(&fields, &rows.iter().map(cells).collect::<Vec<_>>());
    }
    Ok(())
}

/// Returns a row for each operation of a change whose subject begins with `subject`.
fn rows(change: &Change, subject: &str) -> Vec<Value> {
    let before = change.before.iter().cloned().chain(std::iter::repeat(Value::Null));
    let wanted = change.operations.iter().zip(before);
    wanted
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

fn plain(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

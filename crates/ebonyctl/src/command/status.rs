//! `status`: queries every host and shows its state.

use ebonytack_core::{OperatorReply, OperatorRequest};
use serde_json::{Value, json};

use super::Context;
use crate::failure::Failure;
use crate::table;

pub(super) async fn run(context: &Context) -> Result<(), Failure> {
    let replies = context.client.send_to_each(&OperatorRequest::Status).await;
    let statuses: Vec<(String, Value)> = replies
        .into_iter()
        .map(|(host, reply)| match reply {
            Ok(OperatorReply::Status { status }) => (host, status),
            Ok(other) => (host, json!({"error": format!("{other:?}")})),
            Err(failure) => (host, json!({"error": failure.to_string()})),
        })
        .collect();
    let any_reached = statuses.iter().any(|(_, status)| status.get("error").is_none());
    if !context.print_json(&json!(statuses)) {
        print(&statuses);
    }
    if any_reached {
        Ok(())
    } else {
        Err(Failure::Unreachable("no host could be reached".to_owned()))
    }
}

fn print(statuses: &[(String, Value)]) {
    let header =
        ["address", "host", "revision", "ready", "age ms", "shards", "in flight", "ejected"];
    let rows: Vec<Vec<String>> = statuses
        .iter()
        .map(|(address, status)| {
            if let Some(error) = status.get("error") {
                return vec![address.clone(), error.to_string()];
            }
            let cell = |name: &str| status[name].to_string();
            vec![
                address.clone(),
                cell("host"),
                cell("revision"),
                cell("ready"),
                cell("knowledge_age_ms"),
                cell("shards_held"),
                cell("requests_in_flight"),
                ejected(status),
            ]
        })
        .collect();
    table::print(&header, &rows);
}

/// Returns the ejected instances as `SERVICE/INSTANCE`, separated by spaces.
fn ejected(status: &Value) -> String {
    let services = status["services"].as_object();
    let instance_names = |(service, view): (&String, &Value)| {
        let names: Vec<String> = view["ejected"]
            .as_array()
            .into_iter()
            .flatten()
            .filter_map(|name| Some(format!("{service}/{}", name.as_str()?)))
            .collect();
        names
    };
    services.into_iter().flatten().flat_map(instance_names).collect::<Vec<_>>().join(" ")
}

//! Submitting changes to the declaration, and `drain` and `undrain`.

use std::time::{SystemTime, UNIX_EPOCH};

use ebonytack_core::{
    InstanceState, Operation, OperatorReply, OperatorRequest, RawDeclaration, Revision,
};
use serde_json::json;

use super::Context;
use crate::failure::Failure;

/// Submits operations that were derived from revision `based_on` and prints the new revision.
///
/// Fails with [`Failure::Conflict`] if `based_on` is no longer the revision in force.
pub(super) async fn submit(
    context: &Context,
    based_on: Revision,
    operations: Vec<Operation>,
) -> Result<(), Failure> {
    let request = OperatorRequest::Apply {
        change_id: context.change_id(),
        author: author(),
        made_at_unix_ms: now_unix_ms(),
        based_on: Some(based_on),
        operations,
    };
    match context.client.send(&request).await? {
        OperatorReply::Accepted { revision, confirmed } => {
            if !context.print_json(&json!({"revision": revision, "confirmed": confirmed})) {
                let state = if confirmed { "in force" } else { "accepted, not confirmed yet" };
                println!("Revision {revision} is {state}.");
            }
            Ok(())
        }
        other => Err(Failure::from_reply(other)),
    }
}

/// Drains (`drain` is true) or undrains a host or an instance.
pub(super) async fn set_drain(context: &Context, target: &str, drain: bool) -> Result<(), Failure> {
    let (revision, declaration) = context.client.declaration().await?;
    let operation = drain_operation(&declaration, target, drain)?;
    submit(context, revision, vec![operation]).await
}

fn drain_operation(
    declaration: &RawDeclaration,
    target: &str,
    drain: bool,
) -> Result<Operation, Failure> {
    let unknown =
        || Failure::InvalidInput(format!("{target:?} is not a declared host or instance"));
    match target.split('/').collect::<Vec<_>>().as_slice() {
        ["host", number] => {
            let id = number.parse().map_err(|_| unknown())?;
            let mut host = declaration.hosts.get(&id).cloned().ok_or_else(unknown)?;
            host.drained = drain;
            Ok(Operation::Host { id, value: Some(host) })
        }
        ["instance", service, instance] => Ok(Operation::InstanceState {
            service: (*service).to_owned(),
            instance: (*instance).to_owned(),
            value: if drain { InstanceState::Draining } else { InstanceState::Active },
        }),
        _ => Err(unknown()),
    }
}

/// Returns the author recorded in the audit trail: `$USER`, or `unknown`.
pub(super) fn author() -> String {
    std::env::var("USER").unwrap_or_else(|_| "unknown".to_owned())
}

/// Returns the system time in milliseconds since the Unix epoch.
pub(super) fn now_unix_ms() -> u64 {
    // A clock set before 1970 yields 0.
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

impl Context {
    /// Returns the id given by `--change-id`, or a new unique one.
    pub(super) fn change_id(&self) -> String {
        let generate = || {
            let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            format!("{}-{}-{}", author(), std::process::id(), elapsed.as_nanos())
        };
        self.change_id.clone().unwrap_or_else(generate)
    }
}

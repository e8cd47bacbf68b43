//! `ebonyctl` against a host whose reply is broken.

use std::process::Command;

use ebonytack_stand_in::{
    BrokenResponse, ConnectionEnd, RawInstance, invalid_field_names, invalid_status_lines,
    truncated_responses,
};

const REPLY: &str = r#"{"audit":{"changes":[]}}"#;

/// Runs `ebonyctl audit` with a host that sends this reply, and returns the exit code.
async fn audit(reply: BrokenResponse) -> Option<i32> {
    let host = RawInstance::broken(reply).await.expect("a host starts").address.to_string();
    let run = move || {
        let mut command = Command::new(env!("CARGO_BIN_EXE_ebonyctl"));
        command.args(["--host", &host, "audit"]).output().expect("ebonyctl starts")
    };
    let output = actix_rt::task::spawn_blocking(run).await.expect("ebonyctl ends");
    output.status.code()
}

/// Guards against a reply that the host did not send.
#[actix_rt::test]
async fn broken_reply_gives_exit_code_4() {
    let text = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{REPLY}", REPLY.len());
    let valid = BrokenResponse {
        name: "valid".to_owned(),
        bytes: text.into_bytes(),
        end: ConnectionEnd::Close,
    };
    assert_eq!(audit(valid).await, Some(0));
    let mut taken = Vec::new();
    let heads = [invalid_status_lines("", REPLY), invalid_field_names("", REPLY)];
    for reply in heads.into_iter().flatten().chain(truncated_responses("", REPLY)) {
        let name = reply.name.clone();
        let code = audit(reply).await;
        if code != Some(4) {
            taken.push(format!("exit code {code:?}: {name}"));
        }
    }
    assert!(taken.is_empty(), "{} taken for replies: {taken:#?}", taken.len());
}

//! Runs the `ebonyctl` binary and checks its output and exit codes.

mod broken_responses;

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn run(arguments: &[&str]) -> Output {
    let program = env!("CARGO_BIN_EXE_ebonyctl");
    Command::new(program).args(arguments).output().expect("ebonyctl starts")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn examples_dir() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples")
}

#[test]
fn example_declarations_are_valid() {
    for entry in std::fs::read_dir(examples_dir()).expect("the examples directory exists") {
        let path = entry.expect("a readable directory entry").path();
        if path.to_string_lossy().ends_with(".fleet.json") {
            let output = run(&["validate", &path.to_string_lossy()]);
            assert!(output.status.success(), "{}", text(&output.stderr));
        }
    }
}

#[test]
fn invalid_declaration_is_reported_with_path_and_exit_code_2() {
    let path = std::env::temp_dir().join(format!("ebonyctl-{}.json", std::process::id()));
    let json = r#"{"customers": {"club": {"rate_per_second": 0, "burst": 1}}}"#;
    std::fs::write(&path, json).expect("the declaration is written");
    let output = run(&["validate", &path.to_string_lossy()]);
    std::fs::remove_file(&path).expect("the file is removed");
    assert_eq!(output.status.code(), Some(2));
    let message = text(&output.stderr);
    assert!(message.contains("customer/club.rate_per_second: out of range: found 0"), "{message}");
}

#[test]
fn unreachable_host_gives_exit_code_4() {
    let output = run(&["--host", "127.0.0.1:9", "status"]);
    assert_eq!(output.status.code(), Some(4), "{}", text(&output.stderr));
}

#[test]
fn missing_host_or_unknown_command_gives_exit_code_2() {
    assert_eq!(run(&["status"]).status.code(), Some(2));
    assert_eq!(run(&["explode"]).status.code(), Some(2));
}

#[test]
fn help_lists_exit_codes_and_completion_prints_script() {
    let help = run(&["--help"]);
    assert!(text(&help.stdout).contains("3 conflict"), "{}", text(&help.stdout));
    let script = run(&["completion", "bash"]);
    assert!(text(&script.stdout).contains("_ebonyctl"));
}

/// Writes the logs of hosts h-1 and h-2 and returns their paths.
///
/// Request r-7 fails on instance i-1 of h-1. The logs also contain a line that is not a record,
/// another request (r-8), a failure on i-1 within the shown time (r-6) and one before it (r-1).
fn write_logs(name: &str) -> [String; 2] {
    let first = concat!(
        r#"{"time":10.2,"host":"h-1","part":"upstream","event":"placed","request":"r-7","instance":"i-1","failure_percent":2}"#,
        "\n",
        r#"{"time":10.3,"host":"h-1","part":"upstream","event":"attempt-failed","request":"r-7","instance":"i-1","kind":"broken","may_have_run":true}"#,
        "\n",
        r#"{"time":10.3,"host":"h-1","part":"request","event":"refused","request":"r-7","reason":"upstream-failed","outcome":"unknown","input":"1 sends, none left","after_ms":100}"#,
        "\nnot a record\n",
        r#"{"time":10.4,"host":"h-1","part":"request","event":"delivered","request":"r-8","instance":"i-1","status":200}"#,
    );
    let second = concat!(
        r#"   9.5 h-2 {"time":9.5,"host":"h-2","part":"upstream","event":"attempt-failed","request":"r-6","instance":"i-1","kind":"status 500"}"#,
        "\n",
        r#"{"time":1.0,"host":"h-2","part":"upstream","event":"attempt-failed","request":"r-1","instance":"i-1","kind":"early"}"#,
    );
    [first, second].map(|content| {
        let file = format!("ebonyctl-{}-{name}-{}.log", std::process::id(), content.len());
        let path = std::env::temp_dir().join(file);
        std::fs::write(&path, content).expect("the log is written");
        path.to_string_lossy().into_owned()
    })
}

#[test]
fn explain_merges_logs_of_several_hosts() {
    let [first, second] = write_logs("explain");
    let output = run(&["explain", "r-7", &first, &second]);
    let printed = text(&output.stdout);
    assert!(output.status.success(), "{}", text(&output.stderr));
    let lines: Vec<&str> = printed.lines().collect();
    assert_eq!(lines.len(), 5, "{printed}");
    assert!(lines[0].contains("h-2") && lines[0].contains("status 500"), "{printed}");
    assert!(lines[1].contains("placed") && lines[1].contains("+0.000 s"), "{printed}");
    assert!(lines[4].contains("upstream-failed, unknown"), "{printed}");
    assert!(!printed.contains("r-8") && !printed.contains("early"), "{printed}");
}

#[test]
fn explain_of_unlogged_request_gives_exit_code_2() {
    let [first, second] = write_logs("unknown");
    let output = run(&["explain", "r-99", &first, &second]);
    assert_eq!(output.status.code(), Some(2));
    assert!(text(&output.stderr).contains("r-99"));
}

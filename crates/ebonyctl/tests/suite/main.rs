//! Tests of the command line as a user runs it.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn run(arguments: &[&str]) -> Output {
    let program = env!("CARGO_BIN_EXE_ebonyctl");
    Command::new(program).args(arguments).output().expect("the program runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn examples() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples")
}

#[test]
fn the_examples_are_valid() {
    for entry in std::fs::read_dir(examples()).expect("the folder is there") {
        let path = entry.expect("an entry").path();
        if path.to_string_lossy().ends_with(".fleet.json") {
            let output = run(&["validate", &path.to_string_lossy()]);
            assert!(output.status.success(), "{}", text(&output.stderr));
        }
    }
}

#[test]
fn a_wrong_declaration_is_refused_with_its_path_and_exit_code_2() {
    let path = std::env::temp_dir().join(format!("ebonyctl-{}.json", std::process::id()));
    let json = r#"{"customers": {"club": {"rate_per_second": 0, "burst": 1}}}"#;
    std::fs::write(&path, json).expect("a file is written");
    let output = run(&["validate", &path.to_string_lossy()]);
    std::fs::remove_file(&path).expect("the file is removed");
    assert_eq!(output.status.code(), Some(2));
    let message = text(&output.stderr);
    assert!(message.contains("customer/club.rate_per_second: out of range: found 0"), "{message}");
}

#[test]
fn a_host_that_does_not_answer_gives_exit_code_4() {
    let output = run(&["--host", "127.0.0.1:9", "status"]);
    assert_eq!(output.status.code(), Some(4), "{}", text(&output.stderr));
}

#[test]
fn a_missing_host_and_an_unknown_command_give_exit_code_2() {
    assert_eq!(run(&["status"]).status.code(), Some(2));
    assert_eq!(run(&["explode"]).status.code(), Some(2));
}

#[test]
fn help_names_the_exit_codes_and_completion_prints_a_script() {
    let help = run(&["--help"]);
    assert!(text(&help.stdout).contains("3 conflict"), "{}", text(&help.stdout));
    let script = run(&["completion", "bash"]);
    assert!(text(&script.stdout).contains("_ebonyctl"));
}

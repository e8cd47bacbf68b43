//! Tests of the binary: settings validation, and hosts in `gateway` mode.

mod broken_responses;
mod evacuation;
mod gateway;
mod host;
mod instances;
mod limits;
mod restored;
mod slow_readers;
mod sources;
mod stop_moments;
mod stopping;

use std::path::PathBuf;
use std::process::{Command, Output};

const VALID: &str = r#"{
    "host": 1,
    "data_centre": "a",
    "listen": {"callers": "127.0.0.1:1", "peers": "127.0.0.1:2", "admin": "127.0.0.1:3"},
    "platform": {"kind": "http", "address": "127.0.0.1:4"},
    "fleet_secret": "a secret of enough bytes",
    "operator_token_sha256": "0000000000000000000000000000000000000000000000000000000000000000"
}"#;

/// Runs `ebonytack check` on a file with these settings.
fn run_check(name: &str, settings: &str) -> Output {
    let file: PathBuf =
        std::env::temp_dir().join(format!("ebonytack-settings-{}-{name}", std::process::id()));
    std::fs::write(&file, settings).expect("the settings file is written");
    let output = Command::new(env!("CARGO_BIN_EXE_ebonytack"))
        .args(["check", "--settings"])
        .arg(&file)
        .output()
        .expect("the binary runs");
    std::fs::remove_file(file).expect("the settings file is removed");
    output
}

#[test]
fn valid_settings_are_accepted() {
    let output = run_check("valid", VALID);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
}

#[test]
fn invalid_setting_is_reported_with_path_value_and_allowed_range() {
    let cases = [
        (r#""host": 1"#, r#""host": 0"#, "$.host: found 0; allowed: a number from 1"),
        (r#""data_centre": "a""#, r#""data_centre": """#, "$.data_centre: found \"\""),
        ("127.0.0.1:1", "localhost:1", "$.listen.callers: found \"localhost:1\"; allowed: an IP"),
        ("127.0.0.1:2", "127.0.0.1", "$.listen.peers: found"),
        ("127.0.0.1:3", "", "$.listen.admin: found"),
        ("127.0.0.1:4", "platform", "$.platform.address: found \"platform\""),
        (
            "a secret of enough bytes",
            "short",
            "$.fleet_secret: found 5 bytes; allowed: at least 16",
        ),
        ("00000000\"", "0000000g\"", "$.operator_token_sha256: found 64 characters"),
        (r#""host": 1"#, r#""hosts": 1"#, "unknown field `hosts`"),
        (r#""kind": "http""#, r#""kind": "ftp""#, "unknown variant `ftp`"),
        ("{", "[", "$: found"),
        (r#""host": 1"#, r#""log": {"level": "loud"}, "host": 1"#, "$.log.level: found \"loud\""),
        (
            r#""host": 1"#,
            r#""limits": {"connections": 0, "header_bytes": 1}, "host": 1"#,
            "$.limits.header_bytes: found 1; allowed: 1024 to 1048576",
        ),
    ];
    for (index, (from, to, expected)) in cases.into_iter().enumerate() {
        let output = run_check(&index.to_string(), &VALID.replacen(from, to, 1));
        let message = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{message}");
        assert!(message.contains(expected), "{expected}\n{message}");
    }
}

#[test]
fn all_invalid_settings_are_reported_together() {
    let settings = VALID.replace("127.0.0.1:1", "one").replace("127.0.0.1:2", "two");
    let output = run_check("all", &settings);
    let message = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(message.contains("2 faults") && message.contains("$.listen.peers"), "{message}");
}

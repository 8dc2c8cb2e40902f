//! Errors of `ashgauged --check`, which name the faulty setting and the remedy.

use std::path::PathBuf;
use std::process::{Command, Output};

use serde_json::{Value, json};

fn settings() -> Value {
    json!({
        "id": "box-1", "data_centre": "ebene-a",
        "caller": "127.0.0.1:0", "peer": "127.0.0.1:0", "operator": "127.0.0.1:0",
        "platform": "127.0.0.1:9",
        "peer_credential": {"env": "CHECK_PEER"},
        "operator_credential": {"env": "CHECK_OPERATOR"},
    })
}

fn check(name: &str, settings: &Value) -> Output {
    let path: PathBuf = std::env::temp_dir().join(format!("{}-{name}.json", std::process::id()));
    std::fs::write(&path, settings.to_string()).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_ashgauged"));
    command.arg("--check").arg("--settings").arg(&path);
    command.env("CHECK_PEER", "peer-secret-1");
    command.env("CHECK_OPERATOR", "operator-secret-1");
    let output = command.output().unwrap();
    std::fs::remove_file(path).unwrap();
    output
}

fn assert_refused(name: &str, settings: &Value, parts: &[&str]) {
    let output = check(name, settings);
    let text = String::from_utf8_lossy(&output.stderr).to_string();
    assert_eq!(output.status.code(), Some(2), "{text}");
    for part in parts {
        assert!(text.contains(part), "`{part}` is not in: {text}");
    }
}

#[test]
fn good_settings_pass_and_show_no_credential() {
    let output = check("good", &settings());
    assert_eq!(output.status.code(), Some(0));
    let text = String::from_utf8_lossy(&output.stdout).to_string();
    assert!(text.contains("box-1") && !text.contains("secret"), "{text}");
}

#[test]
fn unknown_field_is_named() {
    let mut s = settings();
    s["timing"] = json!({"heartbeat_sec": 1});
    assert_refused("unknown", &s, &["heartbeat_sec", "docs/OPERATIONS.md"]);
}

#[test]
fn wrong_unit_is_named() {
    let mut s = settings();
    s["timing"] = json!({"heartbeat_ms": "1s"});
    assert_refused("unit", &s, &["invalid type", "line 1"]);
}

#[test]
fn impossible_value_is_named() {
    let mut s = settings();
    s["limits"] = json!({"body_bytes": 0});
    assert_refused("zero", &s, &["limits.body_bytes", "at least 1"]);
}

#[test]
fn conflict_of_two_settings_is_named() {
    let mut s = settings();
    s["timing"] = json!({"heartbeat_ms": 10_000, "isolation_ms": 10_000});
    assert_refused("clash", &s, &["timing.isolation_ms", "timing.heartbeat_ms"]);
    let mut s = settings();
    s["caller"] = json!("127.0.0.1:7000");
    s["operator"] = json!("127.0.0.1:7000");
    assert_refused("ports", &s, &["caller and operator", "port of its own"]);
}

#[test]
fn missing_credential_is_named() {
    let mut s = settings();
    s["peer_credential"] = json!({"file": "/does/not/exist"});
    assert_refused("credential", &s, &["peer_credential", "name a file"]);
}

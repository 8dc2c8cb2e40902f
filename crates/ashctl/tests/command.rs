//! The command line without a fleet: help, usage errors and exit codes.

use std::io::Write;
use std::process::{Command, Stdio};

fn ashctl(args: &[&str]) -> (i32, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ashctl"));
    command
        .args(args)
        .env_remove("ASHCTL_BOX")
        .env("ASHCTL_CREDENTIAL", "x");
    let output = command.output().unwrap();
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).to_string();
    let code = output.status.code().unwrap_or(-1);
    (code, text(&output.stdout), text(&output.stderr))
}

#[test]
fn help_names_every_command() {
    let (code, text, _) = ashctl(&["--help"]);
    assert_eq!(code, 0);
    let commands = [
        "show",
        "columns",
        "set",
        "export",
        "import",
        "history",
        "hash-key",
        "status",
        "upstreams",
        "chains",
        "leases",
        "drain",
        "timeline",
        "relay",
        "configs",
        "serving",
    ];
    for command in commands {
        assert!(text.contains(&format!("\n  {command} ")), "{command}");
    }
}

#[test]
fn usage_errors_exit_with_two_and_a_remedy() {
    let (code, _, text) = ashctl(&["show"]);
    assert_eq!((code, text.contains("--box")), (2, true), "{text}");
    let (code, _, text) = ashctl(&["--box", "127.0.0.1:1", "set", "a", "b"]);
    assert_eq!(
        (code, text.contains("ROW COLUMN VALUE")),
        (2, true),
        "{text}"
    );
    let (code, _, text) = ashctl(&["--box", "127.0.0.1:1", "status"]);
    assert_eq!((code, text.contains("another box")), (2, true), "{text}");
}

#[test]
fn key_is_hashed() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ashctl"));
    command
        .arg("hash-key")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped());
    let mut child = command.spawn().unwrap();
    child.stdin.take().unwrap().write_all(b"abc\n").unwrap();
    let output = child.wait_with_output().unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(text.starts_with("ba7816bf8f01cfea"), "{text}");
}

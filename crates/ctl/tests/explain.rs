//! Tests of `oleanderctl explain` with files and with standard input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const LOG: &str = concat!(
    "{\"time_ms\":10,\"node\":\"edge-1\",\"event\":\"send\",\"id\":\"a\",\"backend\":\"i-1\",\"manifest\":4}\n",
    "{\"time_ms\":15,\"node\":\"edge-1\",\"event\":\"end\",\"id\":\"a\",\"end\":\"failed\",\"verdict\":\"may-have-run\",\"reason\":\"no answer\",\"total_ms\":5.0}\n",
);

fn explain(id: &str, files: &[&str], input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_oleanderctl"))
        .arg("explain")
        .arg(id)
        .args(files)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // If files are given, the program may exit before it reads its input.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    child.wait_with_output().unwrap()
}

#[test]
fn a_request_is_explained_from_standard_input() {
    let output = explain("a", &[], LOG);
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success());
    assert!(
        text.contains("cause: it failed after 5 ms, because no answer; verdict may-have-run"),
        "{text}"
    );
}

#[test]
fn lines_of_several_files_are_put_in_order() {
    let dir = tempfile::tempdir().unwrap();
    let mut lines = LOG.lines();
    let paths: Vec<String> = ["2.log", "1.log"]
        .iter()
        .map(|name| {
            let path = dir.path().join(name);
            std::fs::write(&path, lines.next().unwrap()).unwrap();
            path.display().to_string()
        })
        .collect();
    let output = explain("a", &[&paths[1], &paths[0]], "");
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(
        text.find("send").unwrap() < text.find("end=failed").unwrap(),
        "{text}"
    );
}

#[test]
fn an_unknown_request_and_a_missing_file_have_distinct_exit_codes() {
    let unknown = explain("b", &[], LOG);
    assert_eq!(unknown.status.code(), Some(1));
    let missing = explain("a", &["/nowhere/at/all.log"], "");
    assert_eq!(missing.status.code(), Some(2));
}

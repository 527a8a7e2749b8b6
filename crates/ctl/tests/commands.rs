//! Tests of the built program against real entry VMs and the platform stand-in.

use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::time::Duration;

use oleander_decide::PolicyKind;
use oleander_demo::{DEMO_SCENARIO, Deployment};
use oleander_load::Scenario;
use oleander_standin::{FaultPlan, OutageKind};
use serde_json::Value;

const READY_TIMEOUT: Duration = Duration::from_secs(60);

struct TestFleet {
    deployment: Deployment,
    files: tempfile::TempDir,
    key_file: PathBuf,
}

impl TestFleet {
    fn spawn() -> Self {
        let scenario = Scenario::parse(DEMO_SCENARIO).unwrap();
        let deployment = Deployment::spawn(&scenario, PolicyKind::Tiered).unwrap();
        assert!(deployment.wait_until_ready(READY_TIMEOUT));
        let files = tempfile::tempdir().unwrap();
        let key_file = files.path().join("operators.key");
        std::fs::write(&key_file, deployment.secrets.operator_key()).unwrap();
        Self {
            deployment,
            files,
            key_file,
        }
    }

    fn file(&self, name: &str, text: &str) -> String {
        let path = self.files.path().join(name);
        std::fs::write(&path, text).unwrap();
        path.display().to_string()
    }

    /// Runs the program with the addresses of all entry VMs.
    fn run(&self, arguments: &[&str]) -> Output {
        let mut command = program(arguments);
        for entry in &self.deployment.entries {
            command.arg("--entry").arg(entry.operators.to_string());
        }
        command.arg("--operator-key-file").arg(&self.key_file);
        command.output().unwrap()
    }

    /// Runs the program with the address of the platform's key-value store.
    fn run_at_platform(&self, arguments: &[&str]) -> Output {
        let address = self.deployment.platform.address().to_string();
        let mut command = program(arguments);
        command.args(["--platform", &address]);
        command.output().unwrap()
    }
}

fn program(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_oleanderctl"));
    command.args(arguments);
    command
}

#[track_caller]
fn stdout_text(output: &Output, code: i32) -> String {
    let error = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(code), "{error}");
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[track_caller]
fn stderr_text(output: &Output, code: i32) -> String {
    stdout_text(output, code);
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn class_document(target: u32) -> String {
    format!(
        "schema = 2\nname = \"fast\"\ntier = 1\nfirst_token_target_ms = {target}\n\
         token_gap_target_ms = 80\npatience_ms = 9000\ngoodput_weight = 1.0\n\
         minimum_share = 0.05\n"
    )
}

#[test]
fn records_are_written_read_edited_watched_and_deleted() {
    let fleet = TestFleet::spawn();
    let file = fleet.file("class.fast.toml", &class_document(900));
    let first = stdout_text(&fleet.run(&["record", "put", &file, "--output", "json"]), 0);
    let first: Value = serde_json::from_str(&first).unwrap();
    assert_eq!(first["record"], "class/fast");
    let watched = stdout_text(&fleet.run(&["record", "watch", "class", "fast"]), 0);
    assert!(watched.contains("in force at 4 entry VMs"), "{watched}");
    let listed = stdout_text(&fleet.run(&["record", "list", "class"]), 0);
    assert!(listed.contains("fast"), "{listed}");
    let edit = [
        "record",
        "edit",
        "class",
        "fast",
        "first_token_target_ms=700",
    ];
    stdout_text(&fleet.run(&edit), 0);
    let found = stdout_text(&fleet.run(&["record", "get", "class", "fast"]), 0);
    assert!(found.contains("first_token_target_ms = 700"), "{found}");
    assert!(found.contains("patience_ms = 9000"), "{found}");
    assert!(found.contains("write_id"), "{found}");
    let revision = first["revision"].to_string();
    let stale = ["record", "put", &file, "--expected", &revision];
    let conflict = stderr_text(&fleet.run(&stale), 4);
    assert!(
        conflict.contains("the record is now at revision"),
        "{conflict}"
    );
    stdout_text(&fleet.run(&["record", "delete", "class", "fast"]), 0);
    stderr_text(&fleet.run(&["record", "get", "class", "fast"]), 1);
    let needed = stderr_text(
        &fleet.run(&["record", "delete", "class", "correction-draft"]),
        2,
    );
    assert!(needed.contains("class/correction-draft"), "{needed}");
}

#[test]
fn invalid_documents_are_refused_with_field_and_remedy() {
    let fleet = TestFleet::spawn();
    let file = fleet.file("class.fast.toml", &class_document(0));
    let error = stderr_text(&fleet.run(&["record", "put", &file]), 2);
    assert!(error.contains("first_token_target_ms"), "{error}");
    assert!(error.contains("must be"), "{error}");
    let file = fleet.file("class.typo.toml", &(class_document(900) + "patiense = 3\n"));
    let error = stderr_text(&fleet.run(&["record", "check", &file]), 2);
    assert!(error.contains("patiense"), "{error}");
    stderr_text(&fleet.run(&["record", "put", &file]), 2);
    let key = fleet.file("wrong.key", "not the key");
    let entry = fleet.deployment.entries[0].operators.to_string();
    let wrong = ["status", "--entry", &entry, "--operator-key-file", &key];
    let error = stderr_text(&program(&wrong).output().unwrap(), 2);
    assert!(error.contains("wrong operators' key"), "{error}");
    stderr_text(&program(&["status"]).output().unwrap(), 2);
}

#[test]
fn next_entry_and_then_the_platform_are_tried() {
    let fleet = TestFleet::spawn();
    fleet.deployment.entries[0].crash();
    let status = stdout_text(&fleet.run(&["status"]), 0);
    assert!(status.contains("ke-entry-2"), "{status}");
    let file = fleet.file("class.fast.toml", &class_document(900));
    stdout_text(&fleet.run(&["record", "put", &file]), 0);
    for entry in &fleet.deployment.entries {
        entry.crash();
    }
    let error = stderr_text(&fleet.run(&["record", "list"]), 1);
    assert!(error.contains("nothing can be reached"), "{error}");
    let edit = ["record", "edit", "class", "fast", "patience_ms=7000"];
    let edited = stdout_text(&fleet.run_at_platform(&edit), 0);
    assert!(
        edited.contains("through the platform's service"),
        "{edited}"
    );
    let refused = ["record", "delete", "class", "correction-draft"];
    stderr_text(&fleet.run_at_platform(&refused), 2);
    let found = stdout_text(
        &fleet.run_at_platform(&["record", "get", "class", "fast"]),
        0,
    );
    assert!(found.contains("patience_ms = 7000"), "{found}");
}

#[test]
fn unknown_outcomes_are_resolved_and_reported() {
    let fleet = TestFleet::spawn();
    fleet
        .deployment
        .platform
        .drop_write_answers_of("class/fast", 1);
    let file = fleet.file("class.fast.toml", &class_document(900));
    let done = stdout_text(&fleet.run(&["record", "put", &file]), 0);
    assert!(done.contains("its outcome was unknown at first"), "{done}");
    fleet
        .deployment
        .platform
        .drop_write_answers_of("class/fast", 1);
    let edit = ["record", "edit", "class", "fast", "patience_ms=7000"];
    let done = stdout_text(&fleet.run_at_platform(&edit), 0);
    assert!(done.contains("its outcome was unknown at first"), "{done}");
    fleet
        .deployment
        .platform
        .drop_write_answers_of("class/fast", 1);
    stdout_text(&fleet.run(&["record", "delete", "class", "fast"]), 0);
    stderr_text(&fleet.run(&["record", "get", "class", "fast"]), 1);
}

#[test]
fn store_outage_refuses_a_change_and_keeps_the_records() {
    let fleet = TestFleet::spawn();
    fleet.deployment.platform.set_faults(FaultPlan {
        outage: OutageKind::Refuse,
        ..FaultPlan::default()
    });
    let file = fleet.file("class.fast.toml", &class_document(900));
    let error = stderr_text(&fleet.run(&["record", "put", &file]), 1);
    assert!(error.contains("did not take effect"), "{error}");
    stdout_text(
        &fleet.run(&["record", "get", "class", "correction-draft"]),
        0,
    );
    fleet.deployment.platform.set_faults(FaultPlan::default());
    stdout_text(&fleet.run(&["record", "put", &file]), 0);
}

#[test]
fn screens_show_a_change_and_dumps_answer() {
    let fleet = TestFleet::spawn();
    let checked = stdout_text(&fleet.run(&["screens", "--check"]), 0);
    assert!(checked.contains("shown on 4 screens"), "{checked}");
    let screens = stdout_text(&fleet.run(&["screens"]), 0);
    assert!(screens.contains("yes, ke-entry-0"), "{screens}");
    let dump = stdout_text(&fleet.run(&["dump"]), 0);
    assert!(dump.contains("[pools]"), "{dump}");
    let dump = stdout_text(&fleet.run(&["dump", "--format", "json"]), 0);
    let dump: Value = serde_json::from_str(&dump).unwrap();
    assert!(
        dump["records"]
            .as_array()
            .is_some_and(|lines| !lines.is_empty())
    );
    let secret = fleet.deployment.secrets.operator_key();
    assert!(!dump.to_string().contains(secret));
}

#[test]
fn commands_without_a_fleet() {
    let schema = stdout_text(&program(&["schema", "class"]).output().unwrap(), 0);
    assert!(schema.contains("first_token_target_ms"), "{schema}");
    assert!(schema.contains(", in ms"), "{schema}");
    let schema = stdout_text(
        &program(&["schema", "--output", "json"]).output().unwrap(),
        0,
    );
    let schema: Value = serde_json::from_str(&schema).unwrap();
    assert!(schema.as_array().is_some_and(|list| list.len() >= 7));
    let shell = stdout_text(&program(&["completions", "bash"]).output().unwrap(), 0);
    assert!(shell.contains("oleanderctl"));
    let help = stdout_text(&program(&["--help"]).output().unwrap(), 0);
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/OPERATING.md");
    let page = std::fs::read_to_string(page).unwrap();
    for code in ["0 ", "1 ", "2 ", "3 ", "4 ", "5 "] {
        assert!(help.contains(&format!("\n  {code}")), "{help}");
        assert!(page.contains(&format!("\n| {code}")), "{code}");
    }
}

#[test]
fn check_reads_standard_input_without_a_fleet() {
    let mut child = program(&["record", "check", "-", "--kind", "class"])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut input = child.stdin.take().unwrap();
    input.write_all(class_document(900).as_bytes()).unwrap();
    drop(input);
    let checked = stdout_text(&child.wait_with_output().unwrap(), 0);
    assert!(checked.contains("records/class/fast"), "{checked}");
}

/// Waits until the condition holds for the state that an entry VM reports.
#[track_caller]
fn wait_for(fleet: &TestFleet, what: &str, condition: impl Fn(&Value) -> bool) {
    let until = std::time::Instant::now() + READY_TIMEOUT;
    loop {
        let state = stdout_text(&fleet.run(&["status", "--output", "json"]), 0);
        let state: Value = serde_json::from_str(&state).unwrap();
        if condition(&state) {
            return;
        }
        assert!(std::time::Instant::now() < until, "{what}: {state}");
    }
}

fn stage<'a>(state: &'a Value, list: &str, name: &str) -> Option<&'a str> {
    let lines = state[list].as_array()?;
    let line = lines.iter().find(|line| line["name"] == name)?;
    line["stage"].as_str()
}

#[test]
fn state_shows_planned_stops_and_lost_entry_vms() {
    let fleet = TestFleet::spawn();
    let serving = |state: &Value| stage(state, "backends", "editors-0") == Some("serving");
    wait_for(&fleet, "the server serves", serving);
    let stop = "schema = 1\nname = \"editor\"\nreason = \"new memory\"\n\
                target = { kind = \"backend\", name = \"editors-0\" }\n";
    let file = fleet.file("stop.editor.toml", stop);
    stdout_text(&fleet.run(&["record", "put", &file]), 0);
    wait_for(&fleet, "the server leaves", |state| {
        stage(state, "backends", "editors-0") == Some("leaving")
            && state["stops"][0]["reason"] == "new memory"
    });
    stdout_text(&fleet.run(&["record", "delete", "stop", "editor"]), 0);
    wait_for(&fleet, "the server is back", serving);
    fleet.deployment.entries[3].crash();
    wait_for(&fleet, "the entry VM is lost", |state| {
        stage(state, "entries", "ba-entry-3") != Some("live")
    });
}

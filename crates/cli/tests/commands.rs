//! Runs the `oriolepass` binary against daemons of a test cluster.

use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Output};

use oriolepass_testbed::{Fleet, FleetPlan, ROOT_KEY};

struct CommandLine {
    daemons: Vec<SocketAddr>,
    key: String,
}

impl CommandLine {
    fn run(&self, arguments: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_oriolepass"));
        for daemon in &self.daemons {
            command.arg("--daemon").arg(daemon.to_string());
        }
        command.args(arguments).env("OPKEY", &self.key).output().expect("the binary runs")
    }

    fn expect_success(&self, arguments: &[&str]) -> String {
        let output = self.run(arguments);
        let errors = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{arguments:?}: {errors}");
        String::from_utf8_lossy(&output.stdout).into_owned()
    }

    fn expect_failure(&self, arguments: &[&str], code: i32) -> String {
        let output = self.run(arguments);
        let errors = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(code), "{arguments:?}: {errors}");
        assert!(!errors.contains(&self.key), "the error message contains the operator's key");
        errors
    }
}

fn write(folder: &Path, name: &str, text: &str) -> String {
    let file = folder.join(name);
    std::fs::write(&file, text).expect("the file can be written");
    file.display().to_string()
}

/// Runs `work` on a blocking thread, because waiting for the binary would block the runtime that the
/// daemons need.
async fn run_blocking(command_line: CommandLine, work: impl FnOnce(&CommandLine) + Send + 'static) {
    tokio::task::spawn_blocking(move || work(&command_line))
        .await
        .expect("the commands give the expected results");
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_can_do_their_work() {
    let fleet = Fleet::start(FleetPlan::default()).await.expect("the cluster starts");
    let daemons = (0..3).map(|number| fleet.operators(number)).collect();
    let command_line = CommandLine { daemons, key: ROOT_KEY.to_owned() };
    run_blocking(command_line, |command_line| {
        changes(command_line);
        queries(command_line);
        refusals(command_line);
    })
    .await;
    assert!(!fleet.is_empty());
}

fn changes(command_line: &CommandLine) {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let hash = command_line.expect_success(&["hash-key"]);
    assert_eq!(hash.trim().len(), 64);
    let file = write(
        folder.path(),
        "objects.json",
        r#"[{"name": "draft-model", "reason": "first try",
             "spec": {"model": {"version": "1", "max_prompt": 5000}}}]"#,
    );
    let shown = command_line.expect_success(&["apply", "--dry-run", &file]);
    assert!(shown.contains("+ model draft-model (new)"), "{shown}");
    assert!(
        !command_line.expect_success(&["list", "model"]).contains("draft-model"),
        "a dry run must not apply changes"
    );
    assert!(
        command_line.expect_success(&["apply", "--wait", &file]).contains("in force everywhere")
    );
    assert!(command_line.expect_success(&["apply", &file]).contains("0 changed"));
    let second = write(
        folder.path(),
        "second.json",
        r#"[{"name": "draft-model", "spec": {"model": {"version": "2", "max_prompt": 5000}}}]"#,
    );
    let shown = command_line.expect_success(&["apply", "--dry-run", &second]);
    assert!(shown.contains("\"version\": \"2\""), "{shown}");
    command_line.expect_success(&["apply", &second]);
    assert!(
        command_line.expect_success(&["get", "model", "draft-model"]).contains("\"revision\": 2")
    );
    let history = command_line.expect_success(&["history", "model", "draft-model"]);
    assert_eq!(history.matches("accepted").count(), 2, "{history}");
    assert!(history.contains("first try"));
    command_line.expect_success(&["delete", "model", "draft-model"]);
    command_line.expect_failure(&["get", "model", "draft-model"], 1);
}

fn queries(command_line: &CommandLine) {
    let status = command_line.expect_success(&["status"]);
    for part in ["leader", "recife-a-0", "serving", "MEMORY HELD"] {
        assert!(status.contains(part), "{status}");
    }
    assert!(command_line.expect_success(&["--json", "status"]).contains("\"config_revision\""));
    assert!(command_line.expect_success(&["wait"]).contains("in force everywhere"));
    assert!(command_line.expect_success(&["audit"]).contains("member join"));
    assert!(command_line.expect_success(&["list"]).contains("account-0"));
}

fn refusals(command_line: &CommandLine) {
    let unauthorized =
        CommandLine { daemons: command_line.daemons.clone(), key: "nobodys-key".to_owned() };
    assert!(unauthorized.expect_failure(&["status"], 1).contains("unauthorized"));
    let without_daemons = CommandLine { daemons: Vec::new(), key: "k".to_owned() };
    assert!(without_daemons.expect_failure(&["status"], 2).contains("--daemon"));
    assert!(
        command_line
            .expect_failure(&["delete", "model", "nothing"], 2)
            .contains("oriolepass list model")
    );
    assert!(
        command_line.expect_failure(&["apply", "no-such-file.json"], 2).contains("cannot be read")
    );
    assert!(
        command_line
            .expect_failure(&["wait", "999999", "--patience", "1"], 4)
            .contains("not in force yet")
    );
    let refused = command_line.expect_failure(&["drain", "nobody"], 1);
    assert!(refused.contains("there is no member"), "{refused}");
    assert!(command_line.expect_failure(&["voters", "a", "b"], 1).contains("name 1, 3 or 5"));
}

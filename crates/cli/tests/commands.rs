//! The command line as operators use it, against real daemons.

use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Output};

use oriolepass_testbed::{Fleet, FleetPlan, ROOT_KEY};

struct Terminal {
    daemons: Vec<SocketAddr>,
    key: String,
}

impl Terminal {
    fn run(&self, arguments: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_oriolepass"));
        for daemon in &self.daemons {
            command.arg("--daemon").arg(daemon.to_string());
        }
        command.args(arguments).env("OPKEY", &self.key).output().expect("the program runs")
    }

    fn good(&self, arguments: &[&str]) -> String {
        let output = self.run(arguments);
        let errors = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{arguments:?}: {errors}");
        String::from_utf8_lossy(&output.stdout).into_owned()
    }

    fn bad(&self, arguments: &[&str], code: i32) -> String {
        let output = self.run(arguments);
        let errors = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(code), "{arguments:?}: {errors}");
        assert!(!errors.contains(&self.key), "the key stands in an error");
        errors
    }
}

fn write(folder: &Path, name: &str, text: &str) -> String {
    let file = folder.join(name);
    std::fs::write(&file, text).expect("a file");
    file.display().to_string()
}

/// The program blocks, so it runs beside the runtime that the daemons' callers need.
async fn in_terminal(terminal: Terminal, work: impl FnOnce(&Terminal) + Send + 'static) {
    tokio::task::spawn_blocking(move || work(&terminal)).await.expect("the commands agree");
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_can_do_their_work() {
    let fleet = Fleet::start(FleetPlan::default()).await.expect("a fleet");
    let daemons = (0..3).map(|number| fleet.operators(number)).collect();
    let terminal = Terminal { daemons, key: ROOT_KEY.to_owned() };
    in_terminal(terminal, |terminal| {
        changes(terminal);
        queries(terminal);
        refusals(terminal);
    })
    .await;
    assert!(!fleet.is_empty());
}

fn changes(terminal: &Terminal) {
    let folder = tempfile::tempdir().expect("a folder");
    let hash = terminal.good(&["hash-key"]);
    assert_eq!(hash.trim().len(), 64);
    let file = write(
        folder.path(),
        "objects.json",
        r#"[{"name": "draft-model", "reason": "first try",
             "spec": {"model": {"version": "1", "max_prompt": 5000}}}]"#,
    );
    let shown = terminal.good(&["apply", "--dry-run", &file]);
    assert!(shown.contains("+ model draft-model (new)"), "{shown}");
    assert!(!terminal.good(&["list", "model"]).contains("draft-model"), "a dry run changed it");
    assert!(terminal.good(&["apply", "--wait", &file]).contains("in force everywhere"));
    assert!(terminal.good(&["apply", &file]).contains("0 changed"));
    let second = write(
        folder.path(),
        "second.json",
        r#"[{"name": "draft-model", "spec": {"model": {"version": "2", "max_prompt": 5000}}}]"#,
    );
    let shown = terminal.good(&["apply", "--dry-run", &second]);
    assert!(shown.contains("\"version\": \"2\""), "{shown}");
    terminal.good(&["apply", &second]);
    assert!(terminal.good(&["get", "model", "draft-model"]).contains("\"revision\": 2"));
    let history = terminal.good(&["history", "model", "draft-model"]);
    assert_eq!(history.matches("accepted").count(), 2, "{history}");
    assert!(history.contains("first try"));
    terminal.good(&["delete", "model", "draft-model"]);
    terminal.bad(&["get", "model", "draft-model"], 1);
}

fn queries(terminal: &Terminal) {
    let status = terminal.good(&["status"]);
    for part in ["leader", "recife-a-0", "serving", "MEMORY HELD"] {
        assert!(status.contains(part), "{status}");
    }
    assert!(terminal.good(&["--json", "status"]).contains("\"config_revision\""));
    assert!(terminal.good(&["wait"]).contains("in force everywhere"));
    assert!(terminal.good(&["audit"]).contains("member join"));
    assert!(terminal.good(&["list"]).contains("account-0"));
}

fn refusals(terminal: &Terminal) {
    let stranger = Terminal { daemons: terminal.daemons.clone(), key: "nobodys-key".to_owned() };
    assert!(stranger.bad(&["status"], 1).contains("unauthorized"));
    let nowhere = Terminal { daemons: Vec::new(), key: "k".to_owned() };
    assert!(nowhere.bad(&["status"], 2).contains("--daemon"));
    assert!(terminal.bad(&["delete", "model", "nothing"], 2).contains("oriolepass list model"));
    assert!(terminal.bad(&["apply", "no-such-file.json"], 2).contains("cannot be read"));
    assert!(terminal.bad(&["wait", "999999", "--patience", "1"], 4).contains("not in force yet"));
    let refused = terminal.bad(&["drain", "nobody"], 1);
    assert!(refused.contains("there is no member"), "{refused}");
    assert!(terminal.bad(&["voters", "a", "b"], 1).contains("name 1, 3 or 5"));
}

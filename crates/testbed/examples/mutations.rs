//! Breaks each defence in a scratch copy and shows which test catches it.
//!
//! `tests/mutations.json` lists the defences. Nothing of this is in the product: the copy is
//! changed as text, built and tested on its own.
//!
//! `cargo run -p oriolepass-testbed --example mutations`

use std::path::{Path, PathBuf};
use std::process::Command;

use eyre::{Result, WrapErr, bail, ensure};
use serde_json::Value;

/// Seeds of the randomised runs: some defences are needed only by rare coincidences.
const SEEDS: &str = "3000";

fn main() -> Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..").canonicalize()?;
    let list = std::fs::read_to_string(root.join("tests/mutations.json"))?;
    let list: Vec<Value> = serde_json::from_str(&list)?;
    let scratch = tempfile::tempdir()?;
    copy_tracked(&root, scratch.path())?;
    let target = root.join("target/mutations");
    let mut missed = Vec::new();
    println!("| defence broken | caught by | first words |\n|---|---|---|");
    for mutation in &list {
        let text = |key: &str| mutation[key].as_str().unwrap_or_default();
        let file = scratch.path().join(text("file"));
        let original = std::fs::read_to_string(&file).wrap_err("the mutated file")?;
        ensure!(
            original.matches(text("before")).count() == 1,
            "{}: the text to change does not stand once in {}",
            text("defence"),
            text("file")
        );
        std::fs::write(&file, original.replace(text("before"), text("after")))?;
        let caught = run_test(scratch.path(), &target, text("package"), text("test"))?;
        std::fs::write(&file, original)?;
        let test = format!("{}/{}", text("package"), text("test"));
        match caught {
            Some(words) => println!("| {} | {test} | {words} |", text("defence")),
            None => {
                println!("| {} | **nothing** | |", text("defence"));
                missed.push(text("defence"));
            }
        }
    }
    if !missed.is_empty() {
        bail!("not caught: {}", missed.join("; "));
    }
    Ok(())
}

fn copy_tracked(root: &Path, scratch: &Path) -> Result<()> {
    let listed = Command::new("git").args(["ls-files"]).current_dir(root).output()?;
    for name in String::from_utf8(listed.stdout)?.lines() {
        let to: PathBuf = scratch.join(name);
        std::fs::create_dir_all(to.parent().unwrap_or(scratch))?;
        std::fs::copy(root.join(name), to)?;
    }
    Ok(())
}

/// Runs one test; returns the first words of its failure, or none where it passed.
fn run_test(folder: &Path, target: &Path, package: &str, test: &str) -> Result<Option<String>> {
    let output = Command::new("cargo")
        .args(["test", "--release", "-p", package, "--test", test])
        .env("CARGO_TARGET_DIR", target)
        .env("RUST_BACKTRACE", "0")
        .env("ORIOLEPASS_SEEDS", SEEDS)
        .current_dir(folder)
        .output()?;
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    if output.status.success() {
        return Ok(None);
    }
    ensure!(
        text.contains("test result: FAILED"),
        "the changed copy does not build: {}",
        String::from_utf8_lossy(&output.stderr)
    );
    let mut lines = text.lines().skip_while(|line| !line.contains("panicked at"));
    let words = lines.nth(1).unwrap_or("failed");
    Ok(Some(words.chars().take(90).collect::<String>().replace('|', "/")))
}

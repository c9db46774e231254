//! Runs mutation tests: disables each defence of the code in a scratch copy and reports whether the
//! named test fails.
//!
//! `tests/mutations.json` lists the mutations as text replacements. Only the scratch copy is
//! changed, built and tested, so no mutation reaches the product.
//!
//! `cargo run -p oriolepass-testbed --example mutations`

use std::path::{Path, PathBuf};
use std::process::Command;

use eyre::{Result, WrapErr, bail, ensure};
use serde_json::Value;

/// Number of seeds of the randomised tests. Some mutations cause a failure only under rare
/// interleavings.
const SEED_COUNT: &str = "3000";

fn main() -> Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..").canonicalize()?;
    let list = std::fs::read_to_string(root.join("tests/mutations.json"))?;
    let list: Vec<Value> = serde_json::from_str(&list)?;
    let scratch = tempfile::tempdir()?;
    copy_tracked(&root, scratch.path())?;
    let target = root.join("target/mutations");
    let mut undetected = Vec::new();
    println!("| disabled defence | failing test | failure message |\n|---|---|---|");
    for mutation in &list {
        let text = |key: &str| mutation[key].as_str().unwrap_or_default();
        let file = scratch.path().join(text("file"));
        let original = std::fs::read_to_string(&file).wrap_err("cannot read the file to mutate")?;
        ensure!(
            original.matches(text("before")).count() == 1,
            "{}: the text to replace must occur exactly once in {}",
            text("defence"),
            text("file")
        );
        std::fs::write(&file, original.replace(text("before"), text("after")))?;
        let failure = run_test(scratch.path(), &target, text("package"), text("test"))?;
        std::fs::write(&file, original)?;
        let test = format!("{}/{}", text("package"), text("test"));
        match failure {
            Some(message) => println!("| {} | {test} | {message} |", text("defence")),
            None => {
                println!("| {} | **not detected** | |", text("defence"));
                undetected.push(text("defence"));
            }
        }
    }
    if !undetected.is_empty() {
        bail!("mutations not detected: {}", undetected.join("; "));
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

/// Runs one test. Returns the start of its failure message, or `None` when the test passes.
fn run_test(folder: &Path, target: &Path, package: &str, test: &str) -> Result<Option<String>> {
    let output = Command::new("cargo")
        .args(["test", "--release", "-p", package, "--test", test])
        .env("CARGO_TARGET_DIR", target)
        .env("RUST_BACKTRACE", "0")
        .env("ORIOLEPASS_SEEDS", SEED_COUNT)
        .current_dir(folder)
        .output()?;
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    if output.status.success() {
        return Ok(None);
    }
    ensure!(
        text.contains("test result: FAILED"),
        "the mutated copy does not build: {}",
        String::from_utf8_lossy(&output.stderr)
    );
    let mut lines = text.lines().skip_while(|line| !line.contains("panicked at"));
    let message = lines.nth(1).unwrap_or("failed");
    Ok(Some(message.chars().take(90).collect::<String>().replace('|', "/")))
}

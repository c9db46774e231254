//! Settings files and what the checker says of them; each case is a file under `tests/settings`.

use std::io;
use std::path::Path;

use oriolepass_settings::{DaemonSettings, GatewaySettings, reference_page};

/// Stands in for the key files that the cases name.
fn read_key(path: &Path) -> io::Result<String> {
    match path.to_str() {
        Some("short") => Ok("12345".to_owned()),
        Some("gone") => Err(io::ErrorKind::NotFound.into()),
        _ => Ok("0123456789abcdef".to_owned()),
    }
}

fn parse(path: &Path) -> Result<DaemonSettings, String> {
    let text = std::fs::read_to_string(path).expect("a case");
    let folder = path.parent().and_then(Path::file_name).expect("a folder").to_string_lossy();
    let file = path.file_name().expect("a name").to_string_lossy();
    let name = format!("{folder}/{file}");
    DaemonSettings::parse(&name, &text, read_key).map_err(|error| error.to_string())
}

fn good(path: &Path) -> datatest_stable::Result<()> {
    parse(path)?;
    Ok(())
}

fn gateway_good(path: &Path) -> datatest_stable::Result<()> {
    GatewaySettings::load(path)?;
    Ok(())
}

fn gateway_bad(path: &Path) -> datatest_stable::Result<()> {
    let expected = std::fs::read_to_string(path.with_extension("expected"))?;
    let text = std::fs::read_to_string(path)?;
    let name = path.file_name().expect("a name").to_string_lossy();
    let error = GatewaySettings::parse(&name, &text).expect_err("a bad file is refused");
    assert_eq!(error.to_string(), expected.trim());
    Ok(())
}

fn bad(path: &Path) -> datatest_stable::Result<()> {
    let expected = std::fs::read_to_string(path.with_extension("expected"))?;
    let error = parse(path).expect_err("a bad file is refused");
    if path.file_stem().is_some_and(|stem| stem == "not-ini") {
        // The wording of what follows is the library's.
        assert!(error.starts_with(expected.trim()), "{error}");
    } else {
        assert_eq!(error, expected.trim());
    }
    Ok(())
}

fn committed_reference(path: &Path) -> datatest_stable::Result<()> {
    let page = std::fs::read_to_string(path)?;
    assert!(page == reference_page(), "rewrite {} with --print-settings", path.display());
    Ok(())
}

datatest_stable::harness! {
    { test = good, root = "../../tests/settings/good", pattern = r"\.ini$" },
    { test = good, root = "../../examples", pattern = r"\.ini$" },
    { test = bad, root = "../../tests/settings/bad", pattern = r"\.ini$" },
    { test = gateway_good, root = "../../tests/settings/gateway-good", pattern = r"\.ini$" },
    { test = gateway_bad, root = "../../tests/settings/gateway-bad", pattern = r"\.ini$" },
    { test = committed_reference, root = "../../docs/operating", pattern = r"settings\.md$" },
}

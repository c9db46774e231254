//! Tests the validation of settings files; each case is a file under `tests/settings`.

use std::io;
use std::path::Path;

use oriolepass_settings::{DaemonSettings, GatewaySettings, reference_page};

/// Returns the content of the key files that the cases refer to.
fn read_key(path: &Path) -> io::Result<String> {
    match path.to_str() {
        Some("short") => Ok("12345".to_owned()),
        Some("gone") => Err(io::ErrorKind::NotFound.into()),
        _ => Ok("0123456789abcdef".to_owned()),
    }
}

fn parse(path: &Path) -> Result<DaemonSettings, String> {
    let text = std::fs::read_to_string(path).expect("the case file is readable");
    let folder = path
        .parent()
        .and_then(Path::file_name)
        .expect("the case file is in a folder")
        .to_string_lossy();
    let file = path.file_name().expect("the path has a file name").to_string_lossy();
    let name = format!("{folder}/{file}");
    DaemonSettings::parse(&name, &text, read_key).map_err(|error| error.to_string())
}

fn valid_settings_are_accepted(path: &Path) -> datatest_stable::Result<()> {
    parse(path)?;
    Ok(())
}

fn valid_gateway_settings_are_accepted(path: &Path) -> datatest_stable::Result<()> {
    GatewaySettings::load(path)?;
    Ok(())
}

fn invalid_gateway_settings_are_rejected(path: &Path) -> datatest_stable::Result<()> {
    let expected = std::fs::read_to_string(path.with_extension("expected"))?;
    let text = std::fs::read_to_string(path)?;
    let name = path.file_name().expect("the path has a file name").to_string_lossy();
    let error = GatewaySettings::parse(&name, &text).expect_err("the invalid file is rejected");
    assert_eq!(error.to_string(), expected.trim());
    Ok(())
}

fn invalid_settings_are_rejected(path: &Path) -> datatest_stable::Result<()> {
    let expected = std::fs::read_to_string(path.with_extension("expected"))?;
    let error = parse(path).expect_err("the invalid file is rejected");
    if path.file_stem().is_some_and(|stem| stem == "not-ini") {
        // The rest of the message comes from the INI library.
        assert!(error.starts_with(expected.trim()), "{error}");
    } else {
        assert_eq!(error, expected.trim());
    }
    Ok(())
}

fn committed_reference_is_up_to_date(path: &Path) -> datatest_stable::Result<()> {
    let page = std::fs::read_to_string(path)?;
    assert!(
        page == reference_page(),
        "{} is out of date; regenerate it with --print-settings",
        path.display()
    );
    Ok(())
}

datatest_stable::harness! {
    { test = valid_settings_are_accepted, root = "../../tests/settings/good", pattern = r"\.ini$" },
    { test = valid_settings_are_accepted, root = "../../examples", pattern = r"\.ini$" },
    { test = invalid_settings_are_rejected, root = "../../tests/settings/bad", pattern = r"\.ini$" },
    { test = valid_gateway_settings_are_accepted, root = "../../tests/settings/gateway-good", pattern = r"\.ini$" },
    { test = invalid_gateway_settings_are_rejected, root = "../../tests/settings/gateway-bad", pattern = r"\.ini$" },
    { test = committed_reference_is_up_to_date, root = "../../docs/operating", pattern = r"settings\.md$" },
}

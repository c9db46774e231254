//! Generates the operators' reference page from the tables of settings.

use std::fmt::Write;

use crate::gateway::GATEWAY_SPECS;
use crate::spec::{SETTING_SPECS, SettingSpec};

/// Returns the reference page in Markdown.
///
/// # Panics
///
/// Never panics, because writing to a string cannot fail.
pub fn reference_page() -> String {
    let mut page = String::from(
        "# Settings reference\n\n\
         Made from the tables in `crates/settings`; a test keeps this file equal to them. Rewrite it \
         with `cargo run -p oriolepass-daemon --bin oriolepassd -- --print-settings`.\n",
    );
    write_table(&mut page, SETTING_SPECS);
    page.push_str(
        "\n# Settings of a gateway\n\n\
         For `oriolepassd gateway`. The file is read again on SIGHUP and when it changes. Names, \
         addresses and the data folder need a restart; all else is taken over at once.\n",
    );
    write_table(&mut page, GATEWAY_SPECS);
    page
}

fn write_table(page: &mut String, specs: &[SettingSpec]) {
    let mut section = "";
    for spec in specs {
        if spec.section != section {
            section = spec.section;
            write!(
                page,
                "\n## [{section}]\n\n| key | accepts | unit | default | meaning |\n|---|---|---|---|---|\n"
            )
            .expect("writing to a string cannot fail");
        }
        let default = match spec.default {
            None => "required",
            Some("") => "none",
            Some(text) => text,
        };
        writeln!(
            page,
            "| `{}` | {} | {} | {default} | {} |",
            spec.key,
            spec.kind.expected(),
            spec.unit,
            spec.help
        )
        .expect("writing to a string cannot fail");
    }
}

//! The operators' reference page, made from the table of settings.

use std::fmt::Write;

use crate::spec::SETTING_SPECS;

/// Writes the reference page in Markdown.
///
/// # Panics
///
/// Never: writing to a string cannot fail.
pub fn reference_page() -> String {
    let mut page = String::from(
        "# Settings reference\n\n\
         Made from the table in `crates/settings`; a test keeps this file equal to it. Rewrite it \
         with `cargo run -p oriolepass-daemon --bin oriolepassd -- --print-settings`.\n",
    );
    let mut section = "";
    for spec in SETTING_SPECS {
        if spec.section != section {
            section = spec.section;
            write!(
                page,
                "\n## [{section}]\n\n| key | accepts | unit | default | meaning |\n|---|---|---|---|---|\n"
            )
            .expect("a string takes all");
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
        .expect("a string takes all");
    }
    page
}

//! Errors in settings files.

use std::fmt;

use thiserror::Error;

/// A problem with one key or section of a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingProblem {
    /// Section name without brackets.
    pub section: String,
    /// Key name; empty if the problem concerns the whole section.
    pub key: String,
    /// Value that was read, or a description of it.
    pub read: String,
    /// Correction to make.
    pub remedy: String,
}

impl fmt::Display for SettingProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "[{}]", self.section)?;
        if !self.key.is_empty() {
            write!(f, " {}", self.key)?;
        }
        write!(f, ": read {}; {}", self.read, self.remedy)
    }
}

/// Reason why a settings file was rejected.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{file}: {source}; name a readable file with --config")]
    Unreadable {
        /// Name of the file.
        file: String,
        /// Error from the operating system.
        source: std::io::Error,
    },
    /// The file is not valid INI.
    #[error("{file}: line {line}: {message}; write `[section]` and `key = value` lines")]
    NotIni {
        /// Name of the file.
        file: String,
        /// Number of the line that cannot be parsed.
        line: usize,
        /// Message from the parser.
        message: String,
    },
    /// The file has unknown, missing, duplicate, malformed or conflicting settings.
    #[error("{}", format_problems(.file, .problems))]
    Problems {
        /// Name of the file.
        file: String,
        /// All problems of the file.
        problems: Vec<SettingProblem>,
    },
}

fn format_problems(file: &str, problems: &[SettingProblem]) -> String {
    let lines: Vec<String> = problems.iter().map(|p| format!("{file}: {p}")).collect();
    lines.join("\n")
}

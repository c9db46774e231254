//! What can be wrong with a settings file.

use std::fmt;

use thiserror::Error;

/// One problem of a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingProblem {
    /// The section, without brackets.
    pub section: String,
    /// The key; empty where the section itself is the problem.
    pub key: String,
    /// What was read.
    pub read: String,
    /// What to write instead.
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

/// The reason that a settings file was refused.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{file}: {source}; name a readable file with --config")]
    Unreadable {
        /// The file.
        file: String,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The file is not in INI form.
    #[error("{file}: line {line}: {message}; write `[section]` and `key = value` lines")]
    NotIni {
        /// The file.
        file: String,
        /// The line.
        line: usize,
        /// What the parser met.
        message: String,
    },
    /// The content has problems.
    #[error("{}", list(.file, .problems))]
    Problems {
        /// The file.
        file: String,
        /// All of them.
        problems: Vec<SettingProblem>,
    },
}

fn list(file: &str, problems: &[SettingProblem]) -> String {
    let lines: Vec<String> = problems.iter().map(|p| format!("{file}: {p}")).collect();
    lines.join("\n")
}

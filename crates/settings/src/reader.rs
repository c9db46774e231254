//! Parses an INI file against a table of settings and collects every problem.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use ini::Ini;
use oriolepass_units::InstanceId;

use crate::check::VoterAddress;
use crate::problem::{SettingProblem, SettingsError};
use crate::spec::{SettingKind, SettingSpec};

/// Parses `text` against the table `specs`; `build` constructs the settings from the parsed values.
pub(crate) fn read<T>(
    name: &str,
    text: &str,
    specs: &'static [SettingSpec],
    build: impl FnOnce(&mut SettingsReader) -> Option<T>,
) -> Result<T, SettingsError> {
    // The parser would treat a byte order mark as part of the first section's name.
    let text = text.strip_prefix('\u{feff}').unwrap_or(text);
    let ini = Ini::load_from_str(text).map_err(|error| SettingsError::NotIni {
        file: name.to_owned(),
        line: error.line,
        message: error.msg.to_string(),
    })?;
    let mut reader = SettingsReader { specs, values: BTreeMap::new(), problems: Vec::new() };
    reader.collect(&ini);
    match build(&mut reader) {
        Some(settings) if reader.problems.is_empty() => Ok(settings),
        _ => Err(SettingsError::Problems { file: name.to_owned(), problems: reader.problems }),
    }
}

/// Holds the values that were read for the keys of one table, and the problems found.
pub(crate) struct SettingsReader {
    specs: &'static [SettingSpec],
    values: BTreeMap<(&'static str, &'static str), String>,
    problems: Vec<SettingProblem>,
}

impl SettingsReader {
    pub(crate) fn add_problem(
        &mut self,
        section: &str,
        key: &str,
        read: impl Into<String>,
        remedy: String,
    ) {
        self.problems.push(SettingProblem {
            section: section.to_owned(),
            key: key.to_owned(),
            read: read.into(),
            remedy,
        });
    }

    /// Collects the values of known keys, reports unknown and duplicate keys, and validates every
    /// key.
    fn collect(&mut self, ini: &Ini) {
        for (section, properties) in ini {
            let section = section.unwrap_or_default();
            for (key, value) in properties {
                self.collect_key(section, key, value);
            }
        }
        for spec in self.specs {
            self.check_key(spec);
        }
    }

    fn collect_key(&mut self, section: &str, key: &str, value: &str) {
        let known = self.specs.iter().find(|s| s.section == section && s.key == key);
        let Some(spec) = known else {
            let remedy = match nearest(self.specs, section, key) {
                Some(near) => format!("remove it, or write [{}] {}", near.section, near.key),
                None => "remove it; the settings reference lists every key".to_owned(),
            };
            self.add_problem(section, key, "an unknown key", remedy);
            return;
        };
        if self.values.insert((spec.section, spec.key), value.trim().to_owned()).is_some() {
            self.add_problem(section, key, "a duplicate key", "keep one occurrence".to_owned());
        }
    }

    /// Fills in the default of a missing key, or validates the value that was read.
    fn check_key(&mut self, spec: &SettingSpec) {
        let at = (spec.section, spec.key);
        let Some(text) = self.values.get(&at).cloned() else {
            match spec.default {
                Some(default) => {
                    self.values.insert(at, default.to_owned());
                }
                None => {
                    let remedy = format!("write {}", spec.kind.expected());
                    self.add_problem(
                        spec.section,
                        spec.key,
                        "no value, but the key is required",
                        remedy,
                    );
                }
            }
            return;
        };
        if text.is_empty() && spec.default == Some("") {
            return;
        }
        if !accepts(&spec.kind, &text) {
            let remedy = format!("write {}", spec.kind.expected());
            self.add_problem(spec.section, spec.key, format!("{text:?}"), remedy);
            self.values.remove(&at);
        }
    }

    pub(crate) fn text(&self, section: &'static str, key: &'static str) -> Option<&str> {
        self.values.get(&(section, key)).map(String::as_str)
    }

    pub(crate) fn parsed<T: std::str::FromStr>(
        &self,
        section: &'static str,
        key: &'static str,
    ) -> Option<T> {
        self.text(section, key)?.parse().ok()
    }

    pub(crate) fn millis(&self, section: &'static str, key: &'static str) -> Option<Duration> {
        self.parsed(section, key).map(Duration::from_millis)
    }
}

fn accepts(kind: &SettingKind, text: &str) -> bool {
    match kind {
        SettingKind::Identifier => text.parse::<InstanceId>().is_ok(),
        SettingKind::Address => text.parse::<SocketAddr>().is_ok(),
        SettingKind::Ip => text.parse::<IpAddr>().is_ok(),
        SettingKind::Integer { min, max } => {
            text.parse::<u64>().is_ok_and(|number| (*min..=*max).contains(&number))
        }
        SettingKind::Decimal { min, max } => {
            text.parse::<f64>().is_ok_and(|number| (*min..=*max).contains(&number))
        }
        SettingKind::Addresses => parse_addresses(text).is_some(),
        SettingKind::Path => !text.is_empty(),
        SettingKind::Voters => parse_voters(text).is_some(),
        SettingKind::KeyHash => {
            text.len() == 64 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'))
        }
        SettingKind::Word(words) => words.contains(&text),
    }
}

/// Parses the list of voters. Returns `None` if an item is malformed or an instance is listed twice.
pub(crate) fn parse_voters(text: &str) -> Option<Vec<VoterAddress>> {
    let parse_one = |item: &str| {
        let (instance, peers) = item.trim().split_once('@')?;
        Some(VoterAddress { instance: instance.parse().ok()?, peers: peers.parse().ok()? })
    };
    let voters: Vec<VoterAddress> = text.split(',').map(parse_one).collect::<Option<_>>()?;
    let distinct: std::collections::BTreeSet<_> = voters.iter().map(|v| &v.instance).collect();
    (distinct.len() == voters.len()).then_some(voters)
}

/// Finds the key that was probably intended: the same key in another section, or a key of the same
/// section within an edit distance of 2.
fn nearest(
    specs: &'static [SettingSpec],
    section: &str,
    key: &str,
) -> Option<&'static SettingSpec> {
    let elsewhere = specs.iter().find(|s| s.key == key);
    let near = || {
        let close = |s: &&SettingSpec| s.section == section && edit_distance(s.key, key) <= 2;
        specs.iter().find(close)
    };
    elsewhere.or_else(near)
}

fn edit_distance(left: &str, right: &str) -> usize {
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (i, a) in left.bytes().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, b) in right.bytes().enumerate() {
            let substituted = diagonal + usize::from(a != b);
            diagonal = row[j + 1];
            row[j + 1] = substituted.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[right.len()]
}

/// Parses a list of addresses. Returns `None` if an address is malformed.
pub(crate) fn parse_addresses(text: &str) -> Option<Vec<SocketAddr>> {
    let items = text.split(',').map(str::trim).filter(|item| !item.is_empty());
    items.map(|item| item.parse().ok()).collect()
}

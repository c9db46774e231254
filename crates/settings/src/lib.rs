//! Checked settings of the daemon, read from an INI file.
//!
//! One table, [`SETTING_SPECS`], says for every key its type, unit, default, range and meaning.
//! The checker, the operators' reference page and the error messages are all made from it, so
//! that they cannot differ. All problems of a file are reported at once, each with the file, the
//! section, the key, what was read and what to write instead.

mod check;
mod gateway;
mod problem;
mod reader;
mod reference;
mod spec;

pub use check::{
    DaemonSettings, InstanceSettings, LimitSettings, ListenSettings, TimingSettings, VoterAddress,
};
pub use gateway::{
    GATEWAY_SPECS, GatewayBounds, GatewayListen, GatewaySettings, SeedSettings, ToleranceSettings,
};
pub use problem::{SettingProblem, SettingsError};
pub use reference::reference_page;
pub use spec::{SETTING_SPECS, SettingKind, SettingSpec};

//! Reads and validates the settings of the daemon and of the gateway from INI files.
//!
//! The tables [`SETTING_SPECS`] and [`GATEWAY_SPECS`] define the type, unit, default, range and
//! meaning of every key. The validation, the operators' reference page and the error messages are
//! generated from these tables, so that they cannot disagree. All problems of a file are reported
//! at once, each with the file, the section, the key, the value that was read and the remedy.

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
    GATEWAY_SPECS, GatewayBounds, GatewayListen, GatewaySettings, SchedulingSettings, SeedSettings,
    ToleranceSettings,
};
pub use problem::{SettingProblem, SettingsError};
pub use reference::reference_page;
pub use spec::{SETTING_SPECS, SettingKind, SettingSpec};

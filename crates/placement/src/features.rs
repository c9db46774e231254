//! The parts of the placement that a deployment switches on in its settings.

/// Which optional parts of the placement take effect. None does by default.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlacementFeatures {
    /// Whether the real speed of each engine is learned from the progress of its prompts.
    pub learns_speeds: bool,
    /// Whether urgent prompts count for more than others while engines are scarce.
    pub weighs_urgency: bool,
    /// Whether scarce engines are shared among client accounts.
    pub shares_accounts: bool,
    /// Whether prompts that were refused because of load keep their turn when they return as told.
    pub keeps_appointments: bool,
}

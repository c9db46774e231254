//! Which daemon places prompts now: the leader, or a deputy while it does not answer.
//!
//! Every entry decides this by itself from what it knows of the others, so that most of them
//! come to the same deputy without asking. Two homes at a time do no harm but to the quality of
//! placements: each sees a part of the prompts.

use std::collections::BTreeMap;
use std::iter::once_with;
use std::time::Duration;

use oriolepass_units::{InstanceId, MonotonicTime};

/// A home that did not answer is not asked for this long: an election takes about as long, and
/// until then each question to it would cost its patience again.
const SHUNNED: Duration = Duration::from_millis(1_000);

/// Who is home, and whether that has changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ChosenHome {
    pub(crate) home: InstanceId,
    /// The home before, where this one is new.
    pub(crate) before: Option<InstanceId>,
    pub(crate) is_new: bool,
}

/// What an entry knows of homes.
#[derive(Debug, Default)]
pub(crate) struct HomeChoice {
    lost: BTreeMap<InstanceId, MonotonicTime>,
    current: Option<InstanceId>,
}

impl HomeChoice {
    /// Chooses the leader if it answers, else the first of `deputies` that does, else this
    /// daemon itself.
    pub(crate) fn choose(
        &mut self,
        now: MonotonicTime,
        own: &InstanceId,
        leader: Option<InstanceId>,
        deputies: impl FnOnce() -> Vec<InstanceId>,
    ) -> ChosenHome {
        self.lost.retain(|_, at| now.since(*at) < SHUNNED);
        let home = leader
            .into_iter()
            .chain(once_with(deputies).flatten())
            .find(|candidate| !self.lost.contains_key(candidate))
            .unwrap_or_else(|| own.clone());
        let before = self.current.replace(home.clone());
        let is_new = before.as_ref() != Some(&home);
        ChosenHome { before: before.filter(|_| is_new), home, is_new }
    }

    /// Notes that a home did not answer.
    pub(crate) fn lost(&mut self, now: MonotonicTime, home: &InstanceId) {
        self.lost.insert(home.clone(), now);
    }
}

//! The selection of deputies, the daemons that place prompts while the home does not answer.
//!
//! The home may be missing between two elections, or alive but too slow to answer in time. Entries
//! then send their prompts to deputies: ordinary daemons, each of which places prompts on one cell
//! (a disjoint part) of the engines, so that deputies need not coordinate. Each entry computes the
//! deputies on its own, by a rank of the live daemons, and entries with the same view get the same
//! deputies. Daemons without a disk are preferred if there are enough of them, because all daemons
//! that hold the log may fail at once.

use std::time::Duration;

use oriolepass_placement::{EngineCell, PromptKey};
use oriolepass_units::{EndpointStart, InstanceId, MonotonicTime};

use crate::gossip::rank;
use crate::roster::{DaemonNote, DaemonPhase};

/// The number of engines in one cell. Up to sixteen engines read a long prompt, and some are busy.
const ENGINES_PER_CELL: usize = 28;

/// The maximum number of cells. A deputy has a third of a home's processor, so four deputies can
/// carry the home's load in a surge.
const MAX_CELLS: usize = 4;

/// How long deputies are notified of the progress of prompts after the last time-out of the home.
/// It is longer than any prompt that deputies were notified of.
const NOTIFICATION_GRACE: Duration = Duration::from_secs(30);

/// Returns the daemons that place prompts instead of the home, one for each cell of the engines.
///
/// `home` is the daemon that does not answer. The result is empty if no other daemon is alive and
/// ready.
pub(crate) fn deputies<'a>(
    alive: impl Iterator<Item = &'a DaemonNote>,
    home: Option<&InstanceId>,
    engines: usize,
) -> Vec<InstanceId> {
    let ready = alive.filter(|note| note.phase == DaemonPhase::Ready);
    let candidates = ready.filter(|note| Some(&note.instance) != home);
    choose_deputies(candidates.map(|note| (&note.instance, note.has_disk)).collect(), engines)
}

/// Chooses deputies among ready daemons; each daemon is paired with whether it has a disk.
pub(crate) fn choose_deputies(ready: Vec<(&InstanceId, bool)>, engines: usize) -> Vec<InstanceId> {
    let cells = (engines / ENGINES_PER_CELL).clamp(1, MAX_CELLS);
    let without_disk: Vec<(&InstanceId, bool)> =
        ready.iter().filter(|(_, has_disk)| !has_disk).copied().collect();
    let candidates = if without_disk.len() >= 2 * cells { without_disk } else { ready };
    let best = |cell: usize| candidates.iter().min_by_key(|(instance, _)| rank(instance, &cell));
    (0..cells).filter_map(best).map(|(instance, _)| (*instance).clone()).collect()
}

/// Returns the deputy for a prompt and the cell of the engines that it places the prompt on.
pub(crate) fn deputy_for(
    deputies: &[InstanceId],
    key: PromptKey,
) -> Option<(InstanceId, EngineCell)> {
    let count = u32::try_from(deputies.len()).ok().filter(|count| *count > 0)?;
    // Each entry starts its prompt numbers at an arbitrary value, so the cells get equal shares.
    let index = u32::try_from((key.entry ^ key.number) % u64::from(count)).ok()?;
    let deputy = deputies.get(index as usize)?.clone();
    Some((deputy, EngineCell { index, count }))
}

/// Returns the deputy whose cell holds an endpoint, and the cell.
pub(crate) fn deputy_of_endpoint(
    deputies: &[InstanceId],
    endpoint: &EndpointStart,
) -> Option<(InstanceId, EngineCell)> {
    let count = u32::try_from(deputies.len()).ok()?;
    let cells = (0..count).map(|index| EngineCell { index, count });
    let (deputy, cell) = deputies.iter().zip(cells).find(|(_, cell)| cell.holds(endpoint))?;
    Some((deputy.clone(), cell))
}

/// Tracks whether the home answers an entry in time, and which deputies the entry has notified.
#[derive(Debug, Default)]
pub(crate) struct HomeWatch {
    is_away: bool,
    /// The deputies notified of running prompts, and the time of the home's last time-out.
    notified: Option<(MonotonicTime, Vec<InstanceId>)>,
}

impl HomeWatch {
    /// Returns whether the home did not answer its last request in time.
    pub(crate) fn is_away(&self) -> bool {
        self.is_away
    }

    /// Records that the home did not answer in time; returns the deputies that are not notified of
    /// running prompts yet.
    pub(crate) fn record_timeout(
        &mut self,
        now: MonotonicTime,
        deputies: Vec<InstanceId>,
    ) -> Vec<InstanceId> {
        self.is_away = true;
        let before = self.notified_deputies(now).to_vec();
        let added = deputies.iter().filter(|deputy| !before.contains(deputy)).cloned().collect();
        let mut notified = before;
        notified.extend(
            deputies.into_iter().filter(|deputy| !notified.contains(deputy)).collect::<Vec<_>>(),
        );
        self.notified = Some((now, notified));
        added
    }

    /// Records that a daemon has started again, so that it knows of no running prompts.
    pub(crate) fn record_start(&mut self, daemon: &InstanceId) {
        if let Some((_, notified)) = &mut self.notified {
            notified.retain(|deputy| deputy != daemon);
        }
    }

    /// Records that the home answered; returns whether it was away before.
    pub(crate) fn record_answer(&mut self) -> bool {
        std::mem::take(&mut self.is_away)
    }

    /// Returns the deputies that are to be notified of the progress of prompts.
    pub(crate) fn notified_deputies(&self, now: MonotonicTime) -> &[InstanceId] {
        match &self.notified {
            Some((at, notified)) if now.since(*at) < NOTIFICATION_GRACE => notified,
            _ => &[],
        }
    }
}

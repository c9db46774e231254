//! Who places prompts while the home is away.
//!
//! The home may be gone, between two elections, or alive and too slow to answer in time. Entries
//! then turn to deputies: ordinary daemons, each the home of one part of the engines, so that they
//! need not know of each other. Every entry finds the same ones without asking, by a rank of the
//! daemons that it hears. They are chosen among daemons without a disk where there are enough,
//! since all that hold the log may be away at once.

use std::time::Duration;

use oriolepass_placement::{EngineCell, PromptKey};
use oriolepass_units::{InstanceId, MonotonicTime};

use crate::gossip::rank;
use crate::roster::{DaemonNote, DaemonPhase};

/// Engines in one deputy's part: a long prompt is read by up to sixteen, and some are busy.
const CELL_ENGINES: usize = 28;

/// The most parts. A deputy has a third of a home's processor, so four of them bear its load in a surge.
const MOST_CELLS: usize = 4;

/// How long deputies are told what becomes of prompts after the home was last away: longer than
/// any prompt that they were told of lasts.
const TOLD_FOR: Duration = Duration::from_secs(30);

/// The daemons that place prompts instead of the home, one for each part of the engines.
///
/// `home` is the one that is away. There are none where no daemon is heard.
pub(crate) fn deputies<'a>(
    alive: impl Iterator<Item = &'a DaemonNote>,
    home: Option<&InstanceId>,
    engines: usize,
) -> Vec<InstanceId> {
    let ready = alive.filter(|note| note.phase == DaemonPhase::Ready);
    let others = ready.filter(|note| Some(&note.instance) != home);
    choose_deputies(others.map(|note| (&note.instance, note.has_disk)).collect(), engines)
}

/// Chooses deputies among ready daemons, each given with whether it has a disk.
pub(crate) fn choose_deputies(others: Vec<(&InstanceId, bool)>, engines: usize) -> Vec<InstanceId> {
    let cells = (engines / CELL_ENGINES).clamp(1, MOST_CELLS);
    let without_disk: Vec<(&InstanceId, bool)> =
        others.iter().filter(|(_, has_disk)| !has_disk).copied().collect();
    let candidates = if without_disk.len() >= 2 * cells { without_disk } else { others };
    let best = |cell: usize| candidates.iter().min_by_key(|(instance, _)| rank(instance, &cell));
    (0..cells).filter_map(best).map(|(instance, _)| (*instance).clone()).collect()
}

/// Returns the part of the engines that a prompt is placed on, and the deputy for it.
pub(crate) fn deputy_for(
    deputies: &[InstanceId],
    key: PromptKey,
) -> Option<(InstanceId, EngineCell)> {
    let count = u32::try_from(deputies.len()).ok().filter(|count| *count > 0)?;
    // Entries number their prompts from anywhere, so the parts get equally many.
    let index = u32::try_from((key.entry ^ key.number) % u64::from(count)).ok()?;
    let deputy = deputies.get(index as usize)?.clone();
    Some((deputy, EngineCell { index, count }))
}

/// What an entry knows of whether its home answers in time.
#[derive(Debug, Default)]
pub(crate) struct HomeWatch {
    is_away: bool,
    /// The deputies that were told what runs, and when the home was last found away.
    told: Option<(MonotonicTime, Vec<InstanceId>)>,
}

impl HomeWatch {
    /// Returns whether the home did not answer in time when it was last asked anything.
    pub(crate) fn is_away(&self) -> bool {
        self.is_away
    }

    /// Notes that the home did not answer in time; returns the deputies that have not been told
    /// yet what runs.
    pub(crate) fn record_timeout(
        &mut self,
        now: MonotonicTime,
        deputies: Vec<InstanceId>,
    ) -> Vec<InstanceId> {
        self.is_away = true;
        let before = self.notified_deputies(now).to_vec();
        let news = deputies.iter().filter(|deputy| !before.contains(deputy)).cloned().collect();
        let mut told = before;
        told.extend(
            deputies.into_iter().filter(|deputy| !told.contains(deputy)).collect::<Vec<_>>(),
        );
        self.told = Some((now, told));
        news
    }

    /// Notes that the home answers; returns whether it did not before.
    pub(crate) fn record_answer(&mut self) -> bool {
        std::mem::take(&mut self.is_away)
    }

    /// Returns the deputies that have to be told what becomes of prompts.
    pub(crate) fn notified_deputies(&self, now: MonotonicTime) -> &[InstanceId] {
        match &self.told {
            Some((at, told)) if now.since(*at) < TOLD_FOR => told,
            _ => &[],
        }
    }
}

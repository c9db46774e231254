//! The configuration in force at this daemon.

use std::collections::VecDeque;
use std::sync::{RwLock, RwLockReadGuard};

use oriolepass_config::{ConfigView, ViewDelta};
use oriolepass_units::{LogIndex, ObjectRevision};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// Deltas kept for daemons that follow this one.
const DELTAS_RETAINED: usize = 1_024;

/// What a follower is told.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ViewUpdate {
    /// Changes after the index that the follower has; none where there are none.
    Deltas(Vec<ViewDelta>),
    /// The whole, for a follower that has missed too much.
    Whole(Box<ConfigView>),
}

/// How far the view has come.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct ViewMark {
    pub(crate) index: LogIndex,
    pub(crate) config_revision: ObjectRevision,
}

#[derive(Default)]
struct ViewState {
    view: ConfigView,
    deltas: VecDeque<ViewDelta>,
}

/// The view, shared by all duties. It only ever moves forward.
pub(crate) struct SharedView {
    state: RwLock<ViewState>,
    mark: watch::Sender<ViewMark>,
}

impl SharedView {
    pub(crate) fn new() -> Self {
        Self { state: RwLock::default(), mark: watch::Sender::new(ViewMark::default()) }
    }

    /// Reads the view.
    pub(crate) fn read(&self) -> ViewReader<'_> {
        ViewReader(self.state.read().expect("no duty panics while it changes the view"))
    }

    pub(crate) fn mark(&self) -> ViewMark {
        *self.mark.borrow()
    }

    pub(crate) fn watch(&self) -> watch::Receiver<ViewMark> {
        self.mark.subscribe()
    }

    /// Takes in what a source told. An older state than the present one is ignored.
    pub(crate) fn update(&self, update: ViewUpdate) {
        let mut state = self.state.write().expect("no duty panics while it changes the view");
        match update {
            ViewUpdate::Deltas(deltas) => {
                for delta in deltas {
                    if state.view.apply_delta(delta.clone()) {
                        state.deltas.push_back(delta);
                    }
                }
                while state.deltas.len() > DELTAS_RETAINED {
                    state.deltas.pop_front();
                }
            }
            ViewUpdate::Whole(view) => {
                if view.index() <= state.view.index() {
                    return;
                }
                state.view = *view;
                state.deltas.clear();
            }
        }
        let mark =
            ViewMark { index: state.view.index(), config_revision: state.view.config_revision() };
        drop(state);
        self.mark.send_if_modified(|present| {
            let newer = mark.index > present.index;
            if newer {
                *present = mark;
            }
            newer
        });
    }

    /// Returns what a follower that has `have` misses.
    pub(crate) fn update_after(&self, have: LogIndex) -> ViewUpdate {
        let state = self.state.read().expect("no duty panics while it changes the view");
        if have >= state.view.index() {
            return ViewUpdate::Deltas(Vec::new());
        }
        // Only if a delta at or before the follower's index is still here is it certain that
        // none after it was dropped.
        if state.deltas.front().is_some_and(|oldest| oldest.index <= have) {
            let missing = state.deltas.iter().filter(|delta| delta.index > have);
            return ViewUpdate::Deltas(missing.cloned().collect());
        }
        ViewUpdate::Whole(Box::new(state.view.clone()))
    }
}

/// A read lock on the view.
pub(crate) struct ViewReader<'a>(RwLockReadGuard<'a, ViewState>);

impl std::ops::Deref for ViewReader<'_> {
    type Target = ConfigView;

    fn deref(&self) -> &ConfigView {
        &self.0.view
    }
}

//! Holds the view of the configuration that is in force at this daemon.

use std::collections::VecDeque;
use std::sync::{RwLock, RwLockReadGuard};

use oriolepass_config::{ConfigView, ViewDelta};
use oriolepass_units::{LogIndex, ObjectRevision};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// The maximum number of deltas retained for daemons that follow this one.
const MAX_RETAINED_DELTAS: usize = 1_024;

/// An update of the view for a follower.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ViewUpdate {
    /// The changes after the follower's index; empty if there are none.
    Deltas(Vec<ViewDelta>),
    /// The whole view, for a follower whose missing changes are no longer retained.
    Whole(Box<ConfigView>),
}

/// The position of the view: the last applied log index and its configuration revision.
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

/// The view, shared by all duties. Its index never decreases.
pub(crate) struct SharedView {
    state: RwLock<ViewState>,
    mark: watch::Sender<ViewMark>,
}

impl SharedView {
    pub(crate) fn new() -> Self {
        Self { state: RwLock::default(), mark: watch::Sender::new(ViewMark::default()) }
    }

    /// Locks the view for reading.
    pub(crate) fn read(&self) -> ViewReader<'_> {
        ViewReader(self.state.read().expect("no duty panics while it changes the view"))
    }

    pub(crate) fn mark(&self) -> ViewMark {
        *self.mark.borrow()
    }

    pub(crate) fn watch(&self) -> watch::Receiver<ViewMark> {
        self.mark.subscribe()
    }

    /// Applies an update. An update that is older than the current view is ignored.
    pub(crate) fn update(&self, update: ViewUpdate) {
        let mut state = self.state.write().expect("no duty panics while it changes the view");
        match update {
            ViewUpdate::Deltas(deltas) => {
                for delta in deltas {
                    if state.view.apply_delta(delta.clone()) {
                        state.deltas.push_back(delta);
                    }
                }
                while state.deltas.len() > MAX_RETAINED_DELTAS {
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

    /// Returns the update for a follower whose view is at index `have`.
    pub(crate) fn update_after(&self, have: LogIndex) -> ViewUpdate {
        let state = self.state.read().expect("no duty panics while it changes the view");
        if have >= state.view.index() {
            return ViewUpdate::Deltas(Vec::new());
        }
        // A retained delta at or before the follower's index proves that no delta after that index
        // was dropped.
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

//! Signals, readiness, reload of the settings and graceful shutdown.

use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use oriolepass_settings::GatewaySettings;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::{Instant, sleep};

use crate::events::EventKind;
use crate::gateway::Gateway;
use crate::peers::PeerMessage;
use crate::start::GatewayError;

/// How long callers are asked to keep addresses. The time is short, so that callers soon stop using
/// a daemon that leaves. Some callers keep addresses three times as long, which has to fit into the
/// shutdown grace period.
pub(crate) const ADDRESS_TTL: Duration = Duration::from_secs(2);

/// The factor by which callers may exceed `ADDRESS_TTL`, according to the platform.
const MAX_ADDRESS_TTL_FACTOR: u32 = 3;

/// How long after the signal a draining daemon accepts requests of any length. The platform allows
/// streams to be cut at the end of the grace period if they began within 3 s of the signal.
const ACCEPT_ALL_PERIOD: Duration = Duration::from_millis(2_700);

/// The last part of the grace period, which is left for the process to exit by itself. 350 ms are
/// too short on a quarter of a core, where writing the last log lines takes longer: on a recorded
/// day, two processes still ran at the end of the grace period.
const EXIT_MARGIN: Duration = Duration::from_millis(800);

/// The interval at which a draining daemon checks whether requests are still running.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The interval of checks of the settings file, which may change without a signal.
const FILE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The time for writing the last log lines.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(150);

/// The phase of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lifecycle {
    /// The process serves.
    Serving,
    /// The process has been asked to shut down: the directory no longer lists it, and it finishes
    /// the requests that are running or still arrive.
    Draining,
    /// The process exits.
    Stopped,
}

/// The signals that ask the process to shut down.
#[derive(Debug)]
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Registers handlers for the signals. Call this before anything that may take time, such as
    /// reading the settings, and before listening on any address: without the handlers a signal
    /// ends the process at once, together with the connections that wait to be accepted.
    ///
    /// # Errors
    ///
    /// Returns an error when the handlers cannot be registered.
    pub fn register() -> Result<Self, GatewayError> {
        let failed = |source| GatewayError::Signals { source };
        Ok(Self {
            terminate: signal(SignalKind::terminate()).map_err(failed)?,
            interrupt: signal(SignalKind::interrupt()).map_err(failed)?,
        })
    }

    /// Waits for the next signal. Signals that arrived since the registration or the last wait end
    /// the wait at once.
    pub async fn wait(&mut self) {
        tokio::select! { _ = self.terminate.recv() => {}, _ = self.interrupt.recv() => {} }
    }
}

/// The signal that asks the process to read its settings again.
#[derive(Debug)]
pub struct ReloadSignal {
    hangup: Signal,
}

impl ReloadSignal {
    /// Registers a handler for the signal, as early as [`StopSignals::register`].
    ///
    /// # Errors
    ///
    /// Returns an error when the handler cannot be registered.
    pub fn register() -> Result<Self, GatewayError> {
        let failed = |source| GatewayError::Signals { source };
        Ok(Self { hangup: signal(SignalKind::hangup()).map_err(failed)? })
    }

    /// Waits for the next signal, like [`StopSignals::wait`].
    pub async fn wait(&mut self) {
        self.hangup.recv().await;
    }
}

impl Gateway {
    /// Returns whether this daemon is not draining and has a routing document that is proved
    /// current.
    pub fn is_ready(&self) -> bool {
        let serves = *self.lifecycle.borrow() == Lifecycle::Serving;
        serves && self.active_document().is_some() && self.is_fresh() && self.has_recent_proof()
    }

    /// Returns whether this daemon has been asked to shut down.
    pub fn is_draining(&self) -> bool {
        *self.lifecycle.borrow() != Lifecycle::Serving
    }

    /// Records a suspension of the machine and requests a proof at once. The age of the known state
    /// includes the suspension even without this call.
    pub(crate) fn record_suspension(&self) {
        let recorded = self.suspended.get();
        let Some(span) = self.clock.newly_suspended(recorded) else { return };
        self.suspended.set(recorded + span);
        self.metrics.suspensions.inc();
        self.line(EventKind::Suspended)
            .millis("span_ms", span)
            .millis("proof_age_ms", self.proof_age().unwrap_or(Duration::MAX))
            .text("outcome", "requests a proof");
        self.refresh_readiness();
        self.leader_changed.notify_waiters();
    }

    /// Records a change of readiness and announces it to the other daemons at once.
    pub(crate) fn refresh_readiness(&self) {
        let is_ready = self.is_ready();
        if self.was_ready.replace(is_ready) == is_ready {
            return;
        }
        self.has_been_ready.set(self.has_been_ready.get() || is_ready);
        let document = self.active_document();
        self.line(EventKind::Readiness)
            .maybe("revision", document.map(|document| document.text.revision))
            .number("proved_current", self.is_fresh())
            .number("draining", self.is_draining())
            .text("outcome", if is_ready { "ready" } else { "not ready" });
        self.greet_now();
    }

    /// Waits for a stop signal, then drains and stops.
    ///
    /// The directory stops listing this daemon at once. The daemon goes on serving until no caller
    /// should have its address any more and all requests have ended, or until the grace period is
    /// nearly over.
    pub async fn run_until_stopped(self: &Rc<Self>, mut signals: StopSignals) {
        signals.wait().await;
        let started = Instant::now();
        let grace = self.settings().bounds.shutdown_grace;
        self.line(EventKind::Draining)
            .number("active", self.active_requests.get())
            .millis("grace_ms", grace);
        self.draining_since.set(Some(self.now()));
        self.lifecycle.send_replace(Lifecycle::Draining);
        self.refresh_readiness();
        self.greet_now();
        self.transfer_leadership();
        let addresses_valid_until = started + ADDRESS_TTL * MAX_ADDRESS_TTL_FACTOR;
        let end_at = started + grace.saturating_sub(EXIT_MARGIN);
        while Instant::now() < end_at {
            let is_idle = self.active_requests.get() == 0
                && self.unwritten_answers.get() == 0
                && self.open_tunnels.get() == 0;
            if is_idle && Instant::now() >= addresses_valid_until {
                break;
            }
            sleep(DRAIN_CHECK_INTERVAL).await;
        }
        self.stop();
    }

    /// Returns whether a new request that may take up to `longest` is accepted while the daemon
    /// drains.
    ///
    /// A request is accepted if it can end before the process exits. Requests that arrive soon
    /// after the signal are always accepted: their callers could not know of the shutdown yet, and
    /// most requests take much less time than their limit.
    pub(crate) fn has_time_for(&self, longest: Duration) -> bool {
        let Some(since) = self.draining_since.get() else { return true };
        let passed = self.now().since(since);
        let grace = self.settings().bounds.shutdown_grace.saturating_sub(EXIT_MARGIN);
        passed < ACCEPT_ALL_PERIOD || passed + longest < grace
    }

    fn transfer_leadership(self: &Rc<Self>) {
        let now = self.now();
        let is_transferred =
            self.replica.borrow_mut().as_mut().is_some_and(|r| r.transfer_leadership(now));
        self.step_replica();
        if is_transferred {
            self.line(EventKind::Leader).text("outcome", "handed over");
        }
    }

    fn stop(&self) {
        self.line(EventKind::Stop)
            .number("active", self.active_requests.get())
            .number("unwritten", self.unwritten_answers.get());
        self.lifecycle.send_replace(Lifecycle::Stopped);
        self.flush_facts();
        self.mesh.send_all(&self.broadcast_targets(), &PeerMessage::Farewell);
        self.log.flush(LOG_FLUSH_TIMEOUT);
    }

    /// Reloads the settings file on SIGHUP and when the file has changed.
    pub async fn reload_settings_on_change(
        self: Rc<Self>,
        file: PathBuf,
        mut signal: ReloadSignal,
    ) {
        let mut last_modified = modified(&file);
        loop {
            let is_asked = tokio::select! {
                () = signal.wait() => true,
                () = sleep(FILE_CHECK_INTERVAL) => false,
            };
            let changed = modified(&file);
            if is_asked || changed != last_modified {
                last_modified = changed;
                self.reload(&file, if is_asked { "signal" } else { "file changed" });
            }
        }
    }

    fn reload(&self, file: &std::path::Path, cause: &str) {
        let before = self.settings();
        let line = self.line(EventKind::Reload).text("cause", cause);
        match GatewaySettings::load(file) {
            Err(error) => {
                line.text("outcome", "refused").text("reason", error);
            }
            Ok(next) if *before == next => {
                line.text("outcome", "unchanged");
            }
            Ok(next) if !before.can_reload_as(&next) => {
                let reason = "names, addresses and the data folder need a restart";
                line.text("outcome", "partly taken over").text("reason", reason);
                let kept = GatewaySettings {
                    name: before.name.clone(),
                    data_centre: before.data_centre.clone(),
                    data_folder: before.data_folder.clone(),
                    listen: before.listen.clone(),
                    ..next
                };
                self.settings.replace(Rc::new(kept));
            }
            Ok(next) => {
                line.text("outcome", "taken over");
                self.settings.replace(Rc::new(next));
            }
        }
    }
}

fn modified(file: &std::path::Path) -> Option<(SystemTime, u64)> {
    let metadata = std::fs::metadata(file).ok()?;
    Some((metadata.modified().ok()?, metadata.len()))
}

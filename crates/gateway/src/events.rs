//! Structured log lines: the decisions of the process, their inputs and their outcomes.
//!
//! A line is a JSON object on standard output. Lines are queued in a bounded buffer, and a separate
//! thread writes them, so that a log reader that stops reading never blocks a request. Lines that
//! do not fit are dropped and counted, and the count is written as soon as there is room.

use std::fmt::{Display, Write as _};
use std::io::Write as _;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The capacity of the buffer: about 3,000 lines, several seconds of a busy instance.
const BUFFER_BYTES: usize = 512 * 1024;

/// The writer's pause after each write, so that a burst of lines causes one wake-up.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

macro_rules! events {
    ($($(#[doc = $doc:literal])+ $name:ident = $text:literal;)*) => {
        /// The kind of a log line.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum EventKind {
            $($(#[doc = $doc])+ $name,)*
        }

        impl EventKind {
            /// All kinds with their names and descriptions, for the operators' page.
            pub const ALL: &'static [(&'static str, &'static str)] =
                &[$(($text, concat!($($doc),+)),)*];

            /// Returns the name of the kind in log lines.
            pub fn name(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }
        }
    };
}

events! {
    /// The process has started.
    Start = "start";
    /// The process has been asked to stop and drains.
    Draining = "draining";
    /// The process ends; the numbers of requests that are still running and of answers that are not
    /// written completely.
    Stop = "stop";
    /// The settings file was read again; `outcome` says what became of it.
    Reload = "reload";
    /// The process counts as ready, or no longer; `inputs` say why.
    Readiness = "readiness";
    /// The machine was suspended, for `span_ms`.
    Suspended = "suspended";
    /// The event loop was late by up to `late_ms`, so requests may have waited unread for so long; `times` is how often since the last such line, at most once a second.
    LateLoop = "late-loop";
    /// A connection to another daemon is up or down.
    PeerLink = "peer-link";
    /// Another daemon was met, has left, or was forgotten.
    Peer = "peer";
    /// How many links and other daemons changed since the last such line, where there are many.
    Peers = "peers";
    /// This daemon's role in the topology has changed: mesh, hub or leaf; `known` is the number of other daemons that it knows.
    Tier = "tier";
    /// The primary hub, which this daemon asks for proofs, has changed.
    Primary = "primary";
    /// Messages and bytes sent to other daemons since the last such line, by kind of message.
    PeerTraffic = "peer-traffic";
    /// This seed takes part in founding a new system; its first voters are the seeds.
    Founding = "founding";
    /// The leader of the log that this process believes in has changed; `before_ms` is how long it believed in the one before, or in none, `late_ms` by how much the event loop was late at most in the last two seconds.
    Leader = "leader";
    /// The leader wants other voters, or an instance that should be a voter is not live, or too few
    /// instances have a disk.
    Voters = "voters";
    /// The replica of the log has started, stopped, or failed with its disk, waits for a system, has
    /// no leader, stands for election, was elected or has stepped down, or its disk was slow to sync.
    /// In elections, `late_ms` is by how much the event loop was late at most in the last two seconds.
    /// `opened` says whether the data folder was `created` or `found`, and whether its `parent` was
    /// `synced`, so that the folder's name survives a loss of power.
    Replica = "replica";
    /// A routing document was proposed, acknowledged, or refused. The leader logs how long the acknowledgement waited after the commit, `waited_ms`, how many instances had not confirmed the document by then, `unconfirmed`, and some of those whose proofs of an older document were waited for, `waited_for`.
    Document = "document";
    /// A routing document is in force here. `proof_age_ms` is how long ago the document before was last known to be the newest.
    InForce = "in-force";
    /// A service's retry budget refused a repeated send; what this daemon has used of its share, and the part of the fixed number that it may use, which is divided by `divisor`, at most once a second. `first start` and `later start` say whether this process may use its whole share at once, since the whole system starts for the first time.
    RetryBudget = "retry-budget";
    /// An operator asked to drain or restore a data centre, or the drained data centres in force here have changed.
    DataCentreDrain = "data-centre-drain";
    /// Proof that the routing document is current was lost or regained.
    Freshness = "freshness";
    /// An endpoint was met, changed its state, left, or was forgotten.
    Endpoint = "endpoint";
    /// A leaf was told of one or more endpoints that were met, changed their state, or left.
    Endpoints = "endpoints";
    /// An endpoint failed a request in a way that counts against it.
    EndpointFault = "endpoint-fault";
    /// An endpoint named a limit on its request rate, changed it or lifted it; `limit_per_s` is the rate that it takes from all instances together.
    Limit = "limit";
    /// An endpoint asked this instance for rest, for `rest_ms` from now; `outcome` says whether the rest began, was made longer, or ends no later than before.
    Rest = "rest";
    /// An endpoint that others reach is not reached by this instance itself, or is again; `cut off` means that it reaches none, `reconnected` that it does again.
    EndpointPath = "endpoint-path";
    /// A request goes to its endpoint by way of another instance, `relay`.
    Tunnel = "tunnel";
    /// An answer without a length ended with its connection; `evidence` says what showed whether it is complete, `outcome` how it was judged, `relay` which instance passed it on, if one did, `judged_ms` how long the judgement took.
    AnswerEnd = "answer-end";
    /// An endpoint lost a request's answer `broken_ms` ago; `outcome` says whether it has ended, `digest` names the request across its attempts, `parts` the parts that other prompts may share, `answer_ms` is the time from the head of the answer to the loss (absent if no head had arrived), `silent_ms` the time since the endpoint's last heartbeat (absent if the start is not known any more), `evidence` why a presumed end is presumed, `log_odds` is the natural logarithm of the odds that it is fatal (from three ends on).
    EndpointEnd = "endpoint-end";
    /// A request, or a part of prompts, that ends its endpoints was quarantined or released; `digest` or `part` names it. With `request`, a prompt was refused because of a part.
    Quarantine = "quarantine";
    /// A request was sent to an endpoint.
    Send = "send";
    /// An endpoint's answer to a send did not do; `next` says what follows.
    SendFailed = "send-failed";
    /// A slow request was sent to a second endpoint, that send ended, or the request was not sent again; `reason` says why, `outcome` which answer was used, `elapsed_ms` how long the first endpoint took so far, `remaining_ms` how much longer it was expected to take.
    SecondSend = "second-send";
    /// A stream goes on at another endpoint.
    Resume = "resume";
    /// A request has ended; `status` is what the caller got, `late_ms`, if the caller has gone, by how much the event loop was late at most in the last two seconds, `ends_by` how the end of the endpoint's answer is recognised: by a length, by chunks or only by its connection.
    End = "end";
    /// A request waited for this daemon to start; `outcome` says whether it had by then.
    StartWait = "start-wait";
    /// An engine began or ceased to count as slow; `slowdown` is the duration of its passes relative to the published one, `ratios` the newest observations, corrected by what their `entries` see elsewhere, `common_ratio` that of all engines of the service.
    EngineSpeed = "engine-speed";
    /// A prompt could not be placed; `retry_after_ms` says when to come back, `appointment` names the prompt across its attempts.
    NoPlace = "no-place";
    /// The home of the engines, or the deputy for it, did not answer a prompt in time.
    HomeLost = "home-lost";
    /// A helper that failed a prompt was asked whether it is alive; `outcome` says whether that start answered.
    HelperCheck = "helper-check";
    /// Memory of an engine was reserved or released, or that failed.
    Reservation = "reservation";
    /// A task of this process panicked `at` a place in the source and was ended; other tasks go on.
    Panic = "panic";
    /// Something failed that nobody waits for; `reason` says why it is borne.
    Ignored = "ignored";
    /// Lines were dropped because the reader of the log did not keep up.
    LinesDropped = "lines-dropped";
}

#[derive(Default)]
struct LineBuffer {
    text: String,
    dropped: u64,
    is_closed: bool,
}

#[derive(Default)]
struct SharedBuffer {
    buffer: Mutex<LineBuffer>,
    filled: Condvar,
}

/// The log of the process. Writing a line never blocks.
#[derive(Clone)]
pub struct EventLog {
    shared: Arc<SharedBuffer>,
    instance: Arc<str>,
}

impl EventLog {
    /// Starts the writer's thread, which hands lines to `write`.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error when the thread cannot be started.
    pub fn start(
        instance: &str,
        write: impl FnMut(&[u8]) -> std::io::Result<()> + Send + 'static,
    ) -> std::io::Result<Self> {
        let shared = Arc::new(SharedBuffer::default());
        let writer = Arc::clone(&shared);
        std::thread::Builder::new()
            .name("event-log".into())
            .spawn(move || write_lines(&writer, write))?;
        Ok(Self { shared, instance: instance.into() })
    }

    /// Starts a log on standard output.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error when the thread cannot be started.
    pub fn to_stdout(instance: &str) -> std::io::Result<Self> {
        Self::start(instance, |bytes| std::io::stdout().lock().write_all(bytes))
    }

    /// Logs all panics of the process from now on, in addition to the message on standard error.
    ///
    /// A panic ends only the task in which it occurs, so it would go unnoticed otherwise.
    pub fn log_panics(&self) {
        let log = self.clone();
        let previous_hook = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |panic| {
            previous_hook(panic);
            log.line(EventKind::Panic)
                .maybe("at", panic.location())
                .text("reason", panic.payload_as_str().unwrap_or("unknown"));
        }));
    }

    /// Begins a line, which is queued for writing when it is dropped.
    pub fn line(&self, kind: EventKind) -> EventLine<'_> {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mut text = String::with_capacity(256);
        // Writing to a string cannot fail.
        let _ = write!(
            text,
            "{{\"time\":{}.{:03},\"instance\":\"{}\",\"event\":\"{}\"",
            unix.as_secs(),
            unix.subsec_millis(),
            self.instance,
            kind.name()
        );
        EventLine { log: self, text }
    }

    /// Returns the number of lines that were dropped and not yet reported.
    pub fn dropped(&self) -> u64 {
        self.shared.buffer.lock().map_or(0, |buffer| buffer.dropped)
    }

    /// Waits until the writer has taken all queued lines, for at most `timeout`.
    pub fn flush(&self, timeout: Duration) {
        let deadline = std::time::Instant::now() + timeout;
        self.shared.filled.notify_one();
        while std::time::Instant::now() < deadline {
            let is_empty = self.shared.buffer.lock().is_ok_and(|buffer| buffer.text.is_empty());
            if is_empty {
                return;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    fn enqueue(&self, line: &str) {
        // A poisoned lock means that the writer thread has panicked, so no line can be written.
        let Ok(mut buffer) = self.shared.buffer.lock() else { return };
        if buffer.text.len() + line.len() > BUFFER_BYTES {
            buffer.dropped += 1;
            return;
        }
        let was_empty = buffer.text.is_empty();
        buffer.text.push_str(line);
        drop(buffer);
        if was_empty {
            self.shared.filled.notify_one();
        }
    }
}

fn write_lines(shared: &SharedBuffer, mut write: impl FnMut(&[u8]) -> std::io::Result<()>) {
    let Ok(mut buffer) = shared.buffer.lock() else { return };
    loop {
        while buffer.text.is_empty() && !buffer.is_closed {
            let Ok(woken) = shared.filled.wait(buffer) else { return };
            buffer = woken;
        }
        if buffer.is_closed {
            return;
        }
        let mut text = std::mem::take(&mut buffer.text);
        let dropped = std::mem::take(&mut buffer.dropped);
        drop(buffer);
        if dropped > 0 {
            let name = EventKind::LinesDropped.name();
            let _ = writeln!(text, "{{\"event\":\"{name}\",\"count\":{dropped}}}");
        }
        // An error means that the reader of the log has gone; there is no other place to report it.
        let _ = write(text.as_bytes());
        std::thread::sleep(WRITE_INTERVAL);
        let Ok(next) = shared.buffer.lock() else { return };
        buffer = next;
    }
}

/// A line under construction.
pub struct EventLine<'a> {
    log: &'a EventLog,
    text: String,
}

impl EventLine<'_> {
    /// Adds a text field.
    pub fn text(mut self, key: &str, value: impl Display) -> Self {
        let value = value.to_string();
        let quoted = serde_json::to_string(&value).unwrap_or_else(|_| "\"?\"".to_owned());
        let _ = write!(self.text, ",\"{key}\":{quoted}");
        self
    }

    /// Adds a numeric or boolean field.
    pub fn number(mut self, key: &str, value: impl Display) -> Self {
        let _ = write!(self.text, ",\"{key}\":{value}");
        self
    }

    /// Adds a duration as a number of milliseconds.
    pub fn millis(mut self, key: &str, value: Duration) -> Self {
        let _ = write!(self.text, ",\"{key}\":{:.1}", value.as_secs_f64() * 1_000.0);
        self
    }

    /// Adds a duration in milliseconds if there is one.
    #[must_use]
    pub fn maybe_millis(self, key: &str, value: Option<Duration>) -> Self {
        match value {
            Some(value) => self.millis(key, value),
            None => self,
        }
    }

    /// Adds a text field if there is a value.
    pub fn maybe(self, key: &str, value: Option<impl Display>) -> Self {
        match value {
            Some(value) => self.text(key, value),
            None => self,
        }
    }
}

impl Drop for EventLine<'_> {
    fn drop(&mut self) {
        self.text.push_str("}\n");
        self.log.enqueue(&self.text);
    }
}

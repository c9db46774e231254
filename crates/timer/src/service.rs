//! The thread that runs a [`TimerQueue`].

use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use oriolepass_units::MonotonicTime;

use crate::{ClockSource, TimerQueue, TimerTicket};

type Callback = Box<dyn FnOnce() + Send>;

/// Longest sleep of the thread, so that a manual clock moved by a test is noticed.
const LONGEST_SLEEP: Duration = Duration::from_millis(50);

#[derive(Default)]
struct SharedQueue {
    queue: TimerQueue<Callback>,
    stopped: bool,
}

/// Calls subscribers back when their deadline is due.
///
/// Callbacks run on the timer thread and must not block: they push to a ring or complete a
/// channel. Clones share one thread, which ends when [`TimerService::stop`] is called.
#[derive(Clone)]
pub struct TimerService {
    clock: ClockSource,
    shared: Arc<(Mutex<SharedQueue>, Condvar)>,
}

impl TimerService {
    /// Starts the timer thread.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error when the thread cannot be started.
    pub fn start(clock: ClockSource) -> std::io::Result<(Self, JoinHandle<()>)> {
        let service = Self { clock, shared: Arc::default() };
        let worker = service.clone();
        let thread = thread::Builder::new().name("timer".into()).spawn(move || worker.run())?;
        Ok((service, thread))
    }

    /// Returns the clock that deadlines are measured on.
    pub fn clock(&self) -> &ClockSource {
        &self.clock
    }

    /// Returns the present moment on the service's clock.
    pub fn now(&self) -> MonotonicTime {
        self.clock.now()
    }

    /// Calls `callback` once `due` has come.
    pub fn subscribe(
        &self,
        due: MonotonicTime,
        callback: impl FnOnce() + Send + 'static,
    ) -> TimerTicket {
        let mut shared = self.lock();
        let earlier = shared.queue.next_due().is_none_or(|next| due < next);
        let ticket = shared.queue.insert(due, Box::new(callback));
        drop(shared);
        if earlier {
            self.shared.1.notify_one();
        }
        ticket
    }

    /// Calls `callback` every `period` until the service is stopped.
    pub fn subscribe_every(&self, period: Duration, callback: impl Fn() + Send + 'static) {
        let due = self.now() + period;
        let service = self.clone();
        self.subscribe(due, move || {
            callback();
            service.subscribe_every(period, callback);
        });
    }

    /// Forgets a subscription; does nothing when it has already been called back.
    pub fn cancel(&self, ticket: TimerTicket) {
        self.lock().queue.cancel(ticket);
    }

    /// Returns the number of pending subscriptions.
    pub fn pending(&self) -> usize {
        self.lock().queue.len()
    }

    /// Ends the thread; pending subscriptions are dropped without being called.
    pub fn stop(&self) {
        self.lock().stopped = true;
        self.shared.1.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, SharedQueue> {
        self.shared.0.lock().expect("the timer thread panicked")
    }

    fn run(&self) {
        let mut shared = self.lock();
        while !shared.stopped {
            let now = self.clock.now();
            if let Some(callback) = shared.queue.pop_due(now) {
                drop(shared);
                callback();
                shared = self.lock();
                continue;
            }
            let sleep = shared.queue.next_due().map_or(LONGEST_SLEEP, |due| due.since(now));
            let sleep = sleep.min(LONGEST_SLEEP);
            shared = self.shared.1.wait_timeout(shared, sleep).expect("timer lock").0;
        }
    }
}

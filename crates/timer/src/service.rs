//! The timer thread, which runs a [`TimerQueue`].

use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use oriolepass_units::MonotonicTime;

use crate::{ClockSource, TimerQueue, TimerTicket};

type Callback = Box<dyn FnOnce() + Send>;

/// The maximum sleep of the timer thread. It bounds the delay until the thread notices that a test
/// advanced a manual clock.
const MAX_SLEEP: Duration = Duration::from_millis(50);

#[derive(Default)]
struct SharedQueue {
    queue: TimerQueue<Callback>,
    stopped: bool,
}

/// Calls each subscriber's callback when its deadline is due.
///
/// Callbacks run on the timer thread and must not block; they typically push to a ring buffer or
/// complete a channel. Clones share one thread, which ends when [`TimerService::stop`] is called.
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
    /// Returns the operating system's error if the thread cannot be started.
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

    /// Returns the current time on the service's clock.
    pub fn now(&self) -> MonotonicTime {
        self.clock.now()
    }

    /// Calls `callback` when `due` has been reached.
    pub fn subscribe(
        &self,
        due: MonotonicTime,
        callback: impl FnOnce() + Send + 'static,
    ) -> TimerTicket {
        let mut shared = self.lock();
        let is_earliest = shared.queue.next_due().is_none_or(|next| due < next);
        let ticket = shared.queue.insert(due, Box::new(callback));
        drop(shared);
        if is_earliest {
            self.shared.1.notify_one();
        }
        ticket
    }

    /// Calls `callback` repeatedly until the service is stopped, `period` after each call.
    pub fn subscribe_every(&self, period: Duration, callback: impl Fn() + Send + 'static) {
        let due = self.now() + period;
        let service = self.clone();
        self.subscribe(due, move || {
            callback();
            service.subscribe_every(period, callback);
        });
    }

    /// Cancels a subscription; has no effect if its callback has already been called.
    pub fn cancel(&self, ticket: TimerTicket) {
        self.lock().queue.cancel(ticket);
    }

    /// Returns the number of pending subscriptions.
    pub fn pending(&self) -> usize {
        self.lock().queue.len()
    }

    /// Ends the thread. Callbacks of pending subscriptions are not called.
    pub fn stop(&self) {
        self.lock().stopped = true;
        self.shared.1.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, SharedQueue> {
        self.shared.0.lock().expect("timer mutex poisoned")
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
            let sleep = shared.queue.next_due().map_or(MAX_SLEEP, |due| due.since(now));
            let sleep = sleep.min(MAX_SLEEP);
            shared = self.shared.1.wait_timeout(shared, sleep).expect("timer mutex poisoned").0;
        }
    }
}

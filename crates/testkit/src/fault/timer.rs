//! Sleep with a finer resolution than the one millisecond of the runtime's timer.
//!
//! A thread wakes the tasks that are due, so that short delays of a link are
//! accurate.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    sync::{Condvar, Mutex, OnceLock},
    time::{Duration, Instant},
};

use tokio::sync::oneshot;

/// Length of the last part of a sleep, in which the timer thread wakes the task.
/// The part before it uses the runtime's timer.
const FINE_SLEEP: Duration = Duration::from_millis(3);

/// Sleeps until `due`.
pub(super) async fn sleep_until(due: Instant) {
    let left = due.saturating_duration_since(Instant::now());
    if left > FINE_SLEEP {
        tokio::time::sleep(left - FINE_SLEEP).await;
    }
    if due > Instant::now() {
        // The timer thread never ends, so there is always a wake-up.
        let _ = timer().wait(due).await;
    }
}

/// The sleeping tasks that one thread wakes.
#[derive(Default)]
struct Timer {
    queue: Mutex<Queue>,
    changed: Condvar,
}

#[derive(Default)]
struct Queue {
    waiting: BinaryHeap<Reverse<Waiting>>,
    number: u64,
}

/// A sleeping task. The number orders tasks that are due at the same time.
struct Waiting {
    due: Instant,
    number: u64,
    wake: oneshot::Sender<()>,
}

impl PartialEq for Waiting {
    fn eq(&self, other: &Self) -> bool {
        (self.due, self.number) == (other.due, other.number)
    }
}

impl Eq for Waiting {}

impl PartialOrd for Waiting {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Waiting {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.due, self.number).cmp(&(other.due, other.number))
    }
}

fn timer() -> &'static Timer {
    static TIMER: OnceLock<&'static Timer> = OnceLock::new();
    TIMER.get_or_init(|| {
        let timer: &'static Timer = Box::leak(Box::default());
        std::thread::spawn(move || timer.run());
        timer
    })
}

impl Timer {
    fn wait(&self, due: Instant) -> oneshot::Receiver<()> {
        let (wake, woken) = oneshot::channel();
        let mut queue = self.queue.lock().expect("no holder of the lock panics");
        queue.number += 1;
        let number = queue.number;
        queue.waiting.push(Reverse(Waiting { due, number, wake }));
        self.changed.notify_one();
        woken
    }

    fn run(&self) {
        let mut queue = self.queue.lock().expect("no holder of the lock panics");
        loop {
            let now = Instant::now();
            while queue.waiting.peek().is_some_and(|Reverse(first)| first.due <= now) {
                if let Some(Reverse(first)) = queue.waiting.pop() {
                    // The send fails if the sleeping task was dropped.
                    let _ = first.wake.send(());
                }
            }
            let pause = match queue.waiting.peek() {
                Some(Reverse(first)) => first.due.saturating_duration_since(now),
                None => Duration::from_secs(3_600),
            };
            let waited = self.changed.wait_timeout(queue, pause);
            queue = waited.expect("no holder of the lock panics").0;
        }
    }
}

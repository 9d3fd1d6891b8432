//! How much of the weights is on its way over a link.

use egretseam_swarm::{MAX_SAME_ZONE_PARTS, PART_BYTES, TransferWindow};
use std::{collections::VecDeque, time::Duration};
use tokio::time::Instant;

/// How often an agent looks at its windows.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
/// Longest that a request may wait before a narrowed link: most callers that leave stay as long.
const MOST_WAIT: Duration = Duration::from_millis(500);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A link that carries parts one behind the other, filled as far as a window allows.
struct PartLine {
    window: TransferWindow,
    now: Instant,
    looked_at: Instant,
    /// Number of each part on its way and when it was asked for.
    parts: VecDeque<(u64, Instant)>,
}

impl PartLine {
    fn new() -> Self {
        let now = Instant::now();
        let window = TransferWindow::new(MAX_SAME_ZONE_PARTS);
        Self { window, now, looked_at: now, parts: VecDeque::new() }
    }

    /// Plays so much time in which a part takes `each`; returns the longest queue meanwhile, in time.
    fn play(&mut self, time: Duration, each: Duration) -> Duration {
        let until = self.now + time;
        let mut longest = Duration::ZERO;
        while self.now < until {
            while self.window.has_room() {
                self.parts.push_back((self.window.begin(self.now), self.now));
            }
            longest = longest.max(each * self.parts.len() as u32);
            self.advance(each);
            let (id, asked_at) = self.parts.pop_front().expect("one is on its way");
            self.window.end(id, self.now - asked_at, self.now);
        }
        longest
    }

    fn advance(&mut self, time: Duration) {
        let until = self.now + time;
        while self.looked_at + LOOK_INTERVAL <= until {
            self.looked_at += LOOK_INTERVAL;
            self.window.check_late(self.looked_at);
        }
        self.now = until;
    }
}

fn time_of_part(bytes_per_second: u64) -> Duration {
    Duration::from_secs_f64(PART_BYTES as f64 / bytes_per_second as f64)
}

/// Guards against weights that queue before live requests on a link that has narrowed.
#[test]
fn a_narrowed_link_holds_little_at_once_and_less_soon() {
    let (usual, narrow) = (time_of_part(1_175_000), time_of_part(75_000));
    let mut line = PartLine::new();
    line.play(millis(500), usual);
    assert_eq!(line.window.size(), MAX_SAME_ZONE_PARTS, "a usual link is kept busy");
    assert!(line.play(millis(600), narrow) <= MOST_WAIT, "what was on its way when it narrowed");
    let later = line.play(millis(3_000), narrow);
    assert!(later <= narrow * 3, "{later:?} at a time while it is narrow");
    line.play(millis(500), usual);
    assert_eq!(line.window.size(), MAX_SAME_ZONE_PARTS, "it has widened");
}

/// Guards against fetches that all wait for instances behind narrow links while others could give.
#[test]
fn parts_that_are_held_up_elsewhere_leave_room_for_others() {
    let now = Instant::now();
    let mut window = TransferWindow::new(MAX_SAME_ZONE_PARTS);
    let held_up = window.begin(now);
    for _ in 0..20 {
        let part = window.begin(now);
        window.end(part, millis(10), now);
    }
    assert_eq!((window.in_flight(), window.overtaken()), (0, 1));
    let later = now + millis(2_000);
    window.check_late(later);
    assert_eq!(window.size(), MAX_SAME_ZONE_PARTS, "it says nothing of the own link");
    assert!(!window.end(held_up, millis(2_000), later));
    assert_eq!(window.size(), MAX_SAME_ZONE_PARTS);
}

/// Guards against a window that stays shut after an instance has gone with what it was given.
#[test]
fn parts_without_an_end_are_given_up() {
    let now = Instant::now();
    let mut window = TransferWindow::new(1);
    window.begin(now);
    assert!(!window.has_room());
    window.expire(millis(1_000), now + millis(900));
    assert!(!window.has_room());
    window.expire(millis(1_000), now + millis(1_100));
    assert!(window.has_room());
}

//! A runner crashes, with answers under way that have no length and end with their channel, and with
//! channels open that the entries keep.

use crate::{parts, record::Record, world::World};
use std::{thread, time::Duration};

/// From the requests to the crash.
const CRASH_AFTER: Duration = Duration::from_millis(1_000);
/// Requests at a time by which each entry opens channels to the eight runners.
const SHORT_REQUESTS: usize = 128;
const ENTRIES: u8 = 9;

/// Runs the case; returns whether a rule was broken.
pub fn run(record: Record, trouble: bool) -> bool {
    let mut world = World::new(record);
    let mut runners = parts::start(&mut world, ENTRIES);
    parts::warm_up(&world, ENTRIES, SHORT_REQUESTS);
    let asks = parts::ask_all(&world, ENTRIES, 2 * parts::REQUESTS);
    thread::sleep(CRASH_AFTER);
    if trouble {
        runners[0].kill();
        world.record.line("i-runner-0-1 crashes");
    }
    parts::judge_all(&world, asks)
}

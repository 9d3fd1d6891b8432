//! A runner is taken away two seconds after its notice, with answers under way that have no length
//! and end with their channel.

use crate::{parts, record::Record, world::World};
use std::{
    thread,
    time::{Duration, Instant},
};

/// How long after the notice the runner is gone.
const GONE_AFTER: Duration = Duration::from_secs(2);
const ENTRIES: u8 = 2;

/// Runs the case; returns whether a rule was broken.
pub fn run(record: Record, trouble: bool) -> bool {
    let mut world = World::new(record);
    let mut runners = parts::start(&mut world, ENTRIES);
    let asks = parts::ask_all(&world, ENTRIES, parts::REQUESTS);
    thread::sleep(Duration::from_millis(500));
    let leaving = &mut runners[0];
    leaving.tell("drain");
    let noticed_at = Instant::now();
    if !leaving.await_line("as draining", Duration::from_secs(5)) {
        world.stop_unable("the notice was not acknowledged");
    }
    thread::sleep((noticed_at + GONE_AFTER).saturating_duration_since(Instant::now()));
    if trouble {
        leaving.kill();
        world.record.line("i-runner-0-1 is taken away");
    } else {
        leaving.tell("exit");
    }
    parts::judge_all(&world, asks)
}

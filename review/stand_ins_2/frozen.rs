//! An entry stands still for three seconds. Meanwhile a runner crashes, with answers under way that
//! have no length and end with their channel, and its next boot listens at its address.

use crate::{parts, parts::RunnerProcess, record::Record, world, world::World};
use std::{thread, time::Duration};

/// How long the entry stands still.
const FROZEN: Duration = Duration::from_secs(3);
/// From the freeze to the crash.
const CRASH_AFTER: Duration = Duration::from_millis(300);
/// How long the runner is down.
const DOWN: Duration = Duration::from_secs(1);
/// One of nine is a ninth of them.
const ENTRIES: u8 = 9;
/// Number of the first entry among the processes, behind those of control.
const FIRST_ENTRY: usize = 3;

/// Runs the case; returns whether a rule was broken. With `freezes` not set, the runner crashes and
/// comes back, but no entry stands still.
pub fn run(record: Record, trouble: bool, freezes: bool) -> bool {
    let mut world = World::new(record);
    let mut runners = parts::start(&mut world, ENTRIES);
    // All requests go to the entry that is frozen.
    let asks = parts::ask_all(&world, 1, parts::REQUESTS);
    thread::sleep(Duration::from_millis(500));
    let mut next_boot = None;
    if trouble {
        let entry = world.pid(FIRST_ENTRY).expect("the entry runs");
        if freezes {
            world::signal(entry, "STOP");
            world.record.line("edge-0 stands still");
        }
        thread::sleep(CRASH_AFTER);
        runners[0].kill();
        world.record.line("i-runner-0-1 crashes");
        thread::sleep(DOWN);
        let boot = RunnerProcess::start(&world, 0, 2);
        if !boot.await_line("ready, number 1: 200", Duration::from_secs(5)) {
            world.stop_unable("the next boot was not acknowledged");
        }
        next_boot = Some(boot);
        thread::sleep(FROZEN - CRASH_AFTER - DOWN);
        if freezes {
            world::signal(entry, "CONT");
            world.record.line("edge-0 goes on");
        }
    }
    let broken = parts::judge_all(&world, asks);
    drop(next_boot);
    broken
}

//! Evacuations in a simulated control group whose members fail.

use super::{accepted, conflict, is_evacuated, set, zone};
use egretseam_replica::{Message, ReplicaConfig};
use egretseam_testkit::{GroupSim, SimReply};
use std::time::Duration;

const SETTLE_TIME: Duration = Duration::from_secs(3);

fn is_append(message: &Message) -> bool {
    matches!(message, Message::Append { .. })
}

/// Submits a command to the leader and runs until it is applied everywhere.
fn submit(sim: &mut GroupSim, evacuated: bool, base: u64) -> SimReply {
    let leader = sim.run_until_leader();
    let token = sim.submit(leader, set("z1", evacuated, base));
    sim.run(SETTLE_TIME);
    sim.reply(token).clone()
}

fn zone_revision(sim: &GroupSim, number: usize) -> u64 {
    sim.catalog(number).evacuations().record(&zone("z1")).revision.0
}

/// Guards against an evacuation that is lost, or that a late retry undoes or repeats, when the leader
/// dies after a quorum has synced it and before anybody hears of that.
#[test]
fn the_leader_dies_between_sync_and_acknowledgement() {
    let mut sim = GroupSim::new(5, ReplicaConfig::default());
    let leader = sim.run_until_leader();
    sim.run(SETTLE_TIME);
    sim.drop_all_messages();
    let token = sim.submit(leader, set("z1", true, 0));
    sim.deliver_where(
        |from, to, message| from == leader && to != from && is_append(message),
        false,
    );
    sim.drop_all_messages();
    assert_eq!(*sim.reply(token), SimReply::Pending, "nobody was told");
    sim.crash(leader);
    let second = sim.run_until_leader();
    assert_ne!(second, leader);
    sim.run(SETTLE_TIME);
    assert!(is_evacuated(sim.catalog(second), "z1"), "a quorum had synced it");
    // The operator retries at a member that has not applied it, which is accepted all the same.
    assert_eq!(submit(&mut sim, true, 0), SimReply::Applied(accepted(2)));
    assert_eq!(submit(&mut sim, false, 2), SimReply::Applied(accepted(3)));
    // The first attempt arrives once more after another operator has finished the evacuation.
    assert_eq!(submit(&mut sim, true, 0), SimReply::Applied(conflict(3)));
    sim.restart(leader);
    sim.run(SETTLE_TIME);
    for number in 0..5 {
        assert!(!is_evacuated(sim.catalog(number), "z1"), "member {number}");
    }
}

/// Guards against members that differ after `begin` and `finish` have raced through two of them, and
/// against a call that is acknowledged without being applied.
#[test]
fn begin_and_finish_race_through_two_members() {
    for first in [true, false] {
        let mut sim = GroupSim::new(5, ReplicaConfig::default());
        assert_eq!(submit(&mut sim, true, 0), SimReply::Applied(accepted(1)));
        let leader = sim.run_until_leader();
        // Both members have applied revision 1 when they receive their calls.
        let one = sim.submit(leader, set("z1", first, 1));
        let other = sim.submit(leader, set("z1", !first, 1));
        sim.run(SETTLE_TIME);
        assert_eq!(*sim.reply(one), SimReply::Applied(accepted(2)));
        assert_eq!(*sim.reply(other), SimReply::Applied(conflict(2)));
        assert_eq!(submit(&mut sim, !first, 2), SimReply::Applied(accepted(3)));
        for number in 0..5 {
            assert_eq!(is_evacuated(sim.catalog(number), "z1"), !first, "member {number}");
            assert_eq!(zone_revision(&sim, number), 3);
        }
    }
}

/// Guards against a member that misses `begin`, `finish` and `begin` and gets a snapshot taken in
/// between, and against an evacuation that is lost when all members restart.
#[test]
fn a_snapshot_in_between_and_a_restart_of_all_members_keep_the_table() {
    let config = ReplicaConfig { snapshot_piece_bytes: 64, ..ReplicaConfig::default() };
    let mut sim = GroupSim::new(5, config);
    let leader = sim.run_until_leader();
    let lagging = (0..5).find(|number| *number != leader).expect("another member");
    sim.crash(lagging);
    assert_eq!(submit(&mut sim, true, 0), SimReply::Applied(accepted(1)));
    assert_eq!(submit(&mut sim, false, 1), SimReply::Applied(accepted(2)));
    for number in (0..5).filter(|number| *number != lagging) {
        sim.compact(number);
    }
    assert_eq!(submit(&mut sim, true, 2), SimReply::Applied(accepted(3)));
    sim.restart(lagging);
    sim.run(SETTLE_TIME);
    for number in 0..5 {
        assert!(is_evacuated(sim.catalog(number), "z1"), "member {number}");
        sim.crash(number);
    }
    for number in 0..5 {
        sim.restart(number);
    }
    sim.run_until_leader();
    sim.run(SETTLE_TIME);
    for number in 0..5 {
        assert!(is_evacuated(sim.catalog(number), "z1"), "member {number}");
        assert_eq!(zone_revision(&sim, number), 3);
    }
}

/// Guards against an acknowledged evacuation that is lost with the disks of two of five members.
#[test]
fn the_loss_of_two_disks_keeps_an_evacuation() {
    let mut sim = GroupSim::new(5, ReplicaConfig::default());
    let leader = sim.run_until_leader();
    let token = sim.submit(leader, set("z1", true, 0));
    while *sim.reply(token) == SimReply::Pending {
        sim.run(Duration::from_millis(10));
    }
    // Crashes at the moment of the acknowledgement the leader and one of the others.
    let other = (0..5).find(|number| *number != leader).expect("another member");
    sim.crash_and_erase_disk(leader);
    sim.crash_and_erase_disk(other);
    let second = sim.run_until_leader();
    sim.run(SETTLE_TIME);
    assert!(is_evacuated(sim.catalog(second), "z1"));
}

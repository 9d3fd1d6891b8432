//! Faults of a control group in an order that random events seldom produce, step by step.

use crate::support::organisation_edit;
use egretseam_proto::OrganisationName;
use egretseam_replica::{MembershipChange, Message, NodeRole, ReplicaConfig};
use egretseam_testkit::{GroupSim, SimReply};
use std::time::Duration;

fn is_vote(message: &Message) -> bool {
    matches!(message, Message::Vote { .. })
}

fn is_vote_reply(message: &Message) -> bool {
    matches!(message, Message::VoteReply { .. })
}

fn is_append(message: &Message) -> bool {
    matches!(message, Message::Append { .. })
}

fn is_append_reply(message: &Message) -> bool {
    matches!(message, Message::AppendReply { .. })
}

/// A member grants its vote and crashes before the vote is on disk. After its restart, another
/// candidate of the same term requests its vote. If the first reply were sent before the sync, both
/// candidates would lead, and each would commit changes that the other never receives.
#[test]
fn a_vote_is_not_sent_before_it_is_synced() {
    let mut sim = GroupSim::new(3, ReplicaConfig::default());
    sim.campaign(0);
    sim.campaign(2);
    sim.deliver_where(|from, to, message| from == 0 && to == 1 && is_vote(message), true);
    assert!(sim.node(1).is_none(), "member 1 is down");
    sim.restart(1);
    sim.deliver_where(|from, to, message| from == 2 && to == 1 && is_vote(message), false);
    sim.deliver_where(|_, to, message| to == 0 && is_vote_reply(message), false);
    sim.deliver_where(|_, to, message| to == 2 && is_vote_reply(message), false);
    // The safety checker panics if a term has two leaders. Only the candidate that got the synced
    // vote leads.
    assert_eq!(sim.leaders().len(), 1);
    assert_eq!(sim.leader(), Some(2));
}

/// A leader's entry reaches a second member only after the leader was deposed and elected again. A
/// majority then holds the entry, but a third member whose last entry has a later term can still
/// replace it. If the leader committed it by counting replicas, the operator would see a committed
/// change revert.
#[test]
fn an_entry_of_an_earlier_term_is_not_committed_by_counting_replicas() {
    // One entry per message, so that the old entry is delivered before the new leader's own.
    let config = ReplicaConfig { max_append_bytes: 1, ..ReplicaConfig::default() };
    let mut sim = GroupSim::new(3, config);
    // Member 0 leads; its first entries reach no other member.
    elect(&mut sim, 0, 1);
    sim.drop_all_messages();
    let first = sim.submit(0, organisation_edit(1));
    sim.drop_all_messages();
    // Member 2 is elected by member 1, whose log is no longer than its own. Its first entry reaches
    // no other member.
    elect(&mut sim, 2, 1);
    sim.drop_all_messages();
    // Member 0 learns from a reply of member 1 that it was deposed.
    sim.tick(Duration::from_millis(250));
    sim.deliver_where(|from, to, m| from == 0 && to == 1 && is_append(m), false);
    sim.deliver_where(|from, to, m| from == 1 && to == 0 && is_append_reply(m), false);
    // Member 0 is elected again. Member 1 receives its old entries, but not yet that of the new
    // term.
    elect(&mut sim, 0, 1);
    let old_last_index = sim.node(0).map(|node| node.status().last_index.0 - 1);
    for _ in 0..40 {
        let reached = sim.node(1).map(|node| node.status().last_index.0);
        if reached >= old_last_index {
            break;
        }
        let delivered = sim.deliver_first(|from, to, m| from == 0 && to == 1 && is_append(m));
        if !delivered {
            sim.deliver_first(|from, to, m| from == 1 && to == 0 && is_append_reply(m));
        }
    }
    assert_eq!(
        sim.node(1).map(|node| node.status().last_index.0),
        old_last_index,
        "member 1 has the old entries"
    );
    sim.deliver_where(|from, to, m| from == 1 && to == 0 && is_append_reply(m), false);
    sim.drop_all_messages();
    assert_eq!(
        *sim.reply(first),
        SimReply::Pending,
        "a majority holds an entry of an earlier term"
    );
    // The last entry of member 2 has a later term, so member 1 must vote for it, and it replaces
    // the entries of the others.
    sim.crash(0);
    elect(&mut sim, 2, 1);
    sim.run(Duration::from_secs(2));
    sim.restart(0);
    sim.run(Duration::from_secs(2));
    assert_eq!(
        *sim.reply(first),
        SimReply::Pending,
        "its caller was never told that it was committed"
    );
}

/// Makes `candidate` leader with no other vote than its own and that of `voter`.
fn elect(sim: &mut GroupSim, candidate: usize, voter: usize) {
    for _ in 0..10 {
        sim.campaign(candidate);
        sim.deliver_where(|from, to, m| from == candidate && to == voter && is_vote(m), false);
        sim.deliver_where(
            |from, to, m| from == voter && to == candidate && is_vote_reply(m),
            false,
        );
        if sim.leaders().iter().any(|(number, _)| *number == candidate) {
            return;
        }
    }
    panic!("member {candidate} was not elected");
}

/// A leader is isolated for minutes without being told, and operators send it changes. It must
/// commit none of them, the other members must continue, and after its return it must adopt their
/// state without disturbing their leader.
#[test]
fn a_leader_isolated_for_minutes_commits_nothing() {
    let mut sim = GroupSim::new(3, ReplicaConfig::default());
    let old_leader = sim.run_until_leader();
    sim.isolate(old_leader);
    let isolated_tokens: Vec<usize> =
        (0..20).map(|number| sim.submit(old_leader, organisation_edit(number))).collect();
    sim.run(Duration::from_secs(5));
    let new_leader = sim.leader().expect("the other members elect a leader");
    assert_ne!(new_leader, old_leader);
    assert!(
        !sim.node(old_leader).expect("the member is running").is_leader(),
        "the isolated leader has stepped down"
    );
    let committed_token = sim.submit(new_leader, organisation_edit(100));
    sim.run(Duration::from_secs(180));
    let term = sim.node(new_leader).expect("the member is running").status().term;
    sim.heal();
    sim.run(Duration::from_secs(3));
    assert_eq!(
        sim.node(new_leader).expect("the member is running").status().term,
        term,
        "the leader kept its term"
    );
    assert!(matches!(sim.reply(committed_token), SimReply::Applied(_)));
    for token in isolated_tokens {
        assert!(!matches!(sim.reply(token), SimReply::Applied(_)), "committed without a quorum");
    }
    assert_eq!(sim.catalog(old_leader).encode(), sim.catalog(new_leader).encode());
}

/// A member loses its disk and is replaced; right afterwards a second member crashes. Because the
/// lost member is removed before its replacement becomes a voter, the remaining two are a majority
/// of three.
#[test]
fn the_group_survives_a_second_loss_right_after_a_repair() {
    let mut sim = GroupSim::new(3, ReplicaConfig::default());
    let leader = sim.run_until_leader();
    let others: Vec<usize> = (0..3).filter(|number| *number != leader).collect();
    sim.crash_and_erase_disk(others[0]);
    let replacement = sim.add_empty_member();
    let steps = [
        MembershipChange::AddLearner(sim.record(replacement)),
        MembershipChange::Remove(sim.id(others[0])),
        MembershipChange::Promote(sim.id(replacement)),
    ];
    for step in &steps {
        sim.change_members(leader, step).expect("the leader accepts each step");
        sim.run(Duration::from_secs(1));
    }
    sim.crash(others[1]);
    let token = sim.submit(leader, organisation_edit(7));
    sim.run(Duration::from_secs(3));
    assert!(matches!(sim.reply(token), SimReply::Applied(_)));
}

/// The second member crashes in the middle of the repair, while only two voters are left. Until it
/// returns, no change may be committed and no member may lead alone.
#[test]
fn a_second_loss_during_a_repair_stops_the_group_and_does_not_split_it() {
    let mut sim = GroupSim::new(3, ReplicaConfig::default());
    let leader = sim.run_until_leader();
    let others: Vec<usize> = (0..3).filter(|number| *number != leader).collect();
    sim.crash_and_erase_disk(others[0]);
    let removal = MembershipChange::Remove(sim.id(others[0]));
    sim.change_members(leader, &removal).expect("the leader accepts the change");
    sim.run(Duration::from_secs(1));
    sim.crash(others[1]);
    let token = sim.submit(leader, organisation_edit(7));
    sim.run(Duration::from_secs(10));
    assert_eq!(*sim.reply(token), SimReply::Pending);
    assert!(sim.leaders().is_empty(), "no member leads without a quorum");
    sim.restart(others[1]);
    sim.run_until_leader();
}

/// A member whose disk was replaced by an empty one starts under a new id and must not vote: with
/// the vote of its old id it could help to elect a leader that lacks a committed change.
#[test]
fn a_member_with_an_empty_disk_does_not_vote_in_place_of_its_old_id() {
    let mut sim = GroupSim::new(3, ReplicaConfig::default());
    let leader = sim.run_until_leader();
    let others: Vec<usize> = (0..3).filter(|number| *number != leader).collect();
    // Committed by the leader and one other member; the third never receives it.
    sim.isolate(others[1]);
    let token = sim.submit(leader, organisation_edit(1));
    sim.run(Duration::from_secs(1));
    assert!(matches!(sim.reply(token), SimReply::Applied(_)));
    sim.crash_and_erase_disk(others[0]);
    sim.crash(leader);
    sim.add_empty_member();
    sim.heal();
    sim.run(Duration::from_secs(10));
    assert!(sim.leaders().is_empty(), "the third member and one with an empty disk are no quorum");
    sim.restart(leader);
    let new_leader = sim.run_until_leader();
    sim.run(Duration::from_secs(1));
    let name = OrganisationName::try_from("org-1").expect("a valid name");
    assert!(sim.catalog(new_leader).view().organisations.contains_key(&name));
}

/// A removed member returns with its old disk. It must learn that it was removed, and it must not
/// disturb the group's leader.
#[test]
fn a_removed_member_that_returns_is_rejected() {
    let mut sim = GroupSim::new(3, ReplicaConfig::default());
    let leader = sim.run_until_leader();
    let removed = (0..3).find(|number| *number != leader).expect("another member");
    sim.crash(removed);
    sim.change_members(leader, &MembershipChange::Remove(sim.id(removed)))
        .expect("the leader accepts the change");
    sim.run(Duration::from_secs(1));
    let term = sim.node(leader).expect("the member is running").status().term;
    sim.restart(removed);
    sim.run(Duration::from_secs(10));
    assert_eq!(sim.node(removed).expect("the member is running").status().role, NodeRole::Removed);
    assert_eq!(sim.node(leader).expect("the member is running").status().term, term);
    assert_eq!(sim.leader(), Some(leader));
}

/// A leader appends its own removal and crashes before any other member has the entry. After its
/// restart it has the longest log and votes for no other member; the group must elect a leader
/// nevertheless.
#[test]
fn a_leader_that_crashes_while_it_removes_itself_does_not_block_the_group() {
    let mut sim = GroupSim::new(2, ReplicaConfig::default());
    let leader = sim.run_until_leader();
    sim.run(Duration::from_secs(1));
    let removal = MembershipChange::Remove(sim.id(leader));
    sim.change_members(leader, &removal).expect("the leader accepts the change");
    sim.drop_all_messages();
    sim.crash(leader);
    sim.restart(leader);
    sim.run(Duration::from_secs(20));
    let new_leader = sim.leader().expect("a leader is elected");
    assert_ne!(new_leader, leader, "the removal is committed");
}

/// An operator promotes a learner that has not replied yet. As a voter it would raise the quorum's
/// size without contributing to it, so the leader must reject the change.
#[test]
fn a_learner_that_never_replied_cannot_be_promoted() {
    let mut sim = GroupSim::new(3, ReplicaConfig::default());
    let leader = sim.run_until_leader();
    let learner = sim.add_empty_member();
    sim.isolate(learner);
    let add = MembershipChange::AddLearner(sim.record(learner));
    sim.change_members(leader, &add).expect("the leader accepts the change");
    sim.run(Duration::from_secs(1));
    let promote = MembershipChange::Promote(sim.id(learner));
    assert!(sim.change_members(leader, &promote).is_err());
    sim.heal();
    sim.run(Duration::from_secs(1));
    assert!(sim.change_members(leader, &promote).is_ok());
}

/// A member that was down for long receives a snapshot in pieces, and the connection breaks during
/// the transfer. It must end with the leader's state and must never apply part of a snapshot.
#[test]
fn an_interrupted_snapshot_transfer_is_completed_later() {
    let config = ReplicaConfig { snapshot_piece_bytes: 64, ..ReplicaConfig::default() };
    let mut sim = GroupSim::new(3, config);
    let leader = sim.run_until_leader();
    let lagging = (0..3).find(|number| *number != leader).expect("another member");
    sim.crash(lagging);
    for number in 0..50 {
        sim.submit(leader, organisation_edit(number));
    }
    sim.run(Duration::from_secs(1));
    sim.compact(leader);
    sim.restart(lagging);
    sim.run(Duration::from_millis(20));
    sim.isolate(lagging);
    sim.run(Duration::from_secs(1));
    assert!(
        sim.catalog(lagging).view().organisations.is_empty(),
        "an incomplete snapshot is not applied"
    );
    sim.heal();
    sim.run(Duration::from_secs(10));
    assert_eq!(sim.catalog(lagging).encode(), sim.catalog(leader).encode());
}

/// All members restart after hundreds of changes, of which a snapshot on the leader covers a part.
/// The configuration must be complete again, at the same revision and never at a lower one.
#[test]
fn a_restart_of_all_members_keeps_the_complete_configuration() {
    let mut sim = GroupSim::new(3, ReplicaConfig::default());
    let leader = sim.run_until_leader();
    for number in 0..400 {
        sim.submit(leader, organisation_edit(number));
        if number == 250 {
            sim.run(Duration::from_millis(100));
            sim.compact(leader);
        }
    }
    sim.run(Duration::from_secs(2));
    let before = sim.catalog(leader).view().clone();
    assert_eq!(before.organisations.len(), 400);
    for number in 0..3 {
        sim.crash(number);
    }
    for number in 0..3 {
        sim.restart(number);
    }
    sim.run_until_leader();
    sim.run(Duration::from_secs(1));
    for number in 0..3 {
        assert_eq!(*sim.catalog(number).view(), before);
    }
}

/// A follower that learned the commit index only from the next heartbeat would apply a committed
/// change up to 200 ms later than the leader, and callers of the entries that watch it would meet
/// the previous configuration that much longer than others.
#[test]
fn followers_learn_the_commit_index_before_the_next_heartbeat() {
    let mut sim = GroupSim::new(3, ReplicaConfig::default());
    let leader = sim.run_until_leader();
    sim.run(Duration::from_secs(1));
    for number in 1..=8 {
        sim.submit(leader, organisation_edit(number));
        // Two round trips take a small part of the 200 ms between heartbeats.
        sim.run(Duration::from_millis(60));
        let commit_indexes: Vec<u64> = (0..3)
            .map(|at| sim.node(at).expect("the member is running").status().commit_index.0)
            .collect();
        assert_eq!(commit_indexes, [commit_indexes[leader]; 3], "after change {number}");
        sim.run(Duration::from_millis(37));
    }
}

/// All control members are killed and restarted at once. Every member has the configuration on its
/// disk, but if none knew that it is committed, callers would be rejected for the duration of an
/// election. Changes committed shortly before the kill must be applied at the start, without a
/// leader.
#[test]
fn committed_changes_are_applied_before_a_leader_is_elected() {
    let mut sim = GroupSim::new(3, ReplicaConfig::default());
    let leader = sim.run_until_leader();
    let token = sim.submit(leader, organisation_edit(1));
    sim.run(Duration::from_millis(200));
    assert!(matches!(sim.reply(token), SimReply::Applied(_)), "{:?}", sim.reply(token));
    for number in 0..3 {
        sim.crash(number);
    }
    for number in 0..3 {
        sim.restart(number);
    }
    // 30 ms, far below the shortest election timeout.
    sim.run(Duration::from_millis(30));
    assert_eq!(sim.leader(), None);
    for number in 0..3 {
        let organisations = sim.catalog(number).view().organisations.len();
        assert_eq!(organisations, 1, "member {number}");
    }
}

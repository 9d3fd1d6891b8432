//! Interleavings of elections that random events seldom meet, written out step by step.

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

/// A member grants its vote, answers, and dies before the vote is on disk. Restarted, it is asked
/// by another candidate of the same term. If the answer had left before the sync, both candidates
/// would lead and each accept changes that the other never sees.
#[test]
fn a_vote_that_was_not_synced_was_not_given() {
    let mut sim = GroupSim::new(3, ReplicaConfig::default());
    sim.campaign(0);
    sim.campaign(2);
    sim.deliver_where(|from, to, message| from == 0 && to == 1 && is_vote(message), true);
    assert!(sim.node(1).is_none(), "member 1 is down");
    sim.restart(1);
    sim.deliver_where(|from, to, message| from == 2 && to == 1 && is_vote(message), false);
    sim.deliver_where(|_, to, message| to == 0 && is_vote_reply(message), false);
    sim.deliver_where(|_, to, message| to == 2 && is_vote_reply(message), false);
    // The ledger panics on two leaders of one term; here one leads, with the vote that lasted.
    assert_eq!(sim.leaders().len(), 1);
    assert_eq!(sim.leader(), Some(2));
}

/// A leader's change reaches a second member only after the leader was deposed and elected anew.
/// A majority holds it, but a third member with a later term can still replace it. If the leader
/// accepted it by counting, the operator would see an accepted change revert.
#[test]
fn an_entry_of_an_earlier_term_is_not_accepted_by_count() {
    // One entry in each message, so that the old entry travels before the new leader's own.
    let config = ReplicaConfig { max_append_bytes: 1, ..ReplicaConfig::default() };
    let mut sim = GroupSim::new(3, config);
    // Member 0 leads and keeps its first entries to itself.
    elect(&mut sim, 0, 1);
    sim.lose_all();
    let first = sim.submit(0, organisation_edit(1));
    sim.lose_all();
    // Member 2 is elected by member 1, whose log is no longer than its own, and tells nobody.
    elect(&mut sim, 2, 1);
    sim.lose_all();
    // Member 0 learns from member 1 that it was deposed.
    sim.tick(Duration::from_millis(250));
    sim.deliver_where(|from, to, m| from == 0 && to == 1 && is_append(m), false);
    sim.deliver_where(|from, to, m| from == 1 && to == 0 && is_append_reply(m), false);
    // Member 0 is elected again and member 1 takes its old entries, but not yet the new one.
    elect(&mut sim, 0, 1);
    let target = sim.node(0).map(|node| node.status().last_index.0 - 1);
    for _ in 0..40 {
        let reached = sim.node(1).map(|node| node.status().last_index.0);
        if reached >= target {
            break;
        }
        let took = sim.deliver_first(|from, to, m| from == 0 && to == 1 && is_append(m));
        if !took {
            sim.deliver_first(|from, to, m| from == 1 && to == 0 && is_append_reply(m));
        }
    }
    assert_eq!(
        sim.node(1).map(|node| node.status().last_index.0),
        target,
        "the old entries are there"
    );
    sim.deliver_where(|from, to, m| from == 1 && to == 0 && is_append_reply(m), false);
    sim.lose_all();
    assert_eq!(*sim.reply(first), SimReply::Pending, "a majority holds it, but of an old term");
    // Member 2 has a later term in its log, so member 1 must vote for it, and it replaces all.
    sim.crash(0);
    elect(&mut sim, 2, 1);
    sim.run(Duration::from_secs(2));
    sim.restart(0);
    sim.run(Duration::from_secs(2));
    assert_eq!(*sim.reply(first), SimReply::Pending, "its caller never heard that it was accepted");
}

/// Makes `candidate` leader by the vote of `voter` alone.
fn elect(sim: &mut GroupSim, candidate: usize, voter: usize) {
    for _ in 0..10 {
        sim.campaign(candidate);
        sim.deliver_where(|f, t, m| f == candidate && t == voter && is_vote(m), false);
        sim.deliver_where(|f, t, m| f == voter && t == candidate && is_vote_reply(m), false);
        if sim.leaders().iter().any(|(number, _)| *number == candidate) {
            return;
        }
    }
    panic!("member {candidate} was not elected");
}

/// A control member is cut off silently while it leads, and operators go on sending it changes for
/// minutes. None may be accepted there, the others must go on, and on its return it must take their
/// state and not disturb their leader.
#[test]
fn a_leader_cut_off_for_minutes_accepts_nothing() {
    let mut sim = GroupSim::new(3, ReplicaConfig::default());
    let old = sim.run_until_led();
    sim.isolate(old);
    let lost: Vec<usize> =
        (0..20).map(|number| sim.submit(old, organisation_edit(number))).collect();
    sim.run(Duration::from_secs(5));
    let new = sim.leader().expect("the others elect one of them");
    assert_ne!(new, old);
    assert!(!sim.node(old).expect("it runs").is_leader(), "it knows that it lost its quorum");
    let kept = sim.submit(new, organisation_edit(100));
    sim.run(Duration::from_secs(180));
    let term = sim.node(new).expect("it runs").status().term;
    sim.heal();
    sim.run(Duration::from_secs(3));
    assert_eq!(sim.node(new).expect("it runs").status().term, term, "the leader was not disturbed");
    assert!(matches!(sim.reply(kept), SimReply::Applied(_)));
    for token in lost {
        assert!(!matches!(sim.reply(token), SimReply::Applied(_)), "accepted without a quorum");
    }
    assert_eq!(sim.catalog(old).encode(), sim.catalog(new).encode());
}

/// A member loses its disk and is replaced; right after that a second one is lost. With the lost
/// member removed before its replacement votes, the two that remain are a majority of three.
#[test]
fn a_second_loss_right_after_a_repair_is_survived() {
    let mut sim = GroupSim::new(3, ReplicaConfig::default());
    let leader = sim.run_until_led();
    let others: Vec<usize> = (0..3).filter(|number| *number != leader).collect();
    sim.lose_disk(others[0]);
    let fresh = sim.add_blank();
    let steps = [
        MembershipChange::AddLearner(sim.record(fresh)),
        MembershipChange::Remove(sim.id(others[0])),
        MembershipChange::Promote(sim.id(fresh)),
    ];
    for step in &steps {
        sim.change_members(leader, step).expect("each step is taken");
        sim.run(Duration::from_secs(1));
    }
    sim.crash(others[1]);
    let token = sim.submit(leader, organisation_edit(7));
    sim.run(Duration::from_secs(3));
    assert!(matches!(sim.reply(token), SimReply::Applied(_)));
}

/// The same loss in the middle of the repair: two voters are left and one dies. Nothing may be
/// accepted any more, and nobody may lead alone, until one of them returns.
#[test]
fn a_second_loss_during_a_repair_stops_and_does_not_split() {
    let mut sim = GroupSim::new(3, ReplicaConfig::default());
    let leader = sim.run_until_led();
    let others: Vec<usize> = (0..3).filter(|number| *number != leader).collect();
    sim.lose_disk(others[0]);
    let removal = MembershipChange::Remove(sim.id(others[0]));
    sim.change_members(leader, &removal).expect("the step is taken");
    sim.run(Duration::from_secs(1));
    sim.crash(others[1]);
    let token = sim.submit(leader, organisation_edit(7));
    sim.run(Duration::from_secs(10));
    assert_eq!(*sim.reply(token), SimReply::Pending);
    assert!(sim.leaders().is_empty(), "nobody leads without a quorum");
    sim.restart(others[1]);
    sim.run_until_led();
}

/// A member whose disk was replaced by an empty one starts under a new id. It must not vote: with
/// its former vote it could elect a leader without an accepted change.
#[test]
fn a_member_with_an_empty_disk_does_not_vote_as_its_former_self() {
    let mut sim = GroupSim::new(3, ReplicaConfig::default());
    let leader = sim.run_until_led();
    let others: Vec<usize> = (0..3).filter(|number| *number != leader).collect();
    // Accepted by the leader and one other; the third never hears of it.
    sim.isolate(others[1]);
    let token = sim.submit(leader, organisation_edit(1));
    sim.run(Duration::from_secs(1));
    assert!(matches!(sim.reply(token), SimReply::Applied(_)));
    sim.lose_disk(others[0]);
    sim.crash(leader);
    sim.add_blank();
    sim.heal();
    sim.run(Duration::from_secs(10));
    assert!(sim.leaders().is_empty(), "the third member and a blank one are no quorum");
    sim.restart(leader);
    let again = sim.run_until_led();
    sim.run(Duration::from_secs(1));
    let name = OrganisationName::try_from("org-1").expect("a valid name");
    assert!(sim.catalog(again).view().organisations.contains_key(&name));
}

/// A member that was replaced comes back with its old disk. It is told that it is out, and the
/// group's leader is not disturbed.
#[test]
fn a_replaced_member_that_returns_is_refused() {
    let mut sim = GroupSim::new(3, ReplicaConfig::default());
    let leader = sim.run_until_led();
    let gone = (0..3).find(|number| *number != leader).expect("another member");
    sim.crash(gone);
    sim.change_members(leader, &MembershipChange::Remove(sim.id(gone))).expect("taken");
    sim.run(Duration::from_secs(1));
    let term = sim.node(leader).expect("it runs").status().term;
    sim.restart(gone);
    sim.run(Duration::from_secs(10));
    assert_eq!(sim.node(gone).expect("it runs").status().role, NodeRole::Removed);
    assert_eq!(sim.node(leader).expect("it runs").status().term, term);
    assert_eq!(sim.leader(), Some(leader));
}

/// A leader removes itself and dies before anybody else has the entry. It comes back with the
/// longest log and would vote for nobody else; the group must find a leader all the same.
#[test]
fn a_leader_that_dies_while_it_removes_itself_does_not_block_the_group() {
    let mut sim = GroupSim::new(2, ReplicaConfig::default());
    let leader = sim.run_until_led();
    sim.run(Duration::from_secs(1));
    let removal = MembershipChange::Remove(sim.id(leader));
    sim.change_members(leader, &removal).expect("the step is taken");
    sim.lose_all();
    sim.crash(leader);
    sim.restart(leader);
    sim.run(Duration::from_secs(20));
    let last = sim.leader().expect("somebody leads");
    assert_ne!(last, leader, "and the removal went through");
}

/// A learner that has not answered yet is promoted by an impatient operator. It would count for
/// the quorum without helping it; the step is refused.
#[test]
fn a_learner_that_never_answered_cannot_vote() {
    let mut sim = GroupSim::new(3, ReplicaConfig::default());
    let leader = sim.run_until_led();
    let fresh = sim.add_blank();
    sim.isolate(fresh);
    let add = MembershipChange::AddLearner(sim.record(fresh));
    sim.change_members(leader, &add).expect("the step is taken");
    sim.run(Duration::from_secs(1));
    let promote = MembershipChange::Promote(sim.id(fresh));
    assert!(sim.change_members(leader, &promote).is_err());
    sim.heal();
    sim.run(Duration::from_secs(1));
    assert!(sim.change_members(leader, &promote).is_ok());
}

/// A member that was down for long gets a snapshot in pieces, and the connection breaks halfway.
/// It must end with the leader's state, and never with half of one.
#[test]
fn a_snapshot_cut_off_midway_is_finished_later() {
    let config = ReplicaConfig { snapshot_piece_bytes: 64, ..ReplicaConfig::default() };
    let mut sim = GroupSim::new(3, config);
    let leader = sim.run_until_led();
    let behind = (0..3).find(|number| *number != leader).expect("another member");
    sim.crash(behind);
    for number in 0..50 {
        sim.submit(leader, organisation_edit(number));
    }
    sim.run(Duration::from_secs(1));
    sim.compact(leader);
    sim.restart(behind);
    sim.run(Duration::from_millis(20));
    sim.isolate(behind);
    sim.run(Duration::from_secs(1));
    assert!(sim.catalog(behind).view().organisations.is_empty(), "half a snapshot is none");
    sim.heal();
    sim.run(Duration::from_secs(10));
    assert_eq!(sim.catalog(behind).encode(), sim.catalog(leader).encode());
}

/// All members restart after hundreds of changes, some behind a snapshot. The configuration must
/// be there again, at the same revision and never a lower one.
#[test]
fn a_restart_of_all_after_hundreds_of_changes_keeps_everything() {
    let mut sim = GroupSim::new(3, ReplicaConfig::default());
    let leader = sim.run_until_led();
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
    sim.run_until_led();
    sim.run(Duration::from_secs(1));
    for number in 0..3 {
        assert_eq!(*sim.catalog(number).view(), before);
    }
}

/// An operator's change is accepted, but callers of some entries meet the old one a fifth of a
/// second longer than others: a member that is told of the commitment by the next heartbeat only
/// applies the change that much later than the leader.
#[test]
fn followers_hear_of_a_commitment_before_the_next_heartbeat() {
    let mut sim = GroupSim::new(3, ReplicaConfig::default());
    let leader = sim.run_until_led();
    sim.run(Duration::from_secs(1));
    for number in 1..=8 {
        sim.submit(leader, organisation_edit(number));
        // A message and its answer, twice, take a small part of the 200 ms between heartbeats.
        sim.run(Duration::from_millis(60));
        let commits: Vec<u64> =
            (0..3).map(|at| sim.node(at).expect("it runs").status().commit_index.0).collect();
        assert_eq!(commits, [commits[leader]; 3], "after change {number}");
        sim.run(Duration::from_millis(37));
    }
}

/// Callers are refused for the time of an election after all of control was killed and is back at
/// once: every member has the configuration on its disk, and none knows that it is committed. What
/// was committed a moment before the kill is applied at the start, without any leader.
#[test]
fn what_was_committed_is_served_before_anybody_leads() {
    let mut sim = GroupSim::new(3, ReplicaConfig::default());
    let leader = sim.run_until_led();
    let token = sim.submit(leader, organisation_edit(1));
    sim.run(Duration::from_millis(200));
    assert!(matches!(sim.reply(token), SimReply::Applied(_)), "{:?}", sim.reply(token));
    for number in 0..3 {
        sim.crash(number);
    }
    for number in 0..3 {
        sim.restart(number);
    }
    // One tick, far below the shortest election timeout.
    sim.run(Duration::from_millis(30));
    assert_eq!(sim.leader(), None);
    for number in 0..3 {
        let organisations = sim.catalog(number).view().organisations.len();
        assert_eq!(organisations, 1, "member {number}");
    }
}

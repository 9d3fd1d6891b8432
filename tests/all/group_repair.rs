//! Automatic repair of the control group: which member is added, promoted or removed next.

use egretseam_control::{RepairPlanner, RepairPolicy};
use egretseam_replica::{
    LogIndex, MemberId, MemberProgress, MemberRecord, Membership, MembershipChange, NodeRole,
    NodeStatus, Term,
};
use std::time::Duration;
use tokio::time::Instant;

const POLICY: RepairPolicy =
    RepairPolicy { voters: 3, replace_after: Duration::from_millis(2_500) };
const LEADER: MemberId = MemberId(1);

fn record(id: u64, host: u64) -> MemberRecord {
    let address = format!("10.0.0.{host}:7700");
    MemberRecord { id: MemberId(id), name: format!("core-{host}"), address, voter: false }
}

/// Status of the leader. `silent_millis` pairs the id of each peer with the time since its last
/// answer in milliseconds.
fn leader_status(membership: &Membership, silent_millis: &[(u64, u64)]) -> NodeStatus {
    let progress = silent_millis.iter().map(|(id, millis)| MemberProgress {
        id: MemberId(*id),
        match_index: LogIndex(10),
        silent_for: Duration::from_millis(*millis),
    });
    NodeStatus {
        id: LEADER,
        role: NodeRole::Leader,
        term: Term(2),
        leader: Some(LEADER),
        commit_index: LogIndex(10),
        last_index: LogIndex(10),
        first_index: LogIndex(1),
        membership: membership.clone(),
        progress: progress.collect(),
    }
}

fn founders() -> Membership {
    Membership::of_voters(vec![record(1, 1), record(2, 2), record(3, 3)])
}

/// Applies the changes that the repair proposes until it proposes none; returns them.
fn run_repair(
    planner: &mut RepairPlanner,
    membership: &mut Membership,
    silent_millis: &[(u64, u64)],
) -> Vec<MembershipChange> {
    let mut changes = Vec::new();
    while let Some(change) =
        planner.next_change(&leader_status(membership, silent_millis), LEADER, Instant::now())
    {
        *membership = membership.with_change(&change).expect("the change applies");
        changes.push(change);
        assert!(changes.len() < 10, "the repair does not converge: {changes:?}");
    }
    changes
}

#[actix_rt::test]
async fn a_silent_voter_stays_while_no_member_asks_to_join() {
    let mut planner = RepairPlanner::new(POLICY);
    assert!(run_repair(&mut planner, &mut founders(), &[(2, 100), (3, 9_000)]).is_empty());
}

/// A member that lost its disk returns at its old address under a new id. It must be added as a
/// learner first, and its previous identity removed only after it has caught up. Otherwise one more
/// loss in between leaves no quorum, and no change can be committed.
#[actix_rt::test]
async fn a_member_that_lost_its_disk_replaces_its_previous_identity() {
    let mut planner = RepairPlanner::new(POLICY);
    let mut membership = founders();
    planner.record_join_request(record(9, 3), Instant::now());
    let changes = run_repair(&mut planner, &mut membership, &[(2, 100), (3, 300), (9, 100)]);
    let expected = [
        MembershipChange::AddLearner(record(9, 3)),
        MembershipChange::Remove(MemberId(3)),
        MembershipChange::Promote(MemberId(9)),
    ];
    assert_eq!(changes, expected);
    assert_eq!(membership.voters().count(), 3);
}

#[actix_rt::test]
async fn a_learner_replaces_a_voter_only_after_replace_after() {
    let mut planner = RepairPlanner::new(POLICY);
    let mut membership = founders();
    planner.record_join_request(record(4, 4), Instant::now());
    let changes_before =
        run_repair(&mut planner, &mut membership, &[(2, 100), (3, 1_000), (4, 100)]);
    assert_eq!(
        changes_before,
        [MembershipChange::AddLearner(record(4, 4))],
        "voter 3 has been silent for less than replace_after"
    );
    let changes_after =
        run_repair(&mut planner, &mut membership, &[(2, 100), (3, 2_600), (4, 100)]);
    assert_eq!(
        changes_after,
        [MembershipChange::Remove(MemberId(3)), MembershipChange::Promote(MemberId(4))]
    );
}

#[actix_rt::test]
async fn a_group_with_too_few_voters_promotes_learners() {
    let policy = RepairPolicy { voters: 5, ..POLICY };
    let mut planner = RepairPlanner::new(policy);
    let mut membership = founders();
    planner.record_join_request(record(4, 4), Instant::now());
    planner.record_join_request(record(5, 5), Instant::now());
    let silent_millis = [(2, 100), (3, 100), (4, 100), (5, 100)];
    run_repair(&mut planner, &mut membership, &silent_millis);
    assert_eq!(membership.voters().count(), 5);
}

#[actix_rt::test]
async fn an_unreachable_learner_is_removed_and_not_added_again() {
    let mut planner = RepairPlanner::new(POLICY);
    let mut membership = founders();
    planner.record_join_request(record(4, 4), Instant::now());
    run_repair(&mut planner, &mut membership, &[(2, 100), (3, 100), (4, 100)]);
    let silent_millis = [(2, 100), (3, 100), (4, 5_000)];
    let changes = run_repair(&mut planner, &mut membership, &silent_millis);
    assert_eq!(changes, [MembershipChange::Remove(MemberId(4))], "a removed id is not added again");
}

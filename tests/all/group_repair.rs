//! How the control group mends itself, as decisions: who is added, promoted and removed.

use egretseam_control::{JoinTable, RepairPolicy};
use egretseam_replica::{
    LogIndex, MemberId, MemberProgress, MemberRecord, Membership, MembershipChange, NodeRole,
    NodeStatus, Term,
};
use std::time::Duration;
use tokio::time::Instant;

const POLICY: RepairPolicy =
    RepairPolicy { voters: 3, replace_after: Duration::from_millis(2_500) };
const OWN: MemberId = MemberId(1);

fn record(id: u64, host: u64) -> MemberRecord {
    let address = format!("10.0.0.{host}:7700");
    MemberRecord { id: MemberId(id), name: format!("core-{host}"), address, voter: false }
}

/// The leader's view: peers with the time since they last answered.
fn status(membership: &Membership, silent: &[(u64, u64)]) -> NodeStatus {
    let progress = silent.iter().map(|(id, millis)| MemberProgress {
        id: MemberId(*id),
        match_index: LogIndex(10),
        silent_for: Duration::from_millis(*millis),
    });
    NodeStatus {
        id: OWN,
        role: NodeRole::Leader,
        term: Term(2),
        leader: Some(OWN),
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

/// Applies steps until nothing is due; returns them.
fn mend(
    joins: &mut JoinTable,
    membership: &mut Membership,
    silent: &[(u64, u64)],
) -> Vec<MembershipChange> {
    let mut steps = Vec::new();
    while let Some(step) = joins.next_change(&status(membership, silent), OWN, Instant::now()) {
        *membership = membership.with_change(&step).expect("a step that applies");
        steps.push(step);
        assert!(steps.len() < 10, "the repair does not come to rest: {steps:?}");
    }
    steps
}

#[actix_rt::test]
async fn a_whole_group_is_left_alone() {
    let mut joins = JoinTable::new(POLICY);
    assert!(mend(&mut joins, &mut founders(), &[(2, 100), (3, 9_000)]).is_empty());
}

/// What users would see: a second loss right after a lost disk stops all changes. A member comes
/// back at its address with an empty disk, as a stranger. It is added first, and its former self
/// leaves only when it has the log.
#[actix_rt::test]
async fn a_member_that_lost_its_disk_replaces_its_former_self() {
    let mut joins = JoinTable::new(POLICY);
    let mut membership = founders();
    joins.note(record(9, 3), Instant::now());
    let steps = mend(&mut joins, &mut membership, &[(2, 100), (3, 300), (9, 100)]);
    let expected = [
        MembershipChange::AddLearner(record(9, 3)),
        MembershipChange::Remove(MemberId(3)),
        MembershipChange::Promote(MemberId(9)),
    ];
    assert_eq!(steps, expected);
    assert_eq!(membership.voters().count(), 3);
}

#[actix_rt::test]
async fn a_stranger_waits_until_a_voter_is_lost_for_long() {
    let mut joins = JoinTable::new(POLICY);
    let mut membership = founders();
    joins.note(record(4, 4), Instant::now());
    let early = mend(&mut joins, &mut membership, &[(2, 100), (3, 1_000), (4, 100)]);
    assert_eq!(early, [MembershipChange::AddLearner(record(4, 4))], "3 may be back in a moment");
    let late = mend(&mut joins, &mut membership, &[(2, 100), (3, 2_600), (4, 100)]);
    assert_eq!(
        late,
        [MembershipChange::Remove(MemberId(3)), MembershipChange::Promote(MemberId(4))]
    );
}

#[actix_rt::test]
async fn a_group_below_its_size_takes_voters_in() {
    let policy = RepairPolicy { voters: 5, ..POLICY };
    let mut joins = JoinTable::new(policy);
    let mut membership = founders();
    joins.note(record(4, 4), Instant::now());
    joins.note(record(5, 5), Instant::now());
    let silent = [(2, 100), (3, 100), (4, 100), (5, 100)];
    mend(&mut joins, &mut membership, &silent);
    assert_eq!(membership.voters().count(), 5);
}

#[actix_rt::test]
async fn learners_that_died_are_dropped_and_removed_members_not_taken_back() {
    let mut joins = JoinTable::new(POLICY);
    let mut membership = founders();
    joins.note(record(4, 4), Instant::now());
    mend(&mut joins, &mut membership, &[(2, 100), (3, 100), (4, 100)]);
    let silent = [(2, 100), (3, 100), (4, 5_000)];
    let steps = mend(&mut joins, &mut membership, &silent);
    assert_eq!(steps, [MembershipChange::Remove(MemberId(4))], "its id never votes or joins again");
}

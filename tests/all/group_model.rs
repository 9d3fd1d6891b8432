//! The control group under random faults of the network, the disks and the scheduler, checked for
//! one property: a committed change stays committed, on all members and in the same order.

use crate::support::organisation_edit;
use egretseam_proto::OrganisationName;
use egretseam_replica::{MembershipChange, ReplicaConfig};
use egretseam_testkit::{GroupSim, SimReply};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use std::time::Duration;

/// Voters of the initial group.
const VOTERS: usize = 3;
/// Members that one test case may start in total.
const MAX_MEMBERS: usize = 6;

/// One step of a test case: a fault, a request or the passing of time.
#[derive(Clone, Debug)]
enum GroupEvent {
    Deliver(usize),
    DeliverAndCrash(usize),
    Duplicate(usize),
    Lose(usize),
    Tick(u64),
    Run(u64),
    RunUntilLed,
    Submit(usize, u64),
    SubmitToLeader(usize, u64),
    SubmitAndCrash(usize, u64),
    CrashLeader(usize),
    IsolateLeader(usize),
    Cut(usize, usize),
    Campaign(usize),
    Crash(usize),
    Restart(usize),
    Freeze(usize),
    Thaw(usize),
    Isolate(usize),
    Heal,
    Compact(usize),
    Read(usize),
    AddBlank,
    AddLearner(usize),
    Promote(usize),
    Remove(usize),
}

/// The reference model, which counts only the members started and the commands submitted. The
/// ledger of the simulated group checks what was committed.
#[derive(Clone, Debug)]
struct GroupReference {
    members: usize,
    commands: u64,
}

impl ReferenceStateMachine for GroupReference {
    type State = Self;
    type Transition = GroupEvent;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self { members: VOTERS, commands: 0 }).boxed()
    }

    fn transitions(state: &Self) -> BoxedStrategy<GroupEvent> {
        let member = 0..state.members;
        let command = state.commands;
        prop_oneof![
            25 => (0..8_usize).prop_map(GroupEvent::Deliver),
            6 => (0..8_usize).prop_map(GroupEvent::DeliverAndCrash),
            3 => (0..8_usize).prop_map(GroupEvent::Duplicate),
            4 => (0..8_usize).prop_map(GroupEvent::Lose),
            4 => (1..300_u64).prop_map(GroupEvent::Tick),
            4 => (10..400_u64).prop_map(GroupEvent::Run),
            8 => Just(GroupEvent::RunUntilLed),
            2 => member.clone().prop_map(move |at| GroupEvent::Submit(at, command)),
            12 => (0..2_usize).prop_map(move |at| GroupEvent::SubmitToLeader(at, command)),
            2 => (0..2_usize).prop_map(move |at| GroupEvent::SubmitAndCrash(at, command)),
            3 => (0..2_usize).prop_map(GroupEvent::CrashLeader),
            4 => (0..2_usize).prop_map(GroupEvent::IsolateLeader),
            4 => (member.clone(), member.clone()).prop_map(|(a, b)| GroupEvent::Cut(a, b)),
            6 => member.clone().prop_map(GroupEvent::Campaign),
            2 => member.clone().prop_map(GroupEvent::Crash),
            6 => member.clone().prop_map(GroupEvent::Restart),
            2 => member.clone().prop_map(GroupEvent::Freeze),
            4 => member.clone().prop_map(GroupEvent::Thaw),
            2 => member.clone().prop_map(GroupEvent::Isolate),
            4 => Just(GroupEvent::Heal),
            2 => member.clone().prop_map(GroupEvent::Compact),
            5 => member.clone().prop_map(GroupEvent::Read),
            1 => Just(GroupEvent::AddBlank),
            4 => member.clone().prop_map(GroupEvent::AddLearner),
            4 => member.clone().prop_map(GroupEvent::Promote),
            3 => member.prop_map(GroupEvent::Remove),
        ]
        .boxed()
    }

    fn apply(mut state: Self, event: &GroupEvent) -> Self {
        match event {
            GroupEvent::AddBlank => state.members += 1,
            GroupEvent::Submit(..)
            | GroupEvent::SubmitToLeader(..)
            | GroupEvent::SubmitAndCrash(..) => state.commands += 1,
            _ => {}
        }
        state
    }

    fn preconditions(state: &Self, event: &GroupEvent) -> bool {
        let exists = |at: &usize| *at < state.members;
        match event {
            GroupEvent::AddBlank => state.members < MAX_MEMBERS,
            GroupEvent::Submit(at, _) => exists(at),
            GroupEvent::Cut(a, b) => a != b && exists(a) && exists(b),
            GroupEvent::Campaign(at)
            | GroupEvent::Crash(at)
            | GroupEvent::Restart(at)
            | GroupEvent::Freeze(at)
            | GroupEvent::Thaw(at)
            | GroupEvent::Isolate(at)
            | GroupEvent::Compact(at)
            | GroupEvent::Read(at)
            | GroupEvent::AddLearner(at)
            | GroupEvent::Promote(at)
            | GroupEvent::Remove(at) => exists(at),
            _ => true,
        }
    }
}

struct GroupUnderTest {
    sim: GroupSim,
    /// Reply token and command number of each command that was reported as committed.
    committed: Vec<(usize, u64)>,
    /// Reply token and command number of each command submitted.
    submitted: Vec<(usize, u64)>,
    reads: u64,
}

impl GroupUnderTest {
    fn collect_replies(&mut self) {
        for (token, number) in &self.submitted {
            let is_recorded = self.committed.iter().any(|(recorded, _)| recorded == token);
            if !is_recorded && matches!(self.sim.reply(*token), SimReply::Applied(_)) {
                self.committed.push((*token, *number));
            }
        }
    }
}

impl StateMachineTest for GroupUnderTest {
    type SystemUnderTest = Self;
    type Reference = GroupReference;

    fn init_test(_: &GroupReference) -> Self {
        let config = ReplicaConfig { promote_max_lag: 4, ..ReplicaConfig::default() };
        let sim = GroupSim::new(VOTERS, config);
        Self { sim, committed: Vec::new(), submitted: Vec::new(), reads: 0 }
    }

    fn apply(mut test: Self, _: &GroupReference, event: GroupEvent) -> Self {
        let sim = &mut test.sim;
        match event {
            GroupEvent::Deliver(at) => sim.deliver(at),
            GroupEvent::DeliverAndCrash(at) => sim.deliver_and_crash(at),
            GroupEvent::Duplicate(at) => sim.duplicate(at),
            GroupEvent::Lose(at) => sim.drop_message(at),
            GroupEvent::Tick(millis) => sim.tick(Duration::from_millis(millis)),
            GroupEvent::Run(millis) => sim.run(Duration::from_millis(millis)),
            GroupEvent::Submit(at, number) => {
                let token = sim.submit(at, organisation_edit(number));
                test.submitted.push((token, number));
            }
            GroupEvent::SubmitToLeader(at, number) => {
                if let Some(leader) = nth_leader(sim, at) {
                    let token = sim.submit(leader, organisation_edit(number));
                    test.submitted.push((token, number));
                }
            }
            GroupEvent::SubmitAndCrash(at, number) => {
                if let Some(leader) = nth_leader(sim, at) {
                    let token = sim.submit_and_crash(leader, organisation_edit(number));
                    test.submitted.push((token, number));
                }
            }
            GroupEvent::RunUntilLed => sim.run_until_leader_or_timeout(Duration::from_secs(4)),
            GroupEvent::CrashLeader(at) => {
                if let Some(leader) = nth_leader(sim, at) {
                    sim.crash(leader);
                }
            }
            GroupEvent::IsolateLeader(at) => {
                if let Some(leader) = nth_leader(sim, at) {
                    sim.isolate(leader);
                }
            }
            GroupEvent::Cut(a, b) => sim.cut_link(a, b),
            GroupEvent::Campaign(at) => sim.campaign(at),
            GroupEvent::Crash(at) => sim.crash(at),
            GroupEvent::Restart(at) => sim.restart(at),
            GroupEvent::Freeze(at) => sim.freeze(at),
            GroupEvent::Thaw(at) => {
                sim.thaw(at);
                sim.run_member(at, false);
            }
            GroupEvent::Isolate(at) => sim.isolate(at),
            GroupEvent::Heal => sim.heal(),
            GroupEvent::Compact(at) => sim.compact(at),
            GroupEvent::Read(at) => {
                test.reads += 1;
                sim.read(at, test.reads);
            }
            GroupEvent::AddBlank => {
                sim.add_empty_member();
            }
            GroupEvent::AddLearner(at) => {
                change(sim, &MembershipChange::AddLearner(sim.record(at)))
            }
            GroupEvent::Promote(at) => change(sim, &MembershipChange::Promote(sim.id(at))),
            GroupEvent::Remove(at) => change(sim, &MembershipChange::Remove(sim.id(at))),
        }
        test.collect_replies();
        test
    }

    /// After all cuts are healed and all members run again, the group elects a leader that holds
    /// every committed command, however many faults came before.
    fn teardown(mut test: Self, _: GroupReference) {
        let sim = &mut test.sim;
        sim.heal();
        for number in 0..sim.len() {
            sim.thaw(number);
            sim.restart(number);
        }
        let leader = sim.run_until_leader();
        sim.run(Duration::from_secs(5));
        let leader = sim.leader().unwrap_or(leader);
        test.collect_replies();
        let view = test.sim.catalog(leader).view();
        for (_, number) in &test.committed {
            let name = OrganisationName::try_from(format!("org-{number}")).expect("a valid name");
            assert!(
                view.organisations.contains_key(&name),
                "committed command {number} is missing"
            );
        }
    }
}

/// One of the members that act as leader, which may be a deposed one that does not know it yet.
fn nth_leader(sim: &GroupSim, at: usize) -> Option<usize> {
    let leaders = sim.leaders();
    leaders.get(at % leaders.len().max(1)).map(|(number, _)| *number)
}

/// Requests a membership change from the current leader, which may rightly reject it.
fn change(sim: &mut GroupSim, change: &MembershipChange) {
    if let Some(leader) = sim.leader() {
        sim.change_members(leader, change).ok();
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 400,
        rng_seed: RngSeed::Fixed(0x5eed_0001),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    })]

    #[test]
    fn committed_commands_survive_all_faults(sequential 1..250 => GroupUnderTest);
}

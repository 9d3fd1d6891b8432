//! Reports the engine's status to control and receives the plan: which weights the engine is to
//! load.

use crate::{
    load_log,
    shared::{ReceivedPlan, StagerShared},
    switch,
};
use egretseam_proto::ZoneName;
use egretseam_rpc::{AgentCall, AgentReply, FeedLink, LinkOptions, WeightsPlan};
use egretseam_serving::{PeerMap, SwarmPeer, apply_peer_updates};
use std::{net::SocketAddr, rc::Weak, time::Duration};
use tokio::time::Instant;

/// How long a control member may hold a call until the plan changes.
const LONG_POLL_WAIT: Duration = Duration::from_millis(2_000);
/// Time beyond that wait after which a call has failed.
const CALL_TIMEOUT_MARGIN: Duration = Duration::from_millis(800);
/// Timeout for connecting to a control member: a dozen round trips between regions. After a power
/// loss agents start before control does; the sooner an agent finds a member, the sooner its engine
/// has its weights again.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Pause after a failed call before the next member is called.
const FAILOVER_DELAY: Duration = Duration::from_millis(50);

/// Follows one control member at a time, and fails over to the next one when a call fails.
///
/// Failure guarded: all instances lose power and some control members their disks. These answer at
/// once but know no plan until the group has taken them in again, a second or more later; engines
/// whose agents followed one of them stayed empty as long. So an agent without a plan asks all
/// members in turn before it waits at one for a change.
pub(crate) async fn follow(shared: Weak<StagerShared>) {
    let mut members = match shared.upgrade() {
        Some(shared) => shared.options.feed_seeds.borrow().clone(),
        None => return,
    };
    let mut member_index: usize = rand::random::<u16>().into();
    let mut link: Option<FeedLink> = None;
    // Whether the member at the other end of the link has answered.
    let mut has_answered = false;
    // Members in a row that know no plan, while this agent has none either.
    let mut without_plan = 0;
    let mut position = PlanPosition::default();
    loop {
        let Some(state) = shared.upgrade() else { return };
        if members.is_empty() {
            members = state.options.feed_seeds.borrow().clone();
        }
        let Some(address) = members.get(member_index % members.len().max(1)).cloned() else {
            tokio::time::sleep(FAILOVER_DELAY).await;
            continue;
        };
        if link.as_ref().is_none_or(|link| link.address() != address) {
            link = Some(feed_link(&state, &address));
            has_answered = false;
        }
        let Some(current_link) = &link else { continue };
        let mut report = state.report.subscribe();
        report.mark_unchanged();
        load_log::log_withheld(&state);
        let call = AgentCall {
            target: state.options.target,
            service: state.options.service.clone(),
            engine: state.engine_status(),
            run: position.member_incarnation,
            seen: position.plan_number,
            peers_seen: position.peers_number,
            wait_millis: call_wait(has_answered).as_millis() as u64,
        };
        let reply = tokio::select! {
            reply = current_link.agent(call) => Some(reply),
            // The call is abandoned and repeated at once with the engine's new status.
            _ = report.changed() => None,
            () = state.report_due.notified() => None,
        };
        match reply {
            None => {}
            Some(Ok(reply)) => {
                has_answered = true;
                state.control_member.set(address.parse().ok());
                let reported_members = reply.members.clone();
                position.apply(&state, reply);
                if state.plan.borrow().is_none() {
                    without_plan += 1;
                    if without_plan % (members.len() + 1) != 0 {
                        member_index = member_index.wrapping_add(1);
                        drop(state);
                        tokio::time::sleep(FAILOVER_DELAY).await;
                    }
                } else if !reported_members.is_empty() {
                    members = reported_members;
                }
            }
            Some(Err(error)) => {
                tracing::info!(
                    member = %address, %error,
                    "call to control member failed; trying the next member"
                );
                member_index = member_index.wrapping_add(1);
                let seeds = state.options.feed_seeds.borrow().clone();
                members.extend(
                    seeds.into_iter().filter(|seed| !members.contains(seed)).collect::<Vec<_>>(),
                );
                drop(state);
                tokio::time::sleep(FAILOVER_DELAY).await;
            }
        }
    }
}

/// How long a member may hold a call.
///
/// Failure guarded: a control member is frozen while its machine still accepts connections. An
/// agent that starts then and calls it first could not tell for 2.8 s whether the plan is unchanged
/// or the member hangs. In a run with 76 added instances a quarter of them had their weights 3.5 s
/// after the others. Until a member has answered once, it is asked to answer immediately, and
/// skipped after [`CALL_TIMEOUT_MARGIN`].
fn call_wait(has_answered: bool) -> Duration {
    if has_answered { LONG_POLL_WAIT } else { Duration::ZERO }
}

fn feed_link(shared: &StagerShared, address: &str) -> FeedLink {
    let options = LinkOptions {
        connect_timeout: CONNECT_TIMEOUT,
        call_timeout: CALL_TIMEOUT_MARGIN,
        ..LinkOptions::default()
    };
    FeedLink::new(address, shared.options.secret, options)
}

/// Which changes of plan and peers have been received from a control member, and the resulting
/// peers.
#[derive(Default)]
struct PlanPosition {
    member_incarnation: u64,
    plan_number: u64,
    peers_number: u64,
    peers: PeerMap,
}

impl PlanPosition {
    fn apply(&mut self, shared: &StagerShared, reply: AgentReply) {
        (self.member_incarnation, self.plan_number, self.peers_number) =
            (reply.run, reply.seen, reply.peers_seen);
        let has_peers = !reply.peers.is_empty();
        apply_peer_updates(&mut self.peers, reply.peers);
        let peers = || {
            let peer = |(target, zone): (&SocketAddr, &ZoneName)| SwarmPeer {
                target: *target,
                zone: zone.clone(),
            };
            self.peers.iter().map(peer).collect()
        };
        if let Some(plan) = reply.plan {
            apply_plan(shared, plan, peers());
        } else if has_peers {
            shared.plan.send_if_modified(|current_plan| {
                let Some(current_plan) = current_plan else { return false };
                current_plan.peers = peers();
                tracing::info!(peers = current_plan.peers.len(), "peers changed");
                true
            });
        }
    }
}

fn apply_plan(shared: &StagerShared, plan: WeightsPlan, peers: Vec<SwarmPeer>) {
    let age = plan.version.as_ref().map_or(0, |published| published.age_millis);
    let now = Instant::now();
    let published_at_by_age = now.checked_sub(Duration::from_millis(age)).unwrap_or(now);
    shared.plan.send_modify(|current_plan| {
        let version = plan.version.as_ref().map(|published| published.version);
        let same_version = current_plan.as_ref().filter(|current_plan| {
            current_plan.plan.version.as_ref().map(|published| published.version) == version
        });
        let is_older = current_plan.as_ref().is_some_and(|current_plan| {
            current_plan.plan.model == plan.model && current_plan.version() > version.unwrap_or(1)
        });
        if is_older {
            // The member lags behind; the newest version that was ever published is wanted.
            return;
        }
        let published_at = same_version.map_or(published_at_by_age, |current_plan| {
            current_plan.published_at.min(published_at_by_age)
        });
        tracing::info!(?version, peers = peers.len(), "plan changed");
        let not_loaded = current_plan
            .as_ref()
            .filter(|current_plan| !switch::holds(shared, &current_plan.key()));
        let staleness_start = not_loaded
            .map_or(published_at, |current_plan| current_plan.staleness_start.min(published_at));
        *current_plan = Some(ReceivedPlan { plan, peers, published_at, staleness_start });
    });
}

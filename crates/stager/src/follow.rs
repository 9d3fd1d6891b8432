//! Telling control about the engine, and learning what to bring to it.

use crate::{
    shared::{ReceivedPlan, StagerShared},
    switch,
};
use egretseam_proto::ZoneName;
use egretseam_rpc::{AgentCall, AgentReply, FeedLink, LinkOptions, WeightsPlan};
use egretseam_serving::{PeerMap, SwarmPeer, apply_peer_updates};
use std::{net::SocketAddr, rc::Weak, time::Duration};
use tokio::time::Instant;

/// How long a call may wait for news of the plan.
const CALL_WAIT: Duration = Duration::from_millis(2_000);
/// Time beyond the wait after which a call has failed.
const CALL_SLACK: Duration = Duration::from_millis(800);
/// How long a connection to a control member may take: a dozen round trips between regions. After a
/// loss of power agents start before control does; the sooner one finds it, the sooner its engine
/// has its weights again.
const CONNECT_LIMIT: Duration = Duration::from_millis(150);
/// Pause after a failed call, before another member is asked.
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(50);

/// Follows one control member at a time, another one after a failure.
pub(crate) async fn follow(shared: Weak<StagerShared>) {
    let mut members = match shared.upgrade() {
        Some(shared) => shared.options.feed_seeds.borrow().clone(),
        None => return,
    };
    let mut at: usize = rand::random::<u16>().into();
    let mut link: Option<FeedLink> = None;
    // Whether the member at the other end of the link has answered.
    let mut has_answered = false;
    let mut position = PlanPosition::default();
    loop {
        let Some(held) = shared.upgrade() else { return };
        if members.is_empty() {
            members = held.options.feed_seeds.borrow().clone();
        }
        let Some(address) = members.get(at % members.len().max(1)).cloned() else {
            tokio::time::sleep(PAUSE_AFTER_FAILURE).await;
            continue;
        };
        if link.as_ref().is_none_or(|link| link.address() != address) {
            link = Some(feed_link(&held, &address));
            has_answered = false;
        }
        let Some(current) = &link else { continue };
        let mut report = held.report.subscribe();
        report.mark_unchanged();
        let call = AgentCall {
            target: held.options.target,
            service: held.options.service.clone(),
            engine: held.engine_status(),
            run: position.run,
            seen: position.seen,
            peers_seen: position.peers_seen,
            wait_millis: call_wait(has_answered).as_millis() as u64,
        };
        let reply = tokio::select! {
            reply = current.agent(call) => Some(reply),
            // News of the engine are told at once.
            _ = report.changed() => None,
            () = held.report_due.notified() => None,
        };
        match reply {
            None => {}
            Some(Ok(reply)) => {
                has_answered = true;
                held.control_member.set(address.parse().ok());
                if !reply.members.is_empty() {
                    members.clone_from(&reply.members);
                }
                position.take(&held, reply);
            }
            Some(Err(error)) => {
                tracing::info!(member = %address, %error, "a control member does not answer");
                at = at.wrapping_add(1);
                let seeds = held.options.feed_seeds.borrow().clone();
                members.extend(
                    seeds.into_iter().filter(|seed| !members.contains(seed)).collect::<Vec<_>>(),
                );
                drop(held);
                tokio::time::sleep(PAUSE_AFTER_FAILURE).await;
            }
        }
    }
}

/// How long a member may keep a call waiting.
///
/// Failure guarded: a control member is frozen, and its machine still accepts connections. An agent that
/// starts then and asks it first would not know for 2.8 s whether it has no news or hangs. In a play with
/// 76 added instances a quarter of them had their weights 3.5 s after the others. Until a member has
/// answered once it is asked for an answer at once, and passed over after [`CALL_SLACK`].
fn call_wait(has_answered: bool) -> Duration {
    if has_answered { CALL_WAIT } else { Duration::ZERO }
}

fn feed_link(shared: &StagerShared, address: &str) -> FeedLink {
    let options = LinkOptions {
        connect_timeout: CONNECT_LIMIT,
        call_timeout: CALL_SLACK,
        ..LinkOptions::default()
    };
    FeedLink::new(address, shared.options.secret, options)
}

/// How far a member's plans have been read, and the peers that came of it.
#[derive(Default)]
struct PlanPosition {
    run: u64,
    seen: u64,
    peers_seen: u64,
    peers: PeerMap,
}

impl PlanPosition {
    fn take(&mut self, shared: &StagerShared, reply: AgentReply) {
        (self.run, self.seen, self.peers_seen) = (reply.run, reply.seen, reply.peers_seen);
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
            take_plan(shared, plan, peers());
        } else if has_peers {
            shared.plan.send_if_modified(|held| {
                let Some(held) = held else { return false };
                held.peers = peers();
                tracing::info!(peers = held.peers.len(), "peers changed");
                true
            });
        }
    }
}

fn take_plan(shared: &StagerShared, plan: WeightsPlan, peers: Vec<SwarmPeer>) {
    let age = plan.version.as_ref().map_or(0, |named| named.age_millis);
    let now = Instant::now();
    let told_at = now.checked_sub(Duration::from_millis(age)).unwrap_or(now);
    shared.plan.send_modify(|held| {
        let version = plan.version.as_ref().map(|named| named.version);
        let same = held
            .as_ref()
            .filter(|held| held.plan.version.as_ref().map(|named| named.version) == version);
        let older = held.as_ref().is_some_and(|held| {
            held.plan.model == plan.model && held.version() > version.unwrap_or(1)
        });
        if older {
            // A member that is behind; the newest version that was ever named is wanted.
            return;
        }
        let published_at = same.map_or(told_at, |held| held.published_at.min(told_at));
        tracing::info!(?version, peers = peers.len(), "plan changed");
        let unmet = held.as_ref().filter(|held| !switch::holds(shared, &held.key()));
        let staleness_start =
            unmet.map_or(published_at, |held| held.staleness_start.min(published_at));
        *held = Some(ReceivedPlan { plan, peers, published_at, staleness_start });
    });
}

//! Probes a few other agents continuously, to measure the round-trip time over this instance's
//! link.

use crate::{
    shared::{ReceivedPlan, StagerShared},
    transfer::peer_name,
};
use actix_rt::task::JoinHandle;
use egretseam_proto::InstanceName;
use egretseam_rpc::{ChunkLink, LinkOptions};
use egretseam_serving::SwarmPeer;
use indexmap::IndexMap;
use std::{
    net::SocketAddr,
    rc::{Rc, Weak},
    time::Duration,
};
use tokio::time::Instant;

/// Number of agents probed. If four links in ten are slow, those of three agents are all slow in
/// one case of sixteen.
const PROBED_PEERS: usize = 3;
/// Pause between a reply and the next probe of the same agent.
const PROBE_PAUSE: Duration = Duration::from_millis(250);
/// Pause after a failed probe.
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(500);
/// How often the time that replies are outstanding is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// If more time passes between two checks, this process was not running meanwhile.
const PROCESS_PAUSE: Duration = Duration::from_millis(250);
/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Probes other agents until this agent is dropped, and reports the link's delay to entries.
pub(crate) async fn run(shared: Weak<StagerShared>) {
    let Some(held) = shared.upgrade() else { return };
    let mut plan = held.plan.subscribe();
    drop(held);
    plan.mark_changed();
    let mut tasks: IndexMap<SocketAddr, JoinHandle<()>> = IndexMap::new();
    let mut checked_at = Instant::now();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let Some(shared) = shared.upgrade() else { return };
        let now = Instant::now();
        if now.saturating_duration_since(checked_at) > PROCESS_PAUSE {
            shared.path.borrow_mut().record_process_pause(now);
        }
        checked_at = now;
        if plan.has_changed().unwrap_or(false) {
            let held = plan.borrow_and_update();
            let peers = held.as_ref().map_or_else(Vec::new, |plan| peers_to_probe(&shared, plan));
            drop(held);
            set_probed_peers(&shared, &peers, &mut tasks);
        }
        shared.adapt_to_link();
    }
}

fn set_probed_peers(
    shared: &Rc<StagerShared>,
    peers: &[SocketAddr],
    tasks: &mut IndexMap<SocketAddr, JoinHandle<()>>,
) {
    let names: Vec<InstanceName> = peers.iter().map(|peer| peer_name(*peer)).collect();
    shared.path.borrow_mut().set_peers(&names);
    tasks.retain(|peer, task| {
        let stays = peers.contains(peer);
        if !stays {
            task.abort();
        }
        stays
    });
    for peer in peers {
        let start = || actix_rt::spawn(probe_peer(Rc::downgrade(shared), *peer));
        tasks.entry(*peer).or_insert_with(start);
    }
}

/// The agents that follow this one in the cyclic order of addresses. Those in the same availability
/// zone come first, since probes to them cross no zone.
fn peers_to_probe(shared: &StagerShared, plan: &ReceivedPlan) -> Vec<SocketAddr> {
    let own = shared.options.target;
    let mut peers: Vec<&SwarmPeer> = plan.peers.iter().filter(|peer| peer.target != own).collect();
    peers.sort_by_key(|peer| (peer.zone != shared.options.zone, peer.target < own, peer.target));
    peers.iter().take(PROBED_PEERS).map(|peer| peer.target).collect()
}

async fn probe_peer(shared: Weak<StagerShared>, target: SocketAddr) {
    let Some(held) = shared.upgrade() else { return };
    let address = SocketAddr::new(target.ip(), held.options.chunk_port);
    let options = LinkOptions { call_timeout: PROBE_TIMEOUT, ..LinkOptions::default() };
    let link = ChunkLink::new(&address.to_string(), held.options.secret, options);
    drop(held);
    let name = peer_name(target);
    loop {
        let Some(held) = shared.upgrade() else { return };
        held.path.borrow_mut().record_probe_sent(&name, Instant::now());
        drop(held);
        let reply = link.echo().await;
        let Some(held) = shared.upgrade() else { return };
        let pause = match reply {
            Ok(()) => {
                held.path.borrow_mut().record_reply(&name, Instant::now());
                PROBE_PAUSE
            }
            Err(error) => {
                tracing::debug!(%error, "a peer did not reply to a probe");
                held.path.borrow_mut().record_unreachable(&name);
                PAUSE_AFTER_FAILURE
            }
        };
        drop(held);
        tokio::time::sleep(pause).await;
    }
}

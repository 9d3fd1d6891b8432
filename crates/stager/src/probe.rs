//! Asking a few other agents all the time, to know how long anything is on its way over the own link.

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

/// Agents that are asked: with four links in ten narrow, all of three are one time in sixteen.
const PEERS: usize = 3;
/// Pause between an answer and the next question.
const PAUSE: Duration = Duration::from_millis(250);
/// Pause after an agent could not be reached.
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(500);
/// How often it is looked how long answers are awaited.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two looks from which on the process was standing still.
const STOPPED: Duration = Duration::from_millis(250);
/// Time for an answer.
const ANSWER_LIMIT: Duration = Duration::from_millis(2_000);

/// Asks for as long as the agent lives, and lets entries know.
pub(crate) async fn run(shared: Weak<StagerShared>) {
    let Some(held) = shared.upgrade() else { return };
    let mut plan = held.plan.subscribe();
    drop(held);
    plan.mark_changed();
    let mut tasks: IndexMap<SocketAddr, JoinHandle<()>> = IndexMap::new();
    let mut looked_at = Instant::now();
    loop {
        tokio::time::sleep(LOOK_INTERVAL).await;
        let Some(shared) = shared.upgrade() else { return };
        let now = Instant::now();
        if now.saturating_duration_since(looked_at) > STOPPED {
            shared.path.borrow_mut().record_process_pause(now);
        }
        looked_at = now;
        if plan.has_changed().unwrap_or(false) {
            let held = plan.borrow_and_update();
            let peers = held.as_ref().map_or_else(Vec::new, |plan| neighbours(&shared, plan));
            drop(held);
            follow_peers(&shared, &peers, &mut tasks);
        }
        shared.adapt_to_link();
    }
}

fn follow_peers(
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
        let start = || actix_rt::spawn(ask(Rc::downgrade(shared), *peer));
        tasks.entry(*peer).or_insert_with(start);
    }
}

/// The next agents behind this one, in the order of addresses, those of the own availability zone first:
/// what is asked there crosses no zone.
fn neighbours(shared: &StagerShared, plan: &ReceivedPlan) -> Vec<SocketAddr> {
    let own = shared.options.target;
    let mut peers: Vec<&SwarmPeer> = plan.peers.iter().filter(|peer| peer.target != own).collect();
    peers.sort_by_key(|peer| (peer.zone != shared.options.zone, peer.target < own, peer.target));
    peers.iter().take(PEERS).map(|peer| peer.target).collect()
}

async fn ask(shared: Weak<StagerShared>, target: SocketAddr) {
    let Some(held) = shared.upgrade() else { return };
    let address = SocketAddr::new(target.ip(), held.options.chunk_port);
    let options = LinkOptions { call_timeout: ANSWER_LIMIT, ..LinkOptions::default() };
    let link = ChunkLink::new(&address.to_string(), held.options.secret, options);
    drop(held);
    let name = peer_name(target);
    loop {
        let Some(held) = shared.upgrade() else { return };
        held.path.borrow_mut().record_probe_sent(&name, Instant::now());
        drop(held);
        let answer = link.echo().await;
        let Some(held) = shared.upgrade() else { return };
        let pause = match answer {
            Ok(()) => {
                held.path.borrow_mut().record_reply(&name, Instant::now());
                PAUSE
            }
            Err(error) => {
                tracing::debug!(%error, "a peer does not answer a probe");
                held.path.borrow_mut().record_unreachable(&name);
                PAUSE_AFTER_FAILURE
            }
        };
        drop(held);
        tokio::time::sleep(pause).await;
    }
}

//! Outgoing messages: one queue and one sending task per peer.

use egretseam_replica::{Envelope, MemberId, Membership};
use egretseam_rpc::{ControlLink, LinkOptions, PeerSecret};
use indexmap::IndexMap;
use prometheus::IntCounter;
use std::time::Duration;
use tokio::sync::mpsc;

/// Maximum number of messages queued for one peer; further ones are dropped, which replication
/// tolerates.
const PEER_QUEUE_CAPACITY: usize = 1_024;
/// Maximum number of messages in one call.
const MAX_CALL_MESSAGES: usize = 128;
/// Maximum number of queues, including those of former members, up to which a sender that is not in
/// the membership gets one.
const MAX_PEER_QUEUES: usize = 64;
/// Delay after a failed call, so that an unreachable peer costs few connection attempts.
const DELAY_AFTER_FAILURE: Duration = Duration::from_millis(100);

struct PeerQueue {
    address: String,
    sender: mpsc::Sender<Envelope>,
}

/// Queues to all peers of one control member.
pub(crate) struct OutboxTable {
    own_address: String,
    secret: PeerSecret,
    options: LinkOptions,
    queues: IndexMap<MemberId, PeerQueue>,
    dropped: IntCounter,
}

impl OutboxTable {
    pub(crate) fn new(
        own_address: &str,
        secret: PeerSecret,
        options: LinkOptions,
        dropped: IntCounter,
    ) -> Self {
        let own_address = own_address.to_owned();
        Self { own_address, secret, options, queues: IndexMap::new(), dropped }
    }

    /// Creates a queue for each new or moved peer of the membership in force. Queues of former
    /// members are kept, so that a removed member can still be notified.
    pub(crate) fn update_queues(&mut self, own_id: MemberId, membership: &Membership) {
        for member in membership.members().filter(|member| member.id != own_id) {
            let known = self.queues.get(&member.id);
            if known.is_none_or(|queue| queue.address != member.address) {
                let queue = self.spawn_sender(&member.address);
                self.queues.insert(member.id, queue);
            }
        }
    }

    /// Creates a queue for a sender that has none, so that a member that is not yet in the
    /// membership can be answered.
    pub(crate) fn ensure_queue(&mut self, from: MemberId, address: &str) {
        if !self.queues.contains_key(&from) && self.queues.len() < MAX_PEER_QUEUES {
            let queue = self.spawn_sender(address);
            self.queues.insert(from, queue);
        }
    }

    pub(crate) fn send(&self, envelopes: Vec<Envelope>) {
        for envelope in envelopes {
            let queue = self.queues.get(&envelope.to);
            let queued = queue.is_some_and(|queue| queue.sender.try_send(envelope).is_ok());
            if !queued {
                self.dropped.inc();
            }
        }
    }

    fn spawn_sender(&self, address: &str) -> PeerQueue {
        let (sender, receiver) = mpsc::channel(PEER_QUEUE_CAPACITY);
        let link = ControlLink::new(address, self.secret, self.options);
        let reply_to = self.own_address.clone();
        actix_rt::spawn(send_loop(link, reply_to, receiver, self.dropped.clone()));
        PeerQueue { address: address.to_owned(), sender }
    }
}

async fn send_loop(
    link: ControlLink,
    reply_to: String,
    mut receiver: mpsc::Receiver<Envelope>,
    dropped: IntCounter,
) {
    let mut batch = Vec::with_capacity(MAX_CALL_MESSAGES);
    while receiver.recv_many(&mut batch, MAX_CALL_MESSAGES).await > 0 {
        let count = batch.len() as u64;
        if let Err(error) = link.deliver(&reply_to, std::mem::take(&mut batch)).await {
            tracing::debug!(%error, "delivery to a peer failed; messages dropped");
            dropped.inc_by(count);
            tokio::time::sleep(DELAY_AFTER_FAILURE).await;
        }
    }
}

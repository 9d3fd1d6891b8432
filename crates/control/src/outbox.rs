//! One queue and one sending task for each peer.

use egretseam_replica::{Envelope, MemberId, Membership};
use egretseam_rpc::{ControlLink, LinkOptions, PeerSecret};
use indexmap::IndexMap;
use prometheus::IntCounter;
use std::time::Duration;
use tokio::sync::mpsc;

/// Most messages waiting for one peer; further ones are dropped, which the log tolerates.
const QUEUE_LENGTH: usize = 1_024;
/// Most messages in one call.
const BATCH_LENGTH: usize = 128;
/// Most peers, present and former.
const MAX_QUEUES: usize = 64;
/// Pause after a failed call, so that a dead peer costs little.
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(100);

struct PeerQueue {
    address: String,
    sender: mpsc::Sender<Envelope>,
}

/// Queues to all peers of one member.
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

    /// Matches the queues to the membership in force. Queues of former members stay while their
    /// task lives, so that a removed member can still be told.
    pub(crate) fn refresh(&mut self, own: MemberId, membership: &Membership) {
        for member in membership.members().filter(|member| member.id != own) {
            let known = self.queues.get(&member.id);
            if known.is_none_or(|queue| queue.address != member.address) {
                let queue = self.spawn_sender(&member.address);
                self.queues.insert(member.id, queue);
            }
        }
    }

    /// Notes where a sender that is not yet in the membership can be answered.
    pub(crate) fn learn(&mut self, from: MemberId, address: &str) {
        if !self.queues.contains_key(&from) && self.queues.len() < MAX_QUEUES {
            let queue = self.spawn_sender(address);
            self.queues.insert(from, queue);
        }
    }

    pub(crate) fn send(&self, envelopes: Vec<Envelope>) {
        for envelope in envelopes {
            let queue = self.queues.get(&envelope.to);
            let sent = queue.is_some_and(|queue| queue.sender.try_send(envelope).is_ok());
            if !sent {
                self.dropped.inc();
            }
        }
    }

    fn spawn_sender(&self, address: &str) -> PeerQueue {
        let (sender, receiver) = mpsc::channel(QUEUE_LENGTH);
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
    let mut batch = Vec::with_capacity(BATCH_LENGTH);
    while receiver.recv_many(&mut batch, BATCH_LENGTH).await > 0 {
        let count = batch.len() as u64;
        if let Err(error) = link.deliver(&reply_to, std::mem::take(&mut batch)).await {
            tracing::debug!(%error, "messages to a peer were lost");
            dropped.inc_by(count);
            tokio::time::sleep(PAUSE_AFTER_FAILURE).await;
        }
    }
}

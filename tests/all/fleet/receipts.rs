//! Acknowledgement of the parts that agents download.

use super::narrow_link::{FakeControlMember, free_port, host, peer, start_agent, wait_until};
use bytes::Bytes;
use egretseam_proto::ModelName;
use egretseam_rpc::{
    CachedChunkReply, ChunkService, HeldReply, OriginChunkCall, PartCall, PartReceipt, PartReply,
    PeerChunkCall, PeerSecret, RpcOptions, VersionDigests, WeightsKey, serve_chunks,
};
use egretseam_swarm::{ChunkSet, PlannerPolicy};
use sha2::{Digest, Sha256};
use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    rc::Rc,
    time::Duration,
};
use tarpc::context::Context;
use tokio::time::Instant;

const CHUNKS: u32 = 12;
const CHUNK_BYTES: usize = 48 * 1024;
/// Time that a part takes; longer than on a link at its configured rate, so that the window
/// shrinks.
const PART_TIME: Duration = Duration::from_millis(400);
/// Timeout of a receipt, shorter than the next part takes.
const RECEIPT_TIMEOUT: Duration = Duration::from_millis(250);

/// An agent that has all chunks, uploads them slowly and records which parts are acknowledged.
#[derive(Clone, Default)]
struct SlowSender {
    /// When each part was sent that is not acknowledged yet, by its number.
    sent_at: Rc<RefCell<BTreeMap<u64, Instant>>>,
    count: Rc<RefCell<u64>>,
}

impl SlowSender {
    fn record_sent(&self) -> PartReceipt {
        let mut count = self.count.borrow_mut();
        *count += 1;
        self.sent_at.borrow_mut().insert(*count, Instant::now());
        PartReceipt { is_same_zone: true, number: *count }
    }

    /// Whether the receipt of some part is overdue.
    fn has_overdue_receipt(&self) -> bool {
        self.sent_at.borrow().values().any(|sent_at| sent_at.elapsed() > RECEIPT_TIMEOUT)
    }
}

impl ChunkService for SlowSender {
    async fn held(self, _: Context, _: WeightsKey, _: u32, _: u64) -> Option<HeldReply> {
        let chunks = ChunkSet::full(CHUNKS).to_text();
        Some(HeldReply { chunks, origin_lost: false })
    }

    async fn digests(self, _: Context, _: WeightsKey, _: bool, _: u64) -> Option<Vec<[u8; 32]>> {
        Some(vec![Sha256::digest(vec![0; CHUNK_BYTES]).into(); CHUNKS as usize])
    }

    async fn versions_like(
        self,
        _: Context,
        _: ModelName,
        _: Vec<[u8; 32]>,
    ) -> Vec<VersionDigests> {
        Vec::new()
    }

    async fn part(self, _: Context, call: PartCall) -> Option<PartReply> {
        if let Some(receipt) = call.receipt {
            self.sent_at.borrow_mut().remove(&receipt.number);
        }
        tokio::time::sleep(PART_TIME).await;
        Some(PartReply {
            bytes: Bytes::from(vec![0; call.length as usize]),
            chunk_bytes: CHUNK_BYTES as u64,
            queued_millis: 0,
            receipt: self.record_sent(),
        })
    }

    async fn received(self, _: Context, receipt: PartReceipt) {
        self.sent_at.borrow_mut().remove(&receipt.number);
    }

    async fn echo(self, _: Context) {}

    async fn cache_origin_chunk(self, _: Context, _: OriginChunkCall) -> CachedChunkReply {
        CachedChunkReply::Unsupported
    }

    async fn cache_peer_chunk(self, _: Context, _: PeerChunkCall) -> CachedChunkReply {
        CachedChunkReply::Unsupported
    }
}

/// Guards against a deadlock of agents: each waits for room in its window before it sends a
/// receipt, and the others wait for that receipt.
#[actix_rt::test]
async fn a_part_is_acknowledged_while_the_next_request_waits() {
    let secret = PeerSecret::derive("a token of the test");
    let port = free_port(host(31));
    let senders = [SlowSender::default(), SlowSender::default()];
    let hosts = [31, 32];
    let mut servers = Vec::new();
    for (sender, number) in senders.iter().zip(hosts) {
        let listener = TcpListener::bind((host(number), port)).expect("a free port");
        let server = serve_chunks(listener, secret, RpcOptions::default(), sender.clone());
        servers.push(server.expect("the sender is served"));
    }
    let peers = hosts.map(peer).to_vec();
    let origin = SocketAddr::new(host(39), 1);
    let (_, _control, seed) = FakeControlMember::start(origin, peers, host(33), secret);
    let planner =
        PlannerPolicy { max_seeders: 0, max_fetches_per_peer: 1, ..PlannerPolicy::default() };
    let (_, _receiver) = start_agent(host(33), port, &seed, secret, planner).await;
    wait_until(|| senders.iter().all(|sender| *sender.count.borrow() > 0)).await;
    for _ in 0..30 {
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert!(
            !senders.iter().any(SlowSender::has_overdue_receipt),
            "a sender got no receipt within {RECEIPT_TIMEOUT:?}"
        );
    }
}

//! Agents that acknowledge what they fetch.

use super::narrow_link::{FakeControlMember, free_port, host, peer, start_agent, wait_until};
use bytes::Bytes;
use egretseam_proto::ModelName;
use egretseam_rpc::{
    ChunkService, HeldReply, PartCall, PartReceipt, PartReply, PeerSecret, RpcOptions,
    VersionDigests, WeightsKey, serve_chunks,
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
/// Time that a part takes; more than over a usual link, so that fewer are fetched at a time.
const PART_TIME: Duration = Duration::from_millis(400);
/// Time for a receipt; less than the next part takes.
const RECEIPT_TIME: Duration = Duration::from_millis(250);

/// An agent that has all chunks, gives them slowly and notes which parts are acknowledged.
#[derive(Clone, Default)]
struct SlowGiver {
    given: Rc<RefCell<BTreeMap<u64, Instant>>>,
    count: Rc<RefCell<u64>>,
}

impl SlowGiver {
    fn note_given(&self) -> PartReceipt {
        let mut count = self.count.borrow_mut();
        *count += 1;
        self.given.borrow_mut().insert(*count, Instant::now());
        PartReceipt { is_near: true, number: *count }
    }

    /// Whether a part was given long ago of which nothing has been heard.
    fn waits(&self) -> bool {
        self.given.borrow().values().any(|given_at| given_at.elapsed() > RECEIPT_TIME)
    }
}

impl ChunkService for SlowGiver {
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
            self.given.borrow_mut().remove(&receipt.number);
        }
        tokio::time::sleep(PART_TIME).await;
        Some(PartReply {
            bytes: Bytes::from(vec![0; call.length as usize]),
            chunk_bytes: CHUNK_BYTES as u64,
            queued_millis: 0,
            receipt: self.note_given(),
        })
    }

    async fn received(self, _: Context, receipt: PartReceipt) {
        self.given.borrow_mut().remove(&receipt.number);
    }

    async fn echo(self, _: Context) {}
}

/// Guards against agents that all stand still: each waits for room with receipts that others wait for.
#[actix_rt::test]
async fn a_part_is_acknowledged_although_the_next_must_wait() {
    let secret = PeerSecret::derive("a token of the test");
    let port = free_port(host(31));
    let givers = [SlowGiver::default(), SlowGiver::default()];
    let hosts = [31, 32];
    let mut servers = Vec::new();
    for (giver, number) in givers.iter().zip(hosts) {
        let listener = TcpListener::bind((host(number), port)).expect("a free port");
        let server = serve_chunks(listener, secret, RpcOptions::default(), giver.clone());
        servers.push(server.expect("it is served"));
    }
    let peers = hosts.map(peer).to_vec();
    let origin = SocketAddr::new(host(39), 1);
    let (_, _control, seed) = FakeControlMember::start(origin, peers, host(33), secret);
    let planner =
        PlannerPolicy { max_seeders: 0, max_fetches_per_peer: 1, ..PlannerPolicy::default() };
    let (_, _fetcher) = start_agent(host(33), port, &seed, secret, planner).await;
    wait_until(|| givers.iter().all(|giver| *giver.count.borrow() > 0)).await;
    for _ in 0..30 {
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert!(!givers.iter().any(SlowGiver::waits), "a giver waits for a receipt");
    }
}

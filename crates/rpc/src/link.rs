//! Clients of one address: a connection is opened on demand and reopened after a failure.

use crate::{
    feed::{
        AgentCall, AgentReply, CachedChunkReply, ChunkServiceClient, EvacuationCall,
        EvacuationReply, EvidenceCall, EvidenceReply, FeedCall, FeedReply, FeedServiceClient,
        HeldReply, OriginChunkCall, PartCall, PartReceipt, PartReply, PeerChunkCall,
        VersionDigests, WeightsKey,
    },
    preface::PeerSecret,
    server::codec,
    wire::{
        ControlServiceClient, EntryServiceClient, JoinReply, MemberCall, MemberReply, MembersReply,
        ReportCall, ReportReply, SubmitReply, WatchCall, WatchReply, WatcherReport,
    },
};
use egretseam_catalog::{CatalogCommand, HistoryRecord};
use egretseam_proto::{ContentDigest, ModelName, ProfileName, ZoneName};
use egretseam_replica::{Envelope, MemberRecord};
use egretseam_serving::EntryRecord;
use std::{
    cell::RefCell,
    io,
    time::{Duration, Instant},
};
use tarpc::{
    client::{self, RpcError},
    context,
    serde_transport::Transport,
    tokio_serde::formats::Bincode,
};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

/// Why a call has no reply.
#[derive(Debug, Error)]
pub enum CallError {
    /// No connection could be opened, so the call was not sent.
    #[error("connect to {address}: {source}")]
    Connect {
        /// Address of the other end.
        address: String,
        /// Cause.
        source: io::Error,
    },
    /// The connection broke or the deadline passed; the call may have run.
    #[error("call to {address}: {source}")]
    Call {
        /// Address of the other end.
        address: String,
        /// Cause.
        source: RpcError,
    },
}

impl CallError {
    /// Whether the call may have run at the other end.
    pub fn may_have_run(&self) -> bool {
        matches!(self, Self::Call { .. })
    }
}

/// Limits of a client.
#[derive(Clone, Copy, Debug)]
pub struct LinkOptions {
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Timeout of a call, in addition to the time that it asks the other end to wait.
    pub call_timeout: Duration,
    /// Largest frame in bytes.
    pub max_frame_bytes: usize,
    /// Maximum number of calls in flight, and of calls queued, on the connection.
    pub max_calls: usize,
}

impl Default for LinkOptions {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            call_timeout: Duration::from_secs(2),
            max_frame_bytes: 16 * 1024 * 1024,
            max_calls: 1_024,
        }
    }
}

type PeerTransport<I, O> = Transport<TcpStream, I, O, Bincode<I, O>>;

async fn connect<I, O>(
    address: &str,
    secret: &PeerSecret,
    options: &LinkOptions,
) -> Result<PeerTransport<I, O>, CallError>
where
    I: for<'de> serde::Deserialize<'de>,
    O: serde::Serialize,
{
    let open = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        secret.send_preface(&mut stream).await?;
        Ok(stream)
    };
    let result = tokio::time::timeout(options.connect_timeout, open).await;
    let result = result.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
    let stream =
        result.map_err(|source| CallError::Connect { address: address.to_owned(), source })?;
    let framed = Framed::new(stream, codec(options.max_frame_bytes));
    Ok(tarpc::serde_transport::new(framed, Bincode::default()))
}

macro_rules! link {
    ($(#[$doc:meta])* $name:ident, $client:ident) => {
        $(#[$doc])*
        #[derive(Debug)]
        pub struct $name {
            address: String,
            secret: PeerSecret,
            options: LinkOptions,
            client: RefCell<Option<$client>>,
        }

        impl $name {
            /// A link to `host:port`; connects on the first call.
            pub fn new(address: &str, secret: PeerSecret, options: LinkOptions) -> Self {
                let address = address.to_owned();
                Self { address, secret, options, client: RefCell::new(None) }
            }

            /// Address of the other end.
            pub fn address(&self) -> &str {
                &self.address
            }

            async fn client(&self) -> Result<$client, CallError> {
                if let Some(client) = self.client.borrow().as_ref() {
                    return Ok(client.clone());
                }
                let transport = connect(&self.address, &self.secret, &self.options).await?;
                let mut config = client::Config::default();
                config.max_in_flight_requests = self.options.max_calls;
                config.pending_request_buffer = self.options.max_calls;
                let created = $client::new(config, transport);
                actix_rt::spawn(async move {
                    if let Err(error) = created.dispatch.await {
                        tracing::debug!(%error, "peer connection ended");
                    }
                });
                *self.client.borrow_mut() = Some(created.client.clone());
                Ok(created.client)
            }

            fn context(&self, wait: Duration) -> context::Context {
                let mut context = context::current();
                context.deadline = Instant::now() + self.options.call_timeout + wait;
                context
            }

            fn drop_on_error<T>(&self, result: Result<T, RpcError>) -> Result<T, CallError> {
                result.map_err(|source| {
                    // Any failure drops the connection, including a missed deadline: a peer that a
                    // network failure cut off silently shows nothing else, and only a new
                    // connection can reach it again.
                    self.client.borrow_mut().take();
                    CallError::Call { address: self.address.clone(), source }
                })
            }
        }
    };
}

link! {
    /// Calls to one control member.
    ControlLink, ControlServiceClient
}
link! {
    /// An agent's calls to one entry.
    EntryLink, EntryServiceClient
}

link! {
    /// Calls to one control member's feed.
    FeedLink, FeedServiceClient
}
link! {
    /// Calls to one agent's chunk service.
    ChunkLink, ChunkServiceClient
}

impl FeedLink {
    /// See [`crate::FeedService::feed`].
    ///
    /// # Errors
    /// See [`CallError`].
    pub async fn feed(&self, call: FeedCall) -> Result<FeedReply, CallError> {
        let client = self.client().await?;
        let wait = Duration::from_millis(call.wait_millis);
        let reply = client.feed(self.context(wait), call).await;
        self.drop_on_error(reply)
    }

    /// See [`crate::FeedService::agent`].
    ///
    /// # Errors
    /// See [`CallError`].
    pub async fn agent(&self, call: AgentCall) -> Result<AgentReply, CallError> {
        let client = self.client().await?;
        let wait = Duration::from_millis(call.wait_millis);
        let reply = client.agent(self.context(wait), call).await;
        self.drop_on_error(reply)
    }

    /// See [`crate::FeedService::note_content`].
    ///
    /// # Errors
    /// See [`CallError`].
    pub async fn note_content(
        &self,
        key: WeightsKey,
        digest: ContentDigest,
    ) -> Result<bool, CallError> {
        let client = self.client().await?;
        let reply = client.note_content(self.context(Duration::ZERO), key, digest).await;
        self.drop_on_error(reply)
    }

    /// See [`crate::FeedService::version_of`].
    ///
    /// # Errors
    /// See [`CallError`].
    pub async fn version_of(
        &self,
        model: ModelName,
        digest: ContentDigest,
    ) -> Result<Option<u64>, CallError> {
        let client = self.client().await?;
        let reply = client.version_of(self.context(Duration::ZERO), model, digest).await;
        self.drop_on_error(reply)
    }

    /// See [`crate::FeedService::ready_entries`].
    ///
    /// # Errors
    /// See [`CallError`].
    pub async fn ready_entries(&self, zone: ZoneName) -> Result<Vec<EntryRecord>, CallError> {
        let client = self.client().await?;
        let reply = client.ready_entries(self.context(Duration::ZERO), zone).await;
        self.drop_on_error(reply)
    }

    /// See [`crate::FeedService::evidence`].
    ///
    /// # Errors
    /// See [`CallError`].
    pub async fn evidence(&self, call: EvidenceCall) -> Result<EvidenceReply, CallError> {
        let client = self.client().await?;
        let wait = Duration::from_millis(call.wait_millis);
        let reply = client.evidence(self.context(wait), call).await;
        self.drop_on_error(reply)
    }

    /// See [`crate::FeedService::evacuations`].
    ///
    /// # Errors
    /// See [`CallError`].
    pub async fn evacuations(&self, call: EvacuationCall) -> Result<EvacuationReply, CallError> {
        let client = self.client().await?;
        let wait = Duration::from_millis(call.wait_millis);
        let reply = client.evacuations(self.context(wait), call).await;
        self.drop_on_error(reply)
    }
}

impl ChunkLink {
    /// See [`crate::ChunkService::held`].
    ///
    /// # Errors
    /// See [`CallError`].
    pub async fn held(
        &self,
        key: WeightsKey,
        known: u32,
        wait: Duration,
    ) -> Result<Option<HeldReply>, CallError> {
        let client = self.client().await?;
        let wait_millis = wait.as_millis() as u64;
        let reply = client.held(self.context(wait), key, known, wait_millis).await;
        self.drop_on_error(reply)
    }

    /// See [`crate::ChunkService::digests`].
    ///
    /// # Errors
    /// See [`CallError`].
    pub async fn digests(
        &self,
        key: WeightsKey,
        settled: bool,
        wait: Duration,
    ) -> Result<Option<Vec<[u8; 32]>>, CallError> {
        let client = self.client().await?;
        let wait_millis = wait.as_millis() as u64;
        let reply = client.digests(self.context(wait), key, settled, wait_millis).await;
        self.drop_on_error(reply)
    }

    /// See [`crate::ChunkService::versions_like`].
    ///
    /// # Errors
    /// See [`CallError`].
    pub async fn versions_like(
        &self,
        model: ModelName,
        digests: Vec<[u8; 32]>,
    ) -> Result<Vec<VersionDigests>, CallError> {
        let client = self.client().await?;
        let reply = client.versions_like(self.context(Duration::ZERO), model, digests).await;
        self.drop_on_error(reply)
    }

    /// See [`crate::ChunkService::echo`].
    ///
    /// # Errors
    /// See [`CallError`].
    pub async fn echo(&self) -> Result<(), CallError> {
        let client = self.client().await?;
        let reply = client.echo(self.context(Duration::ZERO)).await;
        self.drop_on_error(reply)
    }

    /// See [`crate::ChunkService::cache_origin_chunk`].
    ///
    /// # Errors
    /// See [`CallError`].
    pub async fn cache_origin_chunk(
        &self,
        call: OriginChunkCall,
    ) -> Result<CachedChunkReply, CallError> {
        let client = self.client().await?;
        let wait = Duration::from_millis(call.wait_millis);
        let reply = client.cache_origin_chunk(self.context(wait), call).await;
        self.drop_on_error(reply)
    }

    /// See [`crate::ChunkService::cache_peer_chunk`].
    ///
    /// # Errors
    /// See [`CallError`].
    pub async fn cache_peer_chunk(
        &self,
        call: PeerChunkCall,
    ) -> Result<CachedChunkReply, CallError> {
        let client = self.client().await?;
        let wait = Duration::from_millis(call.wait_millis);
        let reply = client.cache_peer_chunk(self.context(wait), call).await;
        self.drop_on_error(reply)
    }

    /// See [`crate::ChunkService::part`].
    ///
    /// # Errors
    /// See [`CallError`].
    pub async fn part(&self, call: PartCall) -> Result<Option<PartReply>, CallError> {
        let client = self.client().await?;
        let reply = client.part(self.context(Duration::ZERO), call).await;
        self.drop_on_error(reply)
    }

    /// See [`crate::ChunkService::received`].
    ///
    /// # Errors
    /// See [`CallError`].
    pub async fn received(&self, receipt: PartReceipt) -> Result<(), CallError> {
        let client = self.client().await?;
        let reply = client.received(self.context(Duration::ZERO), receipt).await;
        self.drop_on_error(reply)
    }
}

impl ControlLink {
    /// See [`crate::ControlService::deliver`].
    ///
    /// # Errors
    /// See [`CallError`].
    pub async fn deliver(&self, reply_to: &str, batch: Vec<Envelope>) -> Result<(), CallError> {
        let client = self.client().await?;
        let reply = client.deliver(self.context(Duration::ZERO), reply_to.to_owned(), batch).await;
        self.drop_on_error(reply)
    }

    /// See [`crate::ControlService::submit`].
    ///
    /// # Errors
    /// See [`CallError`].
    pub async fn submit(&self, command: CatalogCommand) -> Result<SubmitReply, CallError> {
        let client = self.client().await?;
        let reply = client.submit(self.context(Duration::ZERO), command).await;
        self.drop_on_error(reply)
    }

    /// See [`crate::ControlService::watch`].
    ///
    /// # Errors
    /// See [`CallError`].
    pub async fn watch(&self, call: WatchCall) -> Result<WatchReply, CallError> {
        let client = self.client().await?;
        let wait = Duration::from_millis(call.wait_millis);
        let reply = client.watch(self.context(wait), call).await;
        self.drop_on_error(reply)
    }

    /// See [`crate::ControlService::note_watchers`].
    ///
    /// # Errors
    /// See [`CallError`].
    pub async fn note_watchers(&self, reports: Vec<WatcherReport>) -> Result<(), CallError> {
        let client = self.client().await?;
        let reply = client.note_watchers(self.context(Duration::ZERO), reports).await;
        self.drop_on_error(reply)
    }

    /// See [`crate::ControlService::change_members`].
    ///
    /// # Errors
    /// See [`CallError`].
    pub async fn change_members(&self, call: MemberCall) -> Result<MemberReply, CallError> {
        let client = self.client().await?;
        let reply = client.change_members(self.context(Duration::ZERO), call).await;
        self.drop_on_error(reply)
    }

    /// See [`crate::ControlService::join`].
    ///
    /// # Errors
    /// See [`CallError`].
    pub async fn join(&self, record: MemberRecord) -> Result<JoinReply, CallError> {
        let client = self.client().await?;
        let reply = client.join(self.context(Duration::ZERO), record).await;
        self.drop_on_error(reply)
    }

    /// See [`crate::ControlService::members`].
    ///
    /// # Errors
    /// See [`CallError`].
    pub async fn members(&self) -> Result<MembersReply, CallError> {
        let client = self.client().await?;
        let reply = client.members(self.context(Duration::ZERO)).await;
        self.drop_on_error(reply)
    }

    /// See [`crate::ControlService::history`].
    ///
    /// # Errors
    /// See [`CallError`].
    pub async fn history(&self, profile: ProfileName) -> Result<Vec<HistoryRecord>, CallError> {
        let client = self.client().await?;
        let reply = client.history(self.context(Duration::ZERO), profile).await;
        self.drop_on_error(reply)
    }
}

impl EntryLink {
    /// See [`crate::EntryService::report`].
    ///
    /// # Errors
    /// See [`CallError`].
    pub async fn report(&self, call: ReportCall) -> Result<ReportReply, CallError> {
        let client = self.client().await?;
        let wait = Duration::from_millis(call.wait_millis);
        let reply = client.report(self.context(wait), call).await;
        self.drop_on_error(reply)
    }

    /// See [`crate::EntryService::submit`].
    ///
    /// # Errors
    /// See [`CallError`].
    pub async fn submit(&self, command: CatalogCommand) -> Result<SubmitReply, CallError> {
        let client = self.client().await?;
        let reply = client.submit(self.context(Duration::ZERO), command).await;
        self.drop_on_error(reply)
    }
}

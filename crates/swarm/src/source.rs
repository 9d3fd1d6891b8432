//! Where chunks come from, behind trait objects: origin, store and peers, all over HTTP.

use crate::manifest::{RawManifest, WeightManifest};
use awc::{
    Client, ClientResponse,
    error::PayloadError,
    http::{StatusCode, header},
};
use bytes::Bytes;
use egretseam_proto::{ManifestId, ModelName, VersionName};
use futures::{Stream, StreamExt, future::LocalBoxFuture, stream::LocalBoxStream};
use std::{ops::Range, time::Duration};
use thiserror::Error;

/// Largest manifest read, in bytes: 131,072 digests and some.
const MAX_MANIFEST_BYTES: usize = 16 * 1024 * 1024;
/// Header with the sender's [`crate::ChunkSet`] in text form.
pub(crate) const HAVE_HEADER: &str = "egretseam-have";
/// How long a source may take to begin its answer.
const HEAD_LIMIT: Duration = Duration::from_secs(5);
/// Pause where a busy source names none.
const DEFAULT_BUSY_PAUSE: Duration = Duration::from_millis(20);
/// Longest pause that a source may ask for.
const LONGEST_BUSY_PAUSE: Duration = Duration::from_secs(60);

/// Why a source gave nothing.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum SourceError {
    /// At its limit.
    #[error("busy for {0:?}")]
    Busy(Duration),
    /// Does not have it.
    #[error("not there")]
    Absent,
    /// No connection, no answer, or a broken one.
    #[error("unreachable: {0}")]
    Unreachable(String),
    /// An answer that makes no sense.
    #[error("unusable answer: {0}")]
    Unusable(String),
}

/// A chunk wanted.
#[derive(Clone, Debug)]
pub struct ChunkRequest {
    /// Model or adapter.
    pub model: ModelName,
    /// Version.
    pub version: VersionName,
    /// Identity.
    pub manifest: ManifestId,
    /// Chunk number.
    pub chunk: u32,
    /// Where the chunk lies in the whole.
    pub range: Range<u64>,
}

/// A chunk's bytes as they arrive, with what the sender says it has.
pub struct ChunkStream {
    /// The bytes.
    pub bytes: LocalBoxStream<'static, Result<Bytes, SourceError>>,
    /// The sender's chunk set in text form, if it is a peer.
    pub have: Option<String>,
}

/// An upstream that holds published versions.
pub trait UpstreamSource {
    /// Reads the manifest of a version.
    fn manifest(
        &self,
        model: &ModelName,
        version: &VersionName,
    ) -> LocalBoxFuture<'static, Result<WeightManifest, SourceError>>;

    /// Reads one chunk.
    fn chunk(
        &self,
        request: &ChunkRequest,
    ) -> LocalBoxFuture<'static, Result<ChunkStream, SourceError>>;
}

/// A peer that holds some chunks.
pub trait PeerSource {
    /// Reads a manifest by its identity.
    fn manifest(
        &self,
        id: ManifestId,
    ) -> LocalBoxFuture<'static, Result<WeightManifest, SourceError>>;

    /// Reads one chunk.
    fn chunk(
        &self,
        request: &ChunkRequest,
    ) -> LocalBoxFuture<'static, Result<ChunkStream, SourceError>>;

    /// Waits until the peer has more than `known` chunks, or `wait` has passed; returns its chunk
    /// set in text form.
    fn have(
        &self,
        id: ManifestId,
        known: u32,
        wait: Duration,
    ) -> LocalBoxFuture<'static, Result<String, SourceError>>;
}

/// Origin or store: `GET /weights/<model>/<version>/manifest` and `.../data` with `Range`.
#[derive(Clone)]
pub struct HttpUpstream {
    client: Client,
    address: String,
}

impl HttpUpstream {
    /// An upstream at `host:port`.
    pub fn new(client: Client, address: &str) -> Self {
        Self { client, address: address.to_owned() }
    }
}

impl UpstreamSource for HttpUpstream {
    fn manifest(
        &self,
        model: &ModelName,
        version: &VersionName,
    ) -> LocalBoxFuture<'static, Result<WeightManifest, SourceError>> {
        let url = format!("http://{}/weights/{model}/{version}/manifest", self.address);
        let request = self.client.get(url);
        Box::pin(read_manifest(request))
    }

    fn chunk(
        &self,
        request: &ChunkRequest,
    ) -> LocalBoxFuture<'static, Result<ChunkStream, SourceError>> {
        let (model, version) = (&request.model, &request.version);
        let url = format!("http://{}/weights/{model}/{version}/data", self.address);
        let range = format!("bytes={}-{}", request.range.start, request.range.end - 1);
        let call = self.client.get(url).insert_header((header::RANGE, range));
        Box::pin(async move {
            let answer = send(call).await?;
            if answer.status() != StatusCode::PARTIAL_CONTENT {
                return Err(SourceError::Unusable("the range was not honoured".to_owned()));
            }
            Ok(stream_of(answer))
        })
    }
}

/// A peer's chunk listener.
#[derive(Clone)]
pub struct HttpPeer {
    client: Client,
    address: String,
    token: String,
}

impl HttpPeer {
    /// A peer at `host:port`; `token` proves that the caller is one of ours.
    pub fn new(client: Client, address: &str, token: &str) -> Self {
        Self { client, address: address.to_owned(), token: token.to_owned() }
    }

    fn get(&self, path: &str) -> awc::ClientRequest {
        self.client.get(format!("http://{}{path}", self.address)).bearer_auth(&self.token)
    }
}

impl PeerSource for HttpPeer {
    fn manifest(
        &self,
        id: ManifestId,
    ) -> LocalBoxFuture<'static, Result<WeightManifest, SourceError>> {
        Box::pin(read_manifest(self.get(&format!("/swarm/{id}/manifest"))))
    }

    fn chunk(
        &self,
        request: &ChunkRequest,
    ) -> LocalBoxFuture<'static, Result<ChunkStream, SourceError>> {
        let call = self.get(&format!("/swarm/{}/chunks/{}", request.manifest, request.chunk));
        Box::pin(async move { Ok(stream_of(send(call).await?)) })
    }

    fn have(
        &self,
        id: ManifestId,
        known: u32,
        wait: Duration,
    ) -> LocalBoxFuture<'static, Result<String, SourceError>> {
        let millis = wait.as_millis();
        let call = self.get(&format!("/swarm/{id}/have?known={known}&wait_millis={millis}"));
        Box::pin(async move {
            let mut answer = send(call).await?;
            let body = answer.body().limit(MAX_MANIFEST_BYTES).await.map_err(broken)?;
            String::from_utf8(body.to_vec()).map_err(|e| SourceError::Unusable(e.to_string()))
        })
    }
}

async fn send(call: awc::ClientRequest) -> Result<RawAnswer, SourceError> {
    let sent = tokio::time::timeout(HEAD_LIMIT, call.no_decompress().send()).await;
    let sent = sent.map_err(|_| SourceError::Unreachable("no answer in time".to_owned()))?;
    let answer = sent.map_err(|error| SourceError::Unreachable(error.to_string()))?;
    match answer.status() {
        StatusCode::OK | StatusCode::PARTIAL_CONTENT => Ok(answer),
        StatusCode::NOT_FOUND | StatusCode::GONE => Err(SourceError::Absent),
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            Err(SourceError::Busy(retry_after(&answer)))
        }
        status => Err(SourceError::Unusable(format!("status {status}"))),
    }
}

/// An answer whose body is still to be read.
type RawAnswer = ClientResponse;

fn retry_after(answer: &RawAnswer) -> Duration {
    let value = answer.headers().get(header::RETRY_AFTER);
    let seconds = value.and_then(|value| value.to_str().ok()?.parse::<f64>().ok());
    match seconds {
        Some(seconds) if seconds.is_finite() && seconds >= 0.0 => {
            Duration::from_secs_f64(seconds.min(LONGEST_BUSY_PAUSE.as_secs_f64()))
        }
        _ => DEFAULT_BUSY_PAUSE,
    }
}

fn stream_of(answer: RawAnswer) -> ChunkStream {
    let have = answer.headers().get(HAVE_HEADER);
    let have = have.and_then(|value| value.to_str().ok()).map(str::to_owned);
    ChunkStream { bytes: bytes_of(answer).boxed_local(), have }
}

fn bytes_of(answer: RawAnswer) -> impl Stream<Item = Result<Bytes, SourceError>> {
    answer.map(|piece| piece.map_err(broken))
}

fn broken(error: PayloadError) -> SourceError {
    SourceError::Unreachable(error.to_string())
}

async fn read_manifest(call: awc::ClientRequest) -> Result<WeightManifest, SourceError> {
    let mut answer = send(call).await?;
    let body = answer.body().limit(MAX_MANIFEST_BYTES).await.map_err(broken)?;
    let raw: RawManifest =
        serde_json::from_slice(&body).map_err(|e| SourceError::Unusable(e.to_string()))?;
    WeightManifest::try_from(raw).map_err(|e| SourceError::Unusable(e.to_string()))
}

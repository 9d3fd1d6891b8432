//! Sources of manifests and chunks: traits for upstreams and peers, and their HTTP clients.

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

/// Upper limit of a manifest or chunk set in bytes; fits a manifest of 131,072 digests.
const MAX_MANIFEST_BYTES: usize = 16 * 1024 * 1024;
/// Header with the sender's [`crate::ChunkSet`] in text form.
pub(crate) const HAVE_HEADER: &str = "egretseam-have";
/// Time within which a source must send the head of its response.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay before a retry when a busy source sends no valid `Retry-After`.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(20);
/// Upper limit of the `Retry-After` that a source may set.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Why a request to a source failed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum SourceError {
    /// The source is at its limit and may be asked again after this time.
    #[error("source is busy, retry after {0:?}")]
    Busy(Duration),
    /// The source does not have what was requested.
    #[error("source does not have the manifest or chunk")]
    Absent,
    /// No connection, no response in time, or a connection that failed before its end.
    #[error("source is unreachable: {0}")]
    Unreachable(String),
    /// The response has an unexpected status or invalid contents.
    #[error("invalid response from source: {0}")]
    InvalidResponse(String),
}

/// The chunk that a source is asked for.
#[derive(Clone, Debug)]
pub struct ChunkRequest {
    /// Model or adapter.
    pub model: ModelName,
    /// Version.
    pub version: VersionName,
    /// Id of the manifest.
    pub manifest: ManifestId,
    /// Chunk number.
    pub chunk: u32,
    /// Byte range of the chunk within the weights.
    pub range: Range<u64>,
}

/// A chunk's bytes as they arrive, and the chunks that the sender reports to have.
pub struct ChunkStream {
    /// The bytes.
    pub bytes: LocalBoxStream<'static, Result<Bytes, SourceError>>,
    /// The sender's chunk set in text form, if it is a peer.
    pub have: Option<String>,
}

/// An origin or weight store, which holds published versions.
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
    /// Reads the manifest with this id.
    fn manifest(
        &self,
        id: ManifestId,
    ) -> LocalBoxFuture<'static, Result<WeightManifest, SourceError>>;

    /// Reads one chunk.
    fn chunk(
        &self,
        request: &ChunkRequest,
    ) -> LocalBoxFuture<'static, Result<ChunkStream, SourceError>>;

    /// Waits until the peer has more than `known` chunks or `wait` has passed, and returns the
    /// peer's chunk set in text form.
    fn have(
        &self,
        id: ManifestId,
        known: u32,
        wait: Duration,
    ) -> LocalBoxFuture<'static, Result<String, SourceError>>;
}

/// HTTP client of an origin or weight store: `GET /weights/<model>/<version>/manifest` and
/// `.../data` with `Range`.
#[derive(Clone)]
pub struct HttpUpstream {
    client: Client,
    address: String,
}

impl HttpUpstream {
    /// A client of the upstream at `host:port`.
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
        let http_request = self.client.get(url).insert_header((header::RANGE, range));
        Box::pin(async move {
            let response = send(http_request).await?;
            if response.status() != StatusCode::PARTIAL_CONTENT {
                return Err(SourceError::InvalidResponse("the range was not honoured".to_owned()));
            }
            Ok(chunk_stream(response))
        })
    }
}

/// HTTP client of a peer's chunk listener.
#[derive(Clone)]
pub struct HttpPeer {
    client: Client,
    address: String,
    token: String,
}

impl HttpPeer {
    /// A client of the peer at `host:port`; requests carry the shared peer token `token`.
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
        let http_request =
            self.get(&format!("/swarm/{}/chunks/{}", request.manifest, request.chunk));
        Box::pin(async move { Ok(chunk_stream(send(http_request).await?)) })
    }

    fn have(
        &self,
        id: ManifestId,
        known: u32,
        wait: Duration,
    ) -> LocalBoxFuture<'static, Result<String, SourceError>> {
        let millis = wait.as_millis();
        let http_request =
            self.get(&format!("/swarm/{id}/have?known={known}&wait_millis={millis}"));
        Box::pin(async move {
            let mut response = send(http_request).await?;
            let body = response.body().limit(MAX_MANIFEST_BYTES).await.map_err(body_error)?;
            String::from_utf8(body.to_vec())
                .map_err(|e| SourceError::InvalidResponse(e.to_string()))
        })
    }
}

async fn send(http_request: awc::ClientRequest) -> Result<RawResponse, SourceError> {
    let sent = tokio::time::timeout(HEAD_TIMEOUT, http_request.no_decompress().send()).await;
    let sent = sent.map_err(|_| SourceError::Unreachable("no answer in time".to_owned()))?;
    let response = sent.map_err(|error| SourceError::Unreachable(error.to_string()))?;
    match response.status() {
        StatusCode::OK | StatusCode::PARTIAL_CONTENT => Ok(response),
        StatusCode::NOT_FOUND | StatusCode::GONE => Err(SourceError::Absent),
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            Err(SourceError::Busy(retry_after(&response)))
        }
        status => Err(SourceError::InvalidResponse(format!("status {status}"))),
    }
}

/// A response whose body has not been read.
type RawResponse = ClientResponse;

fn retry_after(response: &RawResponse) -> Duration {
    let value = response.headers().get(header::RETRY_AFTER);
    let seconds = value.and_then(|value| value.to_str().ok()?.parse::<f64>().ok());
    match seconds {
        Some(seconds) if seconds.is_finite() && seconds >= 0.0 => {
            Duration::from_secs_f64(seconds.min(MAX_RETRY_AFTER.as_secs_f64()))
        }
        _ => DEFAULT_RETRY_AFTER,
    }
}

fn chunk_stream(response: RawResponse) -> ChunkStream {
    let have = response.headers().get(HAVE_HEADER);
    let have = have.and_then(|value| value.to_str().ok()).map(str::to_owned);
    ChunkStream { bytes: byte_stream(response).boxed_local(), have }
}

fn byte_stream(response: RawResponse) -> impl Stream<Item = Result<Bytes, SourceError>> {
    response.map(|piece| piece.map_err(body_error))
}

fn body_error(error: PayloadError) -> SourceError {
    SourceError::Unreachable(error.to_string())
}

async fn read_manifest(http_request: awc::ClientRequest) -> Result<WeightManifest, SourceError> {
    let mut response = send(http_request).await?;
    let body = response.body().limit(MAX_MANIFEST_BYTES).await.map_err(body_error)?;
    let raw: RawManifest =
        serde_json::from_slice(&body).map_err(|e| SourceError::InvalidResponse(e.to_string()))?;
    WeightManifest::try_from(raw).map_err(|e| SourceError::InvalidResponse(e.to_string()))
}

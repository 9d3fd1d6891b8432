//! Client of the engine's HTTP interface for load orders and state, see `docs/interfaces.md`.

use awc::{Client, http::StatusCode};
use egretseam_proto::{FencingNumber, ManifestId, ModelName, VersionName};
use futures::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};
use std::{path::PathBuf, time::Duration};
use thiserror::Error;

/// How long an engine may take to respond to an order or a state request. A load takes longer; its
/// end is found by polling the state.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Largest response body that is read from an engine.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// What an engine is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EnginePhase {
    /// Has no weights loaded.
    Empty,
    /// Loads the weights of an order.
    Loading,
    /// Serves requests.
    Ready,
}

/// A load that failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadFailure {
    /// Identity of the weights that were to be loaded.
    pub identity: ManifestId,
    /// Why it failed.
    pub message: String,
}

/// The state that an engine reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Phase.
    pub phase: EnginePhase,
    /// Identity of the weights that it serves.
    #[serde(default)]
    pub identity: Option<ManifestId>,
    /// Identity of the weights that it is loading.
    #[serde(default)]
    pub loading: Option<ManifestId>,
    /// Last load that failed, until the next order.
    #[serde(default)]
    pub failure: Option<LoadFailure>,
    /// Requests that are running.
    #[serde(default)]
    pub running: u32,
    /// Requests that wait in the engine's queue.
    #[serde(default)]
    pub waiting: u32,
}

/// An adapter to load together with the base weights.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterOrder {
    /// Name.
    pub model: ModelName,
    /// Version.
    pub version: VersionName,
    /// File with the complete adapter.
    pub path: PathBuf,
}

/// An order to load weights.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Fencing number, higher than that of every earlier order to this target.
    pub fence: FencingNumber,
    /// Identity that the engine reports, and puts on responses, once it has loaded these weights.
    pub identity: ManifestId,
    /// Model.
    pub model: ModelName,
    /// Version.
    pub version: VersionName,
    /// File with the complete weights.
    pub path: PathBuf,
    /// Adapters.
    #[serde(default)]
    pub adapters: Vec<AdapterOrder>,
}

/// Why an order or a state request to an engine failed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum EngineError {
    /// The engine has seen a higher fencing number.
    #[error("the engine rejected the order: its fencing number is outdated")]
    Fenced,
    /// The engine rejected the order for another reason; the order has no effect.
    #[error("the engine rejected the order: {0}")]
    Rejected(String),
    /// No usable response; an order may have been accepted.
    #[error("no usable response from the engine: {0}")]
    Unknown(String),
}

/// Sends load orders to an engine and reads its state.
pub trait EngineControl {
    /// Orders the engine to load weights.
    fn order(&self, order: &EngineOrder) -> LocalBoxFuture<'static, Result<(), EngineError>>;

    /// Reads the engine's current state.
    fn state(&self) -> LocalBoxFuture<'static, Result<EngineState, EngineError>>;
}

/// An engine reached over HTTP.
#[derive(Clone)]
pub struct HttpEngine {
    client: Client,
    address: String,
}

impl HttpEngine {
    /// An engine at `host:port`.
    pub fn new(client: Client, address: &str) -> Self {
        Self { client, address: address.to_owned() }
    }
}

impl EngineControl for HttpEngine {
    fn order(&self, order: &EngineOrder) -> LocalBoxFuture<'static, Result<(), EngineError>> {
        let url = format!("http://{}/engine/orders", self.address);
        let request = self.client.post(url).timeout(RESPONSE_TIMEOUT).send_json(order);
        Box::pin(async move {
            let mut response = request.await.map_err(|e| EngineError::Unknown(e.to_string()))?;
            match response.status() {
                StatusCode::OK | StatusCode::ACCEPTED => Ok(()),
                StatusCode::CONFLICT => Err(EngineError::Fenced),
                status => {
                    let body = response.body().limit(MAX_RESPONSE_BYTES).await.unwrap_or_default();
                    let text = String::from_utf8_lossy(&body);
                    Err(EngineError::Rejected(format!("{status}: {text}")))
                }
            }
        })
    }

    fn state(&self) -> LocalBoxFuture<'static, Result<EngineState, EngineError>> {
        let url = format!("http://{}/engine/state", self.address);
        let request = self.client.get(url).timeout(RESPONSE_TIMEOUT).send();
        Box::pin(async move {
            let unknown = |detail: String| EngineError::Unknown(detail);
            let mut response = request.await.map_err(|e| unknown(e.to_string()))?;
            if !response.status().is_success() {
                return Err(unknown(format!("status {}", response.status())));
            }
            response.json().limit(MAX_RESPONSE_BYTES).await.map_err(|e| unknown(e.to_string()))
        })
    }
}

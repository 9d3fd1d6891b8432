//! The engine's interface for orders and state, see `docs/interfaces.md`.

use awc::{Client, http::StatusCode};
use egretseam_proto::{FencingNumber, ManifestId, ModelName, VersionName};
use futures::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};
use std::{path::PathBuf, time::Duration};
use thiserror::Error;

/// How long an engine may take to answer an order or a question; a load itself takes longer and is
/// followed by asking.
const ANSWER_LIMIT: Duration = Duration::from_secs(3);
/// Largest answer of an engine to an order or question.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// What an engine is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EnginePhase {
    /// Holds nothing.
    Empty,
    /// Loads what it was ordered to.
    Loading,
    /// Answers requests.
    Ready,
}

/// A load that failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadFailure {
    /// What was to be loaded.
    pub identity: ManifestId,
    /// Why it failed.
    pub message: String,
}

/// What an engine says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Phase.
    pub phase: EnginePhase,
    /// Identity that it answers from.
    #[serde(default)]
    pub identity: Option<ManifestId>,
    /// Identity that it is loading.
    #[serde(default)]
    pub loading: Option<ManifestId>,
    /// Last load that failed, until another is ordered.
    #[serde(default)]
    pub failure: Option<LoadFailure>,
    /// Requests being computed.
    #[serde(default)]
    pub running: u32,
    /// Requests waiting.
    #[serde(default)]
    pub waiting: u32,
}

/// An adapter to load beside the weights.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterOrder {
    /// Name.
    pub model: ModelName,
    /// Version.
    pub version: VersionName,
    /// File with the whole adapter.
    pub path: PathBuf,
}

/// An order to load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Higher than that of every earlier order to this target.
    pub fence: FencingNumber,
    /// What the engine reports, and puts on answers, once it has loaded this.
    pub identity: ManifestId,
    /// Model.
    pub model: ModelName,
    /// Version.
    pub version: VersionName,
    /// File with the whole weights.
    pub path: PathBuf,
    /// Adapters.
    #[serde(default)]
    pub adapters: Vec<AdapterOrder>,
}

/// Why an engine did not take an order or answer a question.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum EngineError {
    /// The engine has seen a higher fencing number.
    #[error("the engine refused the fencing number as outdated")]
    Fenced,
    /// The engine refused for another reason; the order has no effect.
    #[error("the engine refused: {0}")]
    Refused(String),
    /// No answer; the order may have been taken.
    #[error("no usable answer from the engine: {0}")]
    Unknown(String),
}

/// Orders and questions to an engine.
pub trait EngineControl {
    /// Orders a load.
    fn order(&self, order: &EngineOrder) -> LocalBoxFuture<'static, Result<(), EngineError>>;

    /// Asks for the present state.
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
        let call = self.client.post(url).timeout(ANSWER_LIMIT).send_json(order);
        Box::pin(async move {
            let mut answer = call.await.map_err(|e| EngineError::Unknown(e.to_string()))?;
            match answer.status() {
                StatusCode::OK | StatusCode::ACCEPTED => Ok(()),
                StatusCode::CONFLICT => Err(EngineError::Fenced),
                status => {
                    let body = answer.body().limit(MAX_ANSWER_BYTES).await.unwrap_or_default();
                    let text = String::from_utf8_lossy(&body);
                    Err(EngineError::Refused(format!("{status}: {text}")))
                }
            }
        })
    }

    fn state(&self) -> LocalBoxFuture<'static, Result<EngineState, EngineError>> {
        let url = format!("http://{}/engine/state", self.address);
        let call = self.client.get(url).timeout(ANSWER_LIMIT).send();
        Box::pin(async move {
            let unknown = |detail: String| EngineError::Unknown(detail);
            let mut answer = call.await.map_err(|e| unknown(e.to_string()))?;
            if !answer.status().is_success() {
                return Err(unknown(format!("status {}", answer.status())));
            }
            answer.json().limit(MAX_ANSWER_BYTES).await.map_err(|e| unknown(e.to_string()))
        })
    }
}

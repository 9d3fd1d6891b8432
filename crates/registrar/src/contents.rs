//! Keeps what versions of weights are made of, by the word of the agents that have them whole.

use crate::{
    front::{COMMIT_LIMIT, try_submit},
    shared::RegistrarShared,
};
use egretseam_catalog::CatalogCommand;
use egretseam_proto::ContentDigest;
use egretseam_rpc::WeightsKey;

/// Notes durably what a version is made of; returns whether it is noted.
///
/// Load pattern: all agents of a service have a version whole within a second, and each says so. The
/// first one's word goes through the log, and the others wait for that.
pub(crate) async fn note(shared: &RegistrarShared, key: WeightsKey, digest: ContentDigest) -> bool {
    let _turn = shared.contents_turn.lock().await;
    let WeightsKey { model, version } = key;
    if shared.control.state().version_of(&model, &digest) == Some(version) {
        return true;
    }
    tracing::info!(%model, version, %digest, "what a version is made of");
    let command = CatalogCommand::NoteContent { model, version, digest };
    match try_submit(shared, command, COMMIT_LIMIT).await {
        Ok(_) => true,
        Err(error) => {
            tracing::info!(version, %error, "what a version is made of was not noted");
            false
        }
    }
}

//! Records the content digests of versions, as reported by agents that have a version complete.

use crate::{
    front::{COMMIT_TIMEOUT, try_submit},
    shared::RegistrarShared,
};
use egretseam_catalog::CatalogCommand;
use egretseam_proto::ContentDigest;
use egretseam_rpc::WeightsKey;

/// Commits the content digest of a version to the replicated log. Returns whether it is recorded.
///
/// Load pattern: all agents of a service complete a version within a second, and each reports its
/// digest. The first report is committed; the others wait for the lock and then find the digest
/// recorded.
pub(crate) async fn record(
    shared: &RegistrarShared,
    key: WeightsKey,
    digest: ContentDigest,
) -> bool {
    let _guard = shared.content_lock.lock().await;
    let WeightsKey { model, version } = key;
    if shared.control.state().version_of(&model, &digest) == Some(version) {
        return true;
    }
    tracing::info!(%model, version, %digest, "recording the content digest of a version");
    let command = CatalogCommand::NoteContent { model, version, digest };
    match try_submit(shared, command, COMMIT_TIMEOUT).await {
        Ok(_) => true,
        Err(error) => {
            tracing::info!(version, %error, "failed to record the content digest of a version");
            false
        }
    }
}

//! Content digests of versions, as control records them.
//!
//! An engine that holds nothing cannot be fenced against orders of the previous agent process. An
//! agent that restarts beside such an engine must therefore identify the version that is staged,
//! even if all agents were killed and newer versions have been published since.

use crate::{digests::WeightDigests, shared::StagerShared};
use egretseam_proto::{ContentDigest, ModelName};
use egretseam_rpc::{FeedLink, LinkOptions};
use std::time::Duration;

/// Timeout for connecting to the control member that this agent follows.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Timeout for the member's answer, which follows a commit among members in several regions. While
/// control has no quorum, each order is delayed by this much.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// Has control record the content digest of a version before the engine is ordered to load it. The
/// order is sent even if control cannot be reached, since otherwise no engine would get new weights
/// during an outage.
pub(crate) async fn record(shared: &StagerShared, digests: &WeightDigests) {
    let key = digests.key();
    if shared.recorded_content.borrow().as_ref() == Some(&key) {
        return;
    }
    let Some(member) = member_link(shared) else { return };
    match member.note_content(key.clone(), digests.content_digest()).await {
        Ok(true) => *shared.recorded_content.borrow_mut() = Some(key),
        Ok(false) => {
            tracing::info!(
                version = key.version,
                "control did not record the content digest of a version"
            );
        }
        Err(error) => {
            tracing::info!(
                version = key.version, %error,
                "failed to send the content digest of a version to control"
            );
        }
    }
}

/// Asks control for the version with this content digest.
pub(crate) async fn find_version(
    shared: &StagerShared,
    model: &ModelName,
    content: ContentDigest,
) -> Option<u64> {
    let answer = member_link(shared)?.version_of(model.clone(), content).await;
    answer.unwrap_or_else(|error| {
        tracing::debug!(%error, "failed to ask control which version is staged");
        None
    })
}

/// A link to the control member that this agent follows.
pub(crate) fn member_link(shared: &StagerShared) -> Option<FeedLink> {
    let member = shared.control_member.get()?;
    let options = LinkOptions {
        connect_timeout: CONNECT_TIMEOUT,
        call_timeout: ANSWER_TIMEOUT,
        ..LinkOptions::default()
    };
    Some(FeedLink::new(&member.to_string(), shared.options.secret, options))
}

//! Having control remember what versions are made of.
//!
//! Answers engines that hold nothing, whose former orders no fencing token can shut out: the agent
//! that starts again beside one must know which version lies staged, also when all agents were killed
//! and newer versions were named since.

use crate::{digests::WeightDigests, shared::StagerShared};
use egretseam_proto::{ContentDigest, ModelName};
use egretseam_rpc::{FeedLink, LinkOptions};
use std::time::Duration;

/// Time to reach the member that is followed.
const CONNECT_LIMIT: Duration = Duration::from_millis(100);
/// Time for its answer, behind a commit among members in several regions. While control has no quorum,
/// each order is this much late.
const ANSWER_LIMIT: Duration = Duration::from_millis(250);

/// Sees to it that control knows what a version is made of that the engine is about to be ordered to
/// take. An order is given all the same when control cannot be reached, for then nobody would get
/// new weights during an outage.
pub(crate) async fn note(shared: &StagerShared, digests: &WeightDigests) {
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
                "control could not note what a version is made of"
            );
        }
        Err(error) => {
            tracing::info!(version = key.version, %error, "control was not told what a version is made of");
        }
    }
}

/// The version that is made of this, by control's word.
pub(crate) async fn version_of(
    shared: &StagerShared,
    model: &ModelName,
    content: ContentDigest,
) -> Option<u64> {
    let answer = member_link(shared)?.version_of(model.clone(), content).await;
    answer.unwrap_or_else(|error| {
        tracing::debug!(%error, "a control member did not say what is staged");
        None
    })
}

fn member_link(shared: &StagerShared) -> Option<FeedLink> {
    let member = shared.control_member.get()?;
    let options = LinkOptions {
        connect_timeout: CONNECT_LIMIT,
        call_timeout: ANSWER_LIMIT,
        ..LinkOptions::default()
    };
    Some(FeedLink::new(&member.to_string(), shared.options.secret, options))
}

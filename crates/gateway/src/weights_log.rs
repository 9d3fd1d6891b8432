//! Log lines of what this entry believes of the weights that targets hold.

use egretseam_serving::{BelievedWeights, EngineStatus, TargetId, TargetStatus, TargetTable};
use tokio::time::Instant;

/// Who told the entry.
#[derive(Clone, Copy, Debug)]
enum BeliefSource {
    Agent,
    Announcement,
}

impl BeliefSource {
    fn slug(self) -> &'static str {
        match self {
            Self::Agent => "agent",
            Self::Announcement => "announcement",
        }
    }
}

/// Applies a target's status, and logs if it changes what is believed of the target's weights.
pub(crate) fn apply_target(
    targets: &mut TargetTable,
    source: u32,
    status: &TargetStatus,
    now: Instant,
) {
    let id = &status.record.id;
    let before = targets.believed_weights(id);
    targets.apply_target(source, status, now);
    let after = targets.believed_weights(id);
    log_change(id, before, after, BeliefSource::Announcement, status.age_millis);
}

/// Applies an agent's status of an engine, and logs if it changes what is believed of the weights
/// of the targets there.
pub(crate) fn apply_engine(targets: &mut TargetTable, status: &EngineStatus, now: Instant) {
    let before = targets.believed_weights_at(status.address);
    targets.apply_engine(status, now);
    for (id, before) in before {
        let after = targets.believed_weights(&id);
        log_change(&id, Some(before), after, BeliefSource::Agent, status.age_millis);
    }
}

fn log_change(
    id: &TargetId,
    before: Option<BelievedWeights>,
    after: Option<BelievedWeights>,
    source: BeliefSource,
    age_millis: u64,
) {
    let Some(now) = after.filter(|_| before != after) else { return };
    let version_before = before.and_then(|before| before.version);
    if now.version.is_none() && version_before.is_none() && !now.loading {
        return;
    }
    tracing::info!(
        target_id = %id,
        version = now.version,
        version_before,
        withheld = now.loading,
        source = source.slug(),
        age_millis,
        "believed weights of a target changed"
    );
}

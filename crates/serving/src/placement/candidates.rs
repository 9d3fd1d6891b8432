//! The targets that a request may be sent to, and the draw among them.

use crate::{permit_requests::PermitRequests, status::TargetId};
use rand::RngExt;
use tokio::time::Instant;

/// Targets that a request may be sent to, with their weights.
#[derive(Default)]
pub(super) struct PlacementCandidates<'a> {
    pub(super) usual: Vec<(f64, &'a TargetId)>,
    /// Targets that have just returned from a rest, for a request that was sent before.
    pub(super) trials: Vec<(f64, &'a TargetId)>,
    /// Targets that leave, where all do.
    pub(super) last_resorts: Vec<(f64, &'a TargetId)>,
    /// Cold targets for which this entry holds a permit. They come first: an earlier draw has chosen
    /// them, and a permit that is not used soon is lost.
    permitted: Vec<(f64, &'a TargetId)>,
    /// Cold targets for which this entry may ask for a permit.
    without_permit: Vec<(f64, &'a TargetId)>,
}

impl<'a> PlacementCandidates<'a> {
    /// Adds a cold target, as one with a permit, one to ask a permit for, or both.
    pub(super) fn push_cold(
        &mut self,
        permits: &PermitRequests,
        weight: f64,
        id: &'a TargetId,
        now: Instant,
    ) {
        if permits.holds(id, now) {
            self.permitted.push((weight, id));
        }
        if permits.may_ask(id, now) {
            self.without_permit.push((weight, id));
        }
    }

    /// The cold target for which a permit should be asked for: the one that a draw among all targets
    /// chooses, if it needs a permit.
    pub(super) fn draw_without_permit(&self) -> Option<&'a TargetId> {
        if self.without_permit.is_empty() {
            return None;
        }
        let total = |weighted: &[(f64, &TargetId)]| -> f64 {
            weighted.iter().map(|(weight, _)| weight).sum()
        };
        let (cold, usual) = (total(&self.without_permit), total(&self.usual));
        let is_cold = rand::rng().random::<f64>() * (cold + usual) < cold;
        is_cold.then(|| draw_weighted(&self.without_permit)).flatten()
    }

    /// Draws the target that gets the request; see [`super::PlacementPolicy::choices`].
    pub(super) fn draw(&self, choices: u32) -> Option<&'a TargetId> {
        draw_weighted(&self.permitted)
            .or_else(|| draw_best(&self.usual, choices))
            .or_else(|| draw_weighted(&self.trials))
            .or_else(|| draw_weighted(&self.last_resorts))
    }
}

/// Draws a target at random by the weights.
fn draw_weighted<'a>(weighted: &[(f64, &'a TargetId)]) -> Option<&'a TargetId> {
    draw_row(weighted).map(|(_, id)| id)
}

/// Factor by which a target's weight must exceed another one's to count as better. Without it,
/// differences of a thousandth would decide, and all entries would take the same target.
const BETTER_FACTOR: f64 = 1.1;

/// Draws some targets at random by the weights, and takes the one whose weight is clearly largest.
fn draw_best<'a>(weighted: &[(f64, &'a TargetId)], choices: u32) -> Option<&'a TargetId> {
    let mut drawn = (0..choices.max(1)).filter_map(|_| draw_row(weighted));
    let first = drawn.next()?;
    let best = drawn.fold(
        first,
        |best, other| {
            if other.0 > best.0 * BETTER_FACTOR { other } else { best }
        },
    );
    Some(best.1)
}

fn draw_row<'a>(weighted: &[(f64, &'a TargetId)]) -> Option<(f64, &'a TargetId)> {
    let total: f64 = weighted.iter().map(|(weight, _)| weight).sum();
    let mut remaining = rand::rng().random::<f64>() * total;
    let drawn = weighted.iter().find(|(weight, _)| {
        remaining -= weight;
        remaining <= 0.0
    });
    drawn.or(weighted.last()).copied()
}

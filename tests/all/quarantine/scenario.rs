//! What a simulation plays, and what it shows.

use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::time::Duration;

/// What happens in a simulation.
#[derive(Clone, Copy, Debug)]
pub(super) struct Scenario {
    pub(super) seed: u64,
    pub(super) entries: usize,
    pub(super) targets: usize,
    /// Different requests that end their targets.
    pub(super) guilty: u64,
    /// Mean pause between two copies of a guilty request.
    pub(super) guilty_pause_millis: u64,
    /// Moments at which many targets are killed.
    pub(super) kills: u64,
    /// Share of the targets that each kill ends.
    pub(super) killed_share: f64,
    /// What parts of prompts do; `None` if prompts have none.
    pub(super) parts: Option<PartScenario>,
}

/// Parts of prompts that end targets.
#[derive(Clone, Copy, Debug)]
pub(super) struct PartScenario {
    /// Parts that end their targets.
    pub(super) bad: u64,
    /// Mean pause between two requests with one of them.
    pub(super) pause_millis: u64,
    /// Time until which they are sound.
    pub(super) sound_until: u64,
    /// Whether requests have several of them at a time.
    pub(super) together: bool,
    /// Moments at which entries are started again.
    pub(super) entry_restarts: u64,
    pub(super) restart_millis: u64,
}

impl Scenario {
    /// A scenario that `seed` determines.
    pub(super) fn drawn(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        Self {
            seed,
            entries: rng.random_range(2..10),
            targets: rng.random_range(6..25),
            guilty: rng.random_range(0..3),
            guilty_pause_millis: rng.random_range(60..900),
            kills: rng.random_range(0..3),
            killed_share: rng.random_range(0.5..1.0),
            parts: None,
        }
    }

    /// A scenario with parts of prompts that `seed` determines.
    pub(super) fn drawn_with_parts(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(!seed);
        let parts = PartScenario {
            bad: rng.random_range(0..3),
            pause_millis: rng.random_range(20..250),
            sound_until: if rng.random_bool(0.5) { 2_000 } else { rng.random_range(2_000..6_000) },
            together: rng.random_bool(0.2),
            entry_restarts: rng.random_range(0..3),
            restart_millis: rng.random_range(400..3_500),
        };
        let guilty = u64::from(rng.random_bool(0.3));
        Self { parts: Some(parts), guilty, ..Self::drawn(seed) }
    }
}

/// What became of one bad part.
#[derive(Clone, Debug, Default)]
pub(super) struct PartOutcome {
    /// Runs that entries in touch began.
    pub(super) runs: Vec<u64>,
    pub(super) crashes: Vec<u64>,
}

impl PartOutcome {
    /// Runs later than `delay` after the fifth crash, by entries in touch.
    pub(super) fn runs_after_fifth(&self, delay: Duration) -> usize {
        let Some(fifth) = self.crashes.get(4) else { return 0 };
        let limit = fifth + delay.as_millis() as u64;
        self.runs.iter().filter(|at| **at > limit).count()
    }
}

/// How many sound requests were sent in a second, and how many of these began to run.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SoundSecond {
    pub(super) sent: usize,
    pub(super) begun: usize,
}

/// What became of one guilty request.
#[derive(Clone, Debug, Default)]
pub(super) struct GuiltyOutcome {
    pub(super) runs: Vec<u64>,
    pub(super) crashes: Vec<u64>,
}

impl GuiltyOutcome {
    /// Runs that began later than `delay` after the third crash.
    pub(super) fn runs_after_third(&self, delay: Duration) -> usize {
        let Some(third) = self.crashes.get(2) else { return 0 };
        let limit = third + delay.as_millis() as u64;
        self.runs.iter().filter(|at| **at > limit).count()
    }
}

/// What a simulation showed.
#[derive(Debug, Default)]
pub(super) struct Outcome {
    pub(super) rejected_innocents: usize,
    pub(super) guilty: Vec<GuiltyOutcome>,
    pub(super) bad_parts: Vec<PartOutcome>,
    /// Sound requests by the second in which they were sent.
    pub(super) sound: Vec<SoundSecond>,
}

impl Outcome {
    /// Share of the sound requests sent from second `first` on that began to run.
    pub(super) fn share_begun(&self, first: usize) -> f64 {
        let seconds = self.sound.iter().skip(first);
        let (sent, begun) =
            seconds.fold((0, 0), |(sent, begun), row| (sent + row.sent, begun + row.begun));
        if sent < 20 { 1.0 } else { begun as f64 / sent as f64 }
    }

    /// The second from which sound requests are counted: `delay` after the last fifth crash.
    pub(super) fn counted_from(&self, delay: Duration) -> usize {
        let fifths = self.bad_parts.iter().filter_map(|part| part.crashes.get(4));
        fifths.max().map_or(0, |at| (at / 1_000 + delay.as_secs() + 1) as usize)
    }
}

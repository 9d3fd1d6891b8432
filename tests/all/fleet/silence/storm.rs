//! Targets that fall silent at any moment, singly and together, and go on.

use super::{
    super::bed::{CallOutcome, OutcomeCounts, ScriptedPause, ScriptedTarget, lost, send_paced},
    bed::{PATHS, SilenceBed, hash, print_counts},
};
use futures::future::{join, join_all};
use std::{ops::Range, time::Duration};
use tokio::sync::watch;

const TARGETS: usize = 6;
const REQUESTS: usize = 200;
/// Time between two requests.
const PACE: Duration = Duration::from_millis(25);
/// Milliseconds of a silence.
const SILENCE_MS: Range<u64> = 200..3_000;
/// Milliseconds between two silences of one target, and between two of all targets.
const SINGLE_GAP_MS: Range<u64> = 500..4_000;
const COMMON_GAP_MS: Range<u64> = 1_500..4_000;
/// Time between two heartbeats of a target.
const HEARTBEAT: Duration = Duration::from_millis(300);
const DEFAULT_SEEDS: Range<u64> = 1..3;

/// Seeds to run: the range in `EGRETSEAM_SILENCE_SEEDS`, such as `1-20`, or [`DEFAULT_SEEDS`].
fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var("EGRETSEAM_SILENCE_SEEDS") else { return DEFAULT_SEEDS };
    let (first, last) =
        text.split_once('-').expect("EGRETSEAM_SILENCE_SEEDS is a range such as 1-20");
    let number = |text: &str| text.parse::<u64>().expect("a seed is a number");
    number(first)..number(last) + 1
}

/// What the heartbeats of a silent target do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Heartbeats {
    GoOn,
    Stop,
}

/// One play: its seed and kind.
#[derive(Clone, Copy, Debug, Hash)]
struct StormPlay {
    seed: u64,
    heartbeats: Heartbeats,
}

impl StormPlay {
    fn draw(self, name: &str, number: u64, range: Range<u64>) -> Duration {
        let span = range.end - range.start;
        Duration::from_millis(range.start + hash((self, name, number)) % span)
    }

    /// Begins and ends silences, without end.
    async fn drive(self, name: &str, gaps: Range<u64>, silence: watch::Sender<bool>) {
        for number in 0.. {
            tokio::time::sleep(self.draw(name, 2 * number, gaps.clone())).await;
            silence.send_replace(true);
            tokio::time::sleep(self.draw(name, 2 * number + 1, SILENCE_MS)).await;
            silence.send_replace(false);
        }
    }

    /// Sends the heartbeats of a target, without end.
    async fn announce(self, bed: &SilenceBed, target: &ScriptedTarget) {
        loop {
            tokio::time::sleep(HEARTBEAT).await;
            if self.heartbeats == Heartbeats::GoOn || !target.is_silent() {
                bed.fleet.announce(target, "ready").await;
            }
        }
    }

    async fn run(self) -> OutcomeCounts {
        let bed = SilenceBed::start_with(TARGETS, |settings| {
            settings.announce_interval = HEARTBEAT;
        });
        let bed = bed.await;
        let (common, _) = watch::channel(false);
        let mut silences = Vec::new();
        for target in &bed.targets {
            target.always_pause(ScriptedPause::none());
            let (single, _) = watch::channel(false);
            target.fall_silent_with(&single, 0);
            target.fall_silent_with(&common, 0);
            silences.push(self.drive(&target.id, SINGLE_GAP_MS, single));
        }
        let beats = bed.targets.iter().map(|target| self.announce(&bed, target));
        let silences = join(join_all(silences), self.drive("all", COMMON_GAP_MS, common));
        let counts = tokio::select! {
            counts = send_paced(&bed.fleet, &PATHS, REQUESTS, PACE) => counts,
            _ = join(silences, join_all(beats)) => unreachable!("silences go on"),
        };
        let retries = bed.retries();
        let mut all = OutcomeCounts::new();
        for (path, counts) in counts {
            print_counts(&format!("{self:?}, {path}"), &counts);
            for (outcome, count) in counts {
                *all.entry(outcome).or_default() += count;
            }
        }
        println!("{self:?}: {retries} retries");
        bed.assert_attempts_allowed();
        all
    }
}

/// Guards against requests lost because sound targets are silent singly and together, with and
/// without heartbeats. A request whose time is over is not lost.
#[actix_rt::test]
async fn silences_at_any_moment_lose_no_request() {
    /// Plays at the same time.
    const PARALLEL: usize = 4;
    let play = |seed| {
        [Heartbeats::GoOn, Heartbeats::Stop].map(|heartbeats| StormPlay { seed, heartbeats })
    };
    let plays: Vec<_> = seeds().flat_map(play).collect();
    let mut all_lost = 0;
    for plays in plays.chunks(PARALLEL) {
        for counts in join_all(plays.iter().map(|play| play.run())).await {
            let late = counts.get(&CallOutcome::OutOfTime).copied().unwrap_or(0);
            all_lost += lost(&counts) - late;
        }
    }
    assert_eq!(all_lost, 0, "requests that were neither answered nor rejected in time");
}

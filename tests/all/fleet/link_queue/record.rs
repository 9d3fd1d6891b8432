//! The queue of a link while it is slow, and the requests that it makes late.

use super::{
    SLOW_RATE, USUAL_RATE,
    link::{PARTS, TrafficKind},
};
use indexmap::IndexMap;
use std::time::Duration;

const REQUESTS_PER_SECOND: f64 = 16.0;

/// Share of callers that leave, and when the first and the last of them do, in seconds.
const LEAVING_SHARE: f64 = 0.6;
const FIRST_LEAVES: f64 = 0.05;
const LAST_LEAVES: f64 = 0.7;
/// How long after its caller left a request may arrive, in seconds.
const ARRIVAL_LIMIT: f64 = 0.5;

/// Half a second of a slow link: live traffic and weights together.
const MAX_QUEUED_BYTES: usize = 37_500;
/// How long the link is slow.
pub(super) const SLOW_PERIOD: Duration = Duration::from_millis(3_500);
pub(super) const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// Kinds of traffic that together may make requests late.
const CAUSES: [(&str, &[TrafficKind]); 7] = [
    ("chunks from the origin", &[TrafficKind::OriginChunk, TrafficKind::OriginPart]),
    ("parts in", &[TrafficKind::PartIn, TrafficKind::CrossPartIn, TrafficKind::HeldUpPartIn]),
    ("parts held up", &[TrafficKind::HeldUpPartIn]),
    ("parts out", &[TrafficKind::PartOut, TrafficKind::CrossPartOut]),
    ("all parts", &PARTS),
    ("overhead", &[TrafficKind::Overhead]),
    ("live traffic", &[TrafficKind::LiveRequest, TrafficKind::LiveEvent]),
];

/// The queue of a link at one moment.
pub(super) struct QueueSample {
    pub(super) after: Duration,
    pub(super) queued: IndexMap<TrafficKind, usize>,
    /// Bytes from the origin that have entered the queue since the link is slow.
    pub(super) origin_entered: usize,
    /// Whether control knows by then that the link is slow.
    pub(super) is_reported: bool,
}

impl QueueSample {
    fn total(&self) -> usize {
        self.queued.values().sum()
    }

    /// Delay in seconds of a request behind `bytes` on the link.
    fn delay(&self, bytes: usize) -> f64 {
        let left = SLOW_PERIOD.saturating_sub(self.after).as_secs_f64();
        let slow = bytes as f64 / SLOW_RATE;
        if slow <= left { slow } else { left + (slow - left) * SLOW_RATE / USUAL_RATE }
    }

    /// Expected number of late requests among those sent until the next sample.
    fn late(&self, bytes: usize) -> f64 {
        let spread =
            (self.delay(bytes) - ARRIVAL_LIMIT - FIRST_LEAVES) / (LAST_LEAVES - FIRST_LEAVES);
        let sent = REQUESTS_PER_SECOND * SAMPLE_INTERVAL.as_secs_f64();
        sent * LEAVING_SHARE * spread.clamp(0.0, 1.0)
    }
}

#[derive(Default)]
pub(super) struct PeriodRecord {
    pub(super) samples: Vec<QueueSample>,
    /// How long this process was not running meanwhile.
    pub(super) paused: Duration,
}

impl PeriodRecord {
    fn longest(&self) -> &QueueSample {
        self.samples
            .iter()
            .max_by_key(|sample| sample.total())
            .expect("the slow period has samples")
    }

    /// Most bytes queued in a half second of the slow period, by its number.
    fn longest_in(&self, step: u128) -> usize {
        let is_within = |sample: &&QueueSample| sample.after.as_millis() / 500 == step;
        self.samples.iter().filter(is_within).map(QueueSample::total).max().unwrap_or(0)
    }

    /// Expected number of late requests among those sent in a half second of the slow period.
    fn late_in(&self, step: u128) -> f64 {
        let is_within = |sample: &&QueueSample| sample.after.as_millis() / 500 == step;
        self.samples.iter().filter(is_within).map(|sample| sample.late(sample.total())).sum()
    }

    fn late_without(&self, kinds: &[TrafficKind]) -> f64 {
        let rest = |sample: &QueueSample| {
            let spared: usize = kinds.iter().filter_map(|kind| sample.queued.get(kind)).sum();
            sample.total() - spared
        };
        self.samples.iter().map(|sample| sample.late(rest(sample))).sum()
    }

    /// The figures of the slow period, one line each.
    pub(super) fn report(&self) -> String {
        let longest = self.longest();
        let late = self.late_without(&[]);
        let reported = self.samples.iter().find(|sample| sample.is_reported);
        let unreported = self.samples.iter().filter(|sample| !sample.is_reported);
        let late_unreported: f64 = unreported.map(|sample| sample.late(sample.total())).sum();
        let delays = self.samples.iter().map(|sample| sample.delay(sample.total()));
        let mut lines = vec![
            format!("longest delay of a request: {:.2} s", delays.fold(0.0, f64::max)),
            format!(
                "longest: {} bytes, {:.2} s, {} ms after the link became slow: {:?}",
                longest.total(),
                longest.delay(longest.total()),
                longest.after.as_millis(),
                longest.queued
            ),
            format!(
                "late requests: {late:.2}, {late_unreported:.2} of them while control does not know of the link, first told at {:?}",
                reported.map(|sample| sample.after)
            ),
        ];
        for (name, kinds) in CAUSES {
            lines.push(format!("late without {name}: {:.2}", self.late_without(kinds)));
        }
        let maxima: Vec<usize> = (0..7).map(|step| self.longest_in(step)).collect();
        lines.push(format!(
            "longest queue in each half second: {maxima:?}; paused {:?}",
            self.paused
        ));
        let late: Vec<String> = (0..7).map(|step| format!("{:.2}", self.late_in(step))).collect();
        lines.push(format!("late requests of each half second: {late:?}"));
        for millis in [0, 250, 500, 1_000, 1_500, 2_000, 3_000] {
            let at = self.samples.iter().find(|sample| sample.after.as_millis() >= millis);
            if let Some(sample) = at {
                lines.push(format!(
                    "at {millis} ms: {} queued, {} from the origin since, {:?}",
                    sample.total(),
                    sample.origin_entered,
                    sample.queued
                ));
            }
        }
        lines.join("\n")
    }

    pub(super) fn check(&self, name: &str) {
        let report = self.report();
        println!("{name}\n{report}");
        let longest = self.longest().total();
        assert!(
            longest <= MAX_QUEUED_BYTES,
            "{longest} bytes were queued, expected at most {MAX_QUEUED_BYTES}"
        );
    }
}

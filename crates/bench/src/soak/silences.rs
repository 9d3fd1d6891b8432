//! Pauses of sound targets, which go on after them.

use super::{say, stand_ins::SoakTarget};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::{cell::Cell, rc::Rc, time::Duration};
use tokio::time::Instant;

/// Shortest and longest pause in milliseconds.
const PAUSE_MILLIS: std::ops::Range<u64> = 200..3_000;
/// Share of the responses that pause by themselves.
const PAUSE_SHARE: f64 = 0.03;
/// Milliseconds between two silences of whole targets.
const SILENCE_GAP: std::ops::Range<u64> = 500..2_500;
/// Share of the silences in which all targets take part.
const SHARE_OF_ALL: f64 = 0.5;
/// Share of the silences that stop heartbeats, too.
const SHARE_MUTE: f64 = 0.5;

/// A pause in one response.
#[derive(Clone, Copy, Debug)]
pub(super) struct ResponsePause {
    /// Part before which it comes: 0 is the head, further ones are parts of the body.
    pub(super) part: u64,
    time: Duration,
}

/// The silence of one target.
#[derive(Debug, Default)]
pub(super) struct TargetSilence {
    until: Cell<Option<Instant>>,
    /// Whether heartbeats pause as well.
    is_mute: Cell<bool>,
    has_ended: Cell<bool>,
}

impl TargetSilence {
    /// Draws the pause of a response whose body has so many parts.
    pub(super) fn draw(&self, random: &mut SmallRng, parts: u64) -> Option<ResponsePause> {
        if self.has_ended.get() || !random.random_bool(PAUSE_SHARE) {
            return None;
        }
        let time = Duration::from_millis(random.random_range(PAUSE_MILLIS));
        Some(ResponsePause { part: random.random_range(0..=parts), time })
    }

    /// Waits as long as the target says nothing before this part of a response.
    pub(super) async fn wait_out(&self, part: u64, pause: Option<ResponsePause>) {
        if let Some(pause) = pause.filter(|pause| pause.part == part) {
            tokio::time::sleep(pause.time).await;
        }
        while let Some(until) = self.lasts_until() {
            tokio::time::sleep_until(until).await;
        }
    }

    /// Whether the target sends no heartbeats.
    pub(super) fn is_mute(&self) -> bool {
        self.is_mute.get() && self.lasts_until().is_some()
    }

    /// Begins no further pauses.
    pub(super) fn end(&self) {
        self.has_ended.set(true);
    }

    /// Begins a silence unless one lasts, so that none is longer than a pause.
    fn begin(&self, until: Instant, is_mute: bool) {
        if self.lasts_until().is_none() {
            self.until.set(Some(until));
            self.is_mute.set(is_mute);
        }
    }

    fn lasts_until(&self) -> Option<Instant> {
        self.until.get().filter(|at| *at > Instant::now())
    }
}

/// Has targets fall silent, singly and all together, until `end`.
pub(super) fn start(targets: Vec<Rc<SoakTarget>>, seed: u64, began: Instant, end: Instant) {
    let mut random = SmallRng::seed_from_u64(seed);
    actix_rt::spawn(async move {
        loop {
            let gap = Duration::from_millis(random.random_range(SILENCE_GAP));
            tokio::time::sleep(gap).await;
            if Instant::now() >= end {
                return;
            }
            silence_some(&targets, &mut random, began);
        }
    });
}

fn silence_some(targets: &[Rc<SoakTarget>], random: &mut SmallRng, began: Instant) {
    let time = Duration::from_millis(random.random_range(PAUSE_MILLIS));
    let is_mute = random.random_bool(SHARE_MUTE);
    let drawn = random.random_range(0..targets.len());
    let (silenced, name) = if random.random_bool(SHARE_OF_ALL) {
        (targets, "all targets".to_owned())
    } else {
        (&targets[drawn..=drawn], format!("target {drawn}"))
    };
    let beats = if is_mute { "without" } else { "with" };
    say(began, &format!("{name} silent for {time:?}, {beats} heartbeats"));
    for target in silenced {
        target.silence().begin(Instant::now() + time, is_mute);
    }
}

//! When each staged chunk was last found correct, and which chunks must be read back again before
//! the engine may be ordered to load them.
//!
//! An engine loads what is staged when it accepts an order, and staged chunks are corrupted at any
//! time. So a chunk that was read back is known to have been correct then, and nothing later. The
//! agent may be held up at any point, for seconds and more than once; afterwards it must not rely
//! on what it verified before.

use std::{collections::VecDeque, time::Duration};
use tokio::time::Instant;

/// Longest time between an engine's reading of a chunk that was found correct, and the order to
/// load it. The rest of [`CORRUPTION_TOLERANCE`] is for the order on its way.
pub const MAX_VERIFICATION_AGE: Duration = Duration::from_secs(1);
/// A corruption that is more recent than this when the engine accepts the order is tolerated.
pub const CORRUPTION_TOLERANCE: Duration = Duration::from_secs(3);
/// Time of a pass over all chunks at the usual pace, times this, is the age that an engine reaches
/// which reads too slowly for [`MAX_VERIFICATION_AGE`].
const SLOW_PASS_SLACK: f64 = 1.5;

/// What to do next with the staged chunks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StagingStep {
    /// Read back the chunk with this index, and put it if it is missing or corrupted.
    ReadBack(u32),
    /// Nothing: all chunks were verified recently enough for an order that is sent now.
    Done,
    /// Give up for now: chunks have been read as often as this attempt may.
    GiveUp,
}

#[derive(Clone, Copy, Debug, Default)]
struct ChunkRow {
    /// When the read was requested that last found the chunk correct, unless it was put since.
    verified_at: Option<Instant>,
    /// When the chunk was last read back or put.
    handled_at: Option<Instant>,
}

/// What is known of the staged chunks of one version.
#[derive(Clone, Debug)]
pub struct ChunkVerification {
    rows: Vec<ChunkRow>,
    /// Durations of the last reads, as many as there are chunks.
    read_times: VecDeque<Duration>,
    reads_left: usize,
}

impl ChunkVerification {
    /// Nothing is known yet of `count` chunks, and no attempt has begun.
    pub fn new(count: u32) -> Self {
        let rows = vec![ChunkRow::default(); count as usize];
        Self { rows, read_times: VecDeque::new(), reads_left: 0 }
    }

    /// All of `count` chunks were found correct by reads that were requested at `requested_at` or
    /// later.
    pub fn of_correct(count: u32, requested_at: Instant) -> Self {
        let row = ChunkRow { verified_at: Some(requested_at), handled_at: Some(requested_at) };
        Self { rows: vec![row; count as usize], ..Self::new(count) }
    }

    /// Begins an attempt that may read every chunk `passes` times.
    pub fn begin_attempt(&mut self, passes: u32) {
        self.reads_left = self.rows.len() * passes as usize;
    }

    /// The next step of the attempt if an order is to be sent `now`.
    pub fn next_step(&self, now: Instant) -> StagingStep {
        match self.next_due(now) {
            None => StagingStep::Done,
            Some(_) if self.reads_left == 0 => StagingStep::GiveUp,
            Some(index) => StagingStep::ReadBack(index),
        }
    }

    /// Records a read that was requested at `requested_at` and whose chunk is correct.
    pub fn record_correct(&mut self, index: u32, requested_at: Instant, now: Instant) {
        self.record_read(index, requested_at, now);
        self.rows[index as usize].verified_at = Some(requested_at);
    }

    /// Records a read that showed that the chunk is missing or corrupted, and was or is to be put.
    pub fn record_incorrect(&mut self, index: u32, requested_at: Instant, now: Instant) {
        self.record_read(index, requested_at, now);
        self.rows[index as usize].verified_at = None;
    }

    fn record_read(&mut self, index: u32, requested_at: Instant, now: Instant) {
        self.reads_left = self.reads_left.saturating_sub(1);
        self.rows[index as usize].handled_at = Some(now);
        if self.read_times.len() >= self.rows.len() {
            self.read_times.pop_front();
        }
        self.read_times.push_back(now.saturating_duration_since(requested_at));
    }

    /// When the chunk was last found correct whose verification is the oldest; `None` if some chunk
    /// is not verified.
    pub fn oldest(&self) -> Option<Instant> {
        let oldest = self.rows.iter().map(|row| row.verified_at).min();
        oldest.flatten()
    }

    /// Of the chunks that are `relevant`, the one verified longest ago, if that is before `moment`.
    pub fn oldest_before(&self, moment: Instant, relevant: impl Fn(u32) -> bool) -> Option<u32> {
        let rows = (0..).zip(&self.rows).filter(|(index, _)| relevant(*index));
        let (index, row) = rows.min_by_key(|(_, row)| row.verified_at)?;
        row.verified_at.is_none_or(|at| at < moment).then_some(index)
    }

    /// Age that no chunk's verification may exceed when the order is sent:
    /// [`MAX_VERIFICATION_AGE`], or what the engine's pace allows.
    ///
    /// Failure guarded: an engine takes so long to answer each read that a pass over all chunks
    /// lasts longer than the limit. The agent would read for ever, and the engine would never load
    /// the version. A hold-up does not raise the limit, since it makes few reads long.
    pub fn max_age(&self) -> Duration {
        MAX_VERIFICATION_AGE.max(self.usual_pass_time().mul_f64(SLOW_PASS_SLACK))
    }

    /// Whether the engine reads too slowly for [`MAX_VERIFICATION_AGE`].
    pub fn is_engine_slow(&self) -> bool {
        self.max_age() > MAX_VERIFICATION_AGE
    }

    /// Time of a pass in which every read takes the median of those of the last pass; zero before
    /// the first pass ends.
    fn usual_pass_time(&self) -> Duration {
        if self.read_times.len() < self.rows.len() {
            return Duration::ZERO;
        }
        let mut times: Vec<Duration> = self.read_times.iter().copied().collect();
        times.sort_unstable();
        let median = times.get(times.len() / 2).copied().unwrap_or_default();
        median * self.rows.len() as u32
    }

    /// The chunk to read next: of those that are not verified or whose verification is too old, the
    /// one that was not handled for the longest time.
    fn next_due(&self, now: Instant) -> Option<u32> {
        let exceeds = |row: &ChunkRow, limit: Duration| {
            row.verified_at.is_none_or(|at| now.saturating_duration_since(at) > limit)
        };
        if !self.rows.iter().any(|row| exceeds(row, MAX_VERIFICATION_AGE)) {
            return None;
        }
        let max_age = self.max_age();
        let due = (0..).zip(&self.rows).filter(|(_, row)| exceeds(row, max_age));
        due.min_by_key(|(_, row)| row.handled_at).map(|(index, _)| index)
    }
}

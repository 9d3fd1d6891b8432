//! The agent's decision whether staged chunks may be loaded, checked against a model in which the
//! agent is held up and chunks are corrupted at any time.

use egretseam_stager::{ChunkVerification, MAX_VERIFICATION_AGE, StagingStep};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use std::{collections::VecDeque, time::Duration};
use tokio::time::Instant;

const CHUNKS: u32 = 24;
/// Time of a read at an engine that is not slow.
const USUAL_READ: Duration = Duration::from_millis(4);
/// Time that the agent waits between staging and its order, for entries and running requests.
const DRAIN: Duration = Duration::from_millis(700);
/// Passes of an attempt before the wait, and after it.
const PASSES: (u32, u32) = (5, 2);

/// What happens while one read is under way.
#[derive(Clone, Copy, Debug)]
enum ReadEvent {
    Nothing,
    /// The agent is held up before the engine reads the chunk.
    HoldUpBefore(Duration),
    /// The agent is held up before it sees the answer.
    HoldUpAfter(Duration),
    /// A staged chunk is corrupted.
    Corrupt(u32),
}

fn read_event() -> impl Strategy<Value = ReadEvent> {
    let hold_up = || (1_u64..6_000).prop_map(Duration::from_millis);
    prop_oneof![
        30 => Just(ReadEvent::Nothing),
        2 => hold_up().prop_map(ReadEvent::HoldUpBefore),
        2 => hold_up().prop_map(ReadEvent::HoldUpAfter),
        3 => (0..CHUNKS).prop_map(ReadEvent::Corrupt),
    ]
}

/// An agent that stages a version at its engine.
struct StagingModel {
    now: Instant,
    read_time: Duration,
    /// When each chunk was corrupted, if it is.
    corrupted_at: Vec<Option<Instant>>,
    is_staged: Vec<bool>,
    /// When the engine last read each chunk and it was correct.
    seen_correct_at: Vec<Option<Instant>>,
    events: VecDeque<ReadEvent>,
    reads: u32,
}

impl StagingModel {
    fn new(read_time: Duration, events: Vec<ReadEvent>) -> Self {
        let count = CHUNKS as usize;
        Self {
            now: Instant::now(),
            read_time,
            corrupted_at: vec![None; count],
            is_staged: vec![false; count],
            seen_correct_at: vec![None; count],
            events: events.into(),
            reads: 0,
        }
    }

    /// One attempt. Returns what is known of the chunks when the order is sent, or `None` if none
    /// is sent.
    fn attempt(&mut self) -> Option<ChunkVerification> {
        let mut verification = ChunkVerification::new(CHUNKS);
        verification.begin_attempt(PASSES.0);
        self.read_until_done(&mut verification)?;
        self.now += DRAIN;
        if let Some(ReadEvent::HoldUpBefore(time) | ReadEvent::HoldUpAfter(time)) =
            self.events.pop_front()
        {
            self.now += time;
        }
        verification.begin_attempt(PASSES.1);
        self.read_until_done(&mut verification)?;
        Some(verification)
    }

    fn read_until_done(&mut self, verification: &mut ChunkVerification) -> Option<()> {
        loop {
            match verification.next_step(self.now) {
                StagingStep::Done => return Some(()),
                StagingStep::GiveUp => return None,
                StagingStep::ReadBack(index) => self.read(index, verification),
            }
        }
    }

    fn read(&mut self, index: u32, verification: &mut ChunkVerification) {
        self.reads += 1;
        let requested_at = self.now;
        let event = self.events.pop_front().unwrap_or(ReadEvent::Nothing);
        match event {
            ReadEvent::HoldUpBefore(time) => self.now += time,
            ReadEvent::Corrupt(corrupted) => {
                self.corrupted_at[corrupted as usize].get_or_insert(self.now);
            }
            _ => {}
        }
        self.now += self.read_time;
        let at = index as usize;
        let is_correct = self.is_staged[at] && self.corrupted_at[at].is_none();
        if is_correct {
            self.seen_correct_at[at] = Some(self.now);
        }
        if let ReadEvent::HoldUpAfter(time) = event {
            self.now += time;
        }
        if is_correct {
            verification.record_correct(index, requested_at, self.now);
        } else {
            verification.record_incorrect(index, requested_at, self.now);
            (self.is_staged[at], self.corrupted_at[at]) = (true, None);
        }
    }

    /// Age of the oldest verification, and time for which a chunk has been corrupted.
    fn order_ages(&self) -> (Duration, Duration) {
        let seen = self.seen_correct_at.iter().map(|at| at.map(|at| self.now - at));
        let oldest = seen.collect::<Option<Vec<_>>>().expect("an unverified chunk is ordered");
        let corrupted = self.corrupted_at.iter().flatten().map(|at| self.now - *at);
        (oldest.into_iter().max().unwrap_or_default(), corrupted.max().unwrap_or_default())
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 3_000,
        rng_seed: RngSeed::Fixed(0x5eed_0020),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against answers from corrupted weights: the agent is held up anywhere, and orders the
    /// engine to load chunks that it verified before.
    #[test]
    fn no_order_is_sent_on_an_old_verification(
        events in prop::collection::vec(read_event(), 0..400),
    ) {
        let mut model = StagingModel::new(USUAL_READ, events);
        for _ in 0..12 {
            if model.attempt().is_some() {
                let (oldest, corrupted) = model.order_ages();
                prop_assert!(oldest <= MAX_VERIFICATION_AGE, "verified {oldest:?} ago");
                prop_assert!(corrupted <= MAX_VERIFICATION_AGE, "corrupted for {corrupted:?}");
            }
        }
    }

    /// Guards against an engine that never gets its weights: once hold-ups have ended, the first
    /// attempt succeeds, and reads each chunk a few times at most.
    #[test]
    fn an_order_is_sent_once_hold_ups_have_ended(
        events in prop::collection::vec(read_event(), 0..400),
    ) {
        let mut model = StagingModel::new(USUAL_READ, events);
        while !model.events.is_empty() {
            model.attempt();
        }
        let before = model.reads;
        prop_assert!(model.attempt().is_some());
        prop_assert!(model.reads - before <= CHUNKS * 3, "{} reads", model.reads - before);
    }

    /// Guards against an engine that never gets its weights because it reads so slowly that a pass
    /// lasts longer than a verification may be old.
    #[test]
    fn a_slow_engine_is_ordered_within_a_few_passes(
        millis in 1_u64..900,
        jitter in prop::collection::vec(0.7_f64..1.3, 1..50),
    ) {
        let mut model = StagingModel::new(Duration::ZERO, Vec::new());
        let mut verification = ChunkVerification::new(CHUNKS);
        verification.begin_attempt(PASSES.0);
        let mut jitter = jitter.iter().cycle();
        while let StagingStep::ReadBack(index) = verification.next_step(model.now) {
            let factor = jitter.next().expect("a cycle");
            model.read_time = Duration::from_millis(millis).mul_f64(*factor);
            model.read(index, &mut verification);
        }
        prop_assert_eq!(verification.next_step(model.now), StagingStep::Done);
        let pass = Duration::from_millis(millis) * CHUNKS;
        let (oldest, _) = model.order_ages();
        prop_assert!(oldest <= MAX_VERIFICATION_AGE.max(pass * 2), "verified {oldest:?} ago");
        prop_assert!(model.reads <= CHUNKS * 3, "{} reads", model.reads);
    }
}

/// Guards against a limit that hold-ups raise: an engine that is not slow is taken for a slow one,
/// and verifications may be seconds old.
#[test]
fn hold_ups_do_not_raise_the_limit() {
    let mut model = StagingModel::new(USUAL_READ, Vec::new());
    let mut verification = ChunkVerification::new(CHUNKS);
    verification.begin_attempt(PASSES.0);
    for read in 0..CHUNKS * 2 {
        if read % 3 == 0 {
            model.events.push_back(ReadEvent::HoldUpAfter(Duration::from_secs(4)));
        } else {
            model.events.push_back(ReadEvent::Nothing);
        }
        model.read(read % CHUNKS, &mut verification);
        assert_eq!(verification.max_age(), MAX_VERIFICATION_AGE);
    }
}

/// Guards against a clock that does not show a hold-up: the age is taken from the runtime's clock,
/// which goes on while the process is frozen.
#[tokio::test(start_paused = true)]
async fn a_verification_expires_by_the_runtimes_clock() {
    let mut verification = ChunkVerification::new(1);
    verification.begin_attempt(1);
    let now = Instant::now();
    verification.record_correct(0, now, now);
    verification.begin_attempt(1);
    tokio::time::advance(MAX_VERIFICATION_AGE).await;
    assert_eq!(verification.next_step(Instant::now()), StagingStep::Done);
    tokio::time::advance(Duration::from_millis(1)).await;
    assert_eq!(verification.next_step(Instant::now()), StagingStep::ReadBack(0));
}

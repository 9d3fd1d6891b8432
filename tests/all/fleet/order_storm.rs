//! Engines that carry orders out when they like, agents and engines that start again, versions in
//! quick succession: a seeded run against real agents.

use super::{engines::ScriptedEngine, weights_bed::WeightsFixture};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{rc::Rc, time::Duration};

/// Engines, each with an agent.
const ENGINES: usize = 3;
/// Things that happen in a run.
const EVENTS: u32 = 40;
/// Most time between two of them.
const MOST_PAUSE_MILLIS: u64 = 160;
/// Seeds of the short run. With 6 an agent that started again beside chunks of a version eleven behind
/// knew nothing of them, and its engine took a mix 12 s later.
const USUAL_SEEDS: [u64; 2] = [1, 6];

/// Seeds to play: `EGRETSEAM_STORM_SEEDS`, two numbers with a dash between, or the usual ones.
fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("EGRETSEAM_STORM_SEEDS") else { return USUAL_SEEDS.to_vec() };
    let (first, last) = text.split_once('-').expect("two numbers with a dash between");
    let first: u64 = first.parse().expect("a number");
    let last: u64 = last.parse().expect("a number");
    (first..=last).collect()
}

struct OrderStorm {
    bed: WeightsFixture,
    random: StdRng,
    newest: u64,
    agent_runs: [bool; ENGINES],
}

impl OrderStorm {
    async fn start(seed: u64) -> Self {
        let bed = WeightsFixture::start(ENGINES, true).await;
        bed.wait_until_loaded(1).await;
        let random = StdRng::seed_from_u64(seed);
        Self { bed, random, newest: 1, agent_runs: [true; ENGINES] }
    }

    async fn play(&mut self) {
        for _ in 0..EVENTS {
            self.happen().await;
            let pause = self.random.random_range(0..MOST_PAUSE_MILLIS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
            self.bed.assert_complete_loads();
        }
    }

    async fn happen(&mut self) {
        let at = self.random.random_range(0..ENGINES);
        let engine = self.bed.engines[at].clone();
        match self.random.random_range(0..12) {
            0..=2 => {
                self.newest += 1;
                self.bed.publish(self.newest).await;
            }
            3..=5 => engine.withhold.set(engine.withhold.get() + 1),
            6..=7 => engine.carry_out_withheld(),
            8 => engine.carries_out_midway.set(!engine.carries_out_midway.get()),
            9 => engine.restart(),
            10 => self.stop_or_start_agent(at),
            _ => {
                let lost = self.random.random_bool(0.5).then_some(self.newest);
                self.bed.origin.lost_from.set(lost);
            }
        }
    }

    fn stop_or_start_agent(&mut self, at: usize) {
        if self.agent_runs[at] {
            self.bed.stop_agent(at);
        } else {
            self.bed.restart_agent(at);
        }
        self.agent_runs[at] = !self.agent_runs[at];
    }

    /// Lets everything work again; all engines must come to hold the newest version, and keep it when
    /// what they still withhold is carried out.
    async fn end(&mut self) {
        self.bed.origin.lost_from.set(None);
        for at in 0..ENGINES {
            self.bed.engines[at].withhold.set(0);
            if !self.agent_runs[at] {
                self.stop_or_start_agent(at);
            }
        }
        self.bed.wait_until_loaded(self.newest).await;
        let carry_out = |engine: &Rc<ScriptedEngine>| engine.carry_out_withheld();
        self.bed.engines.iter().for_each(carry_out);
        self.bed.wait_until_loaded(self.newest).await;
    }
}

/// What users would see: answers from mixed weights, or engines that stay behind for good. Orders get no
/// answer and are carried out at any time, also midway through the staging of a newer version; agents and
/// engines start again; versions come quickly and the origin goes away.
#[actix_rt::test]
async fn engines_take_whole_versions_only_and_end_with_the_newest() {
    for seed in seeds() {
        println!("seed {seed}");
        let mut storm = OrderStorm::start(seed).await;
        storm.play().await;
        storm.end().await;
    }
}

//! A service of several engines under load from several entries, each with its own view: the real
//! tables and queues of entries, modelled engines, and reports that lag.

use crate::batch_engine::{BatchEngine, EngineEvent, EngineParams};
use egretseam_proto::{ModelName, ServiceName, ZoneName};
use egretseam_serving::{
    AttemptOutcome, EngineStatus, HeldModel, Incarnation, PlacementOutcome, PlacementPolicy,
    PlacementQuery, TargetId, TargetRecord, TargetState, TargetStatus, TargetTable, WaitPolicy,
    WaitQueue, WaitUrgency,
};
use indexmap::{IndexMap, IndexSet};
use std::{collections::VecDeque, net::SocketAddr, time::Duration};
use tokio::time::Instant;

/// Steps of the simulated time.
const STEP: Duration = Duration::from_millis(5);
/// Time between two reports of an engine.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// How old a report is when entries have it.
const REPORT_AGE: Duration = Duration::from_millis(280);

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct LoadScript {
    /// Entries.
    pub entries: usize,
    /// Engines.
    pub engines: usize,
    /// Requests a second.
    pub requests_per_second: f64,
    /// For how long.
    pub duration: Duration,
    /// Times as many requests, from this moment to that one.
    pub burst: (f64, Duration, Duration),
    /// From this moment to that one no engine takes anything, and all say so.
    pub outage: Option<(Duration, Duration)>,
    /// Whether requests are held while no engine takes anything.
    pub queues_during_outage: bool,
    /// Time to the first event within which an answer is in time.
    pub latency_objective: Duration,
    /// Whether those who come back wait behind new ones.
    pub late_requests_last: bool,
    /// Whether entries know of each other.
    pub knows_entry_count: bool,
    /// Choice of targets.
    pub placement: PlacementPolicy,
    /// Waiting.
    pub waiting: WaitPolicy,
    /// Engines.
    pub engine: EngineParams,
}

/// What came of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadResult {
    /// Requests.
    pub requests: u32,
    /// Answers whose first event came in time.
    pub in_time: u32,
    /// Answers that began later.
    pub late: u32,
    /// Requests rejected for the second time; each caller comes back once.
    pub rejected: u32,
}

struct LoadEntry {
    table: TargetTable,
    queue: WaitQueue<u64>,
}

struct PlacedRequest {
    due: Instant,
    sent: Instant,
    entry: usize,
    target: usize,
}

/// The service while it is played.
struct ServiceLoad {
    script: LoadScript,
    service: ServiceName,
    model: ModelName,
    entries: Vec<LoadEntry>,
    engines: Vec<BatchEngine>,
    due: IndexMap<u64, Instant>,
    /// Callers that were rejected once, by when they come back.
    returning: Vec<(Instant, u64)>,
    returned: IndexSet<u64>,
    placed: IndexMap<u64, PlacedRequest>,
    in_outage: bool,
    /// Reports under way: when they arrive, and how busy each engine was.
    reports: VecDeque<(Instant, Vec<u32>)>,
    result: LoadResult,
}

/// Plays a script.
///
/// # Panics
/// Panics if the tables name a target that does not exist.
pub fn simulate_load(script: &LoadScript) -> LoadResult {
    let start = Instant::now();
    let mut load = ServiceLoad::new(*script, start);
    let mut now = start;
    let mut owed = 0.0;
    let mut number = 0;
    let mut report_due = start;
    while now < start + script.duration {
        now += STEP;
        load.work(now);
        load.begin_or_end_outage(now - start, now);
        if now >= report_due {
            report_due += REPORT_INTERVAL;
            load.report(now);
        }
        load.hear(now);
        let (times, from, to) = script.burst;
        let in_burst = (from..to).contains(&(now - start));
        let rate = script.requests_per_second * if in_burst { times } else { 1.0 };
        owed += rate * STEP.as_secs_f64() * rand::random_range(0.0..2.0);
        while owed >= 1.0 {
            owed -= 1.0;
            number += 1;
            load.result.requests += 1;
            load.due.insert(number, now);
            load.arrive(number, now);
        }
        load.come_back(now);
        load.pump(now);
    }
    load.result
}

impl ServiceLoad {
    fn new(script: LoadScript, now: Instant) -> Self {
        let name = "a valid name";
        let service = ServiceName::try_from("runners").expect(name);
        let model = ModelName::try_from("chat").expect(name);
        let zone = ZoneName::try_from("z1").expect(name);
        let entry = |_| {
            let mut table = TargetTable::new(script.placement, zone.clone());
            if script.knows_entry_count {
                table.set_entry_count(script.entries);
            }
            for number in 0..script.engines {
                let record = target_record(number, &script, &service, &model, &zone);
                table.apply_target(0, &TargetStatus { record, silent: false, age_millis: 0 }, now);
            }
            LoadEntry { table, queue: WaitQueue::new(script.waiting) }
        };
        Self {
            entries: (0..script.entries).map(entry).collect(),
            engines: (0..script.engines).map(|_| BatchEngine::new(script.engine, now)).collect(),
            script,
            service,
            model,
            due: IndexMap::new(),
            returning: Vec::new(),
            returned: IndexSet::new(),
            placed: IndexMap::new(),
            in_outage: false,
            reports: VecDeque::new(),
            result: LoadResult::default(),
        }
    }

    fn work(&mut self, now: Instant) {
        for engine in 0..self.engines.len() {
            for event in self.engines[engine].advance_to(now) {
                match event {
                    EngineEvent::FirstEvent(id) => self.began(id, now),
                    EngineEvent::LastEvent(id) => self.ended(id, now),
                }
            }
        }
    }

    fn began(&mut self, id: u64, now: Instant) {
        let Some(placed) = self.placed.get(&id) else { return };
        let table = &mut self.entries[placed.entry].table;
        table.record_first_byte(&target_id(placed.target), placed.sent, now);
        if now - placed.due <= self.script.latency_objective {
            self.result.in_time += 1;
        } else {
            self.result.late += 1;
        }
    }

    fn ended(&mut self, id: u64, now: Instant) {
        let Some(placed) = self.placed.swap_remove(&id) else { return };
        let table = &mut self.entries[placed.entry].table;
        table.finish_attempt(&target_id(placed.target), AttemptOutcome::Answered, now);
    }

    fn begin_or_end_outage(&mut self, elapsed: Duration, now: Instant) {
        let in_outage = self.script.outage.is_some_and(|(from, to)| (from..to).contains(&elapsed));
        if in_outage == self.in_outage {
            return;
        }
        self.in_outage = in_outage;
        let held = HeldModel { model: self.model.clone(), version: 1 };
        for number in 0..self.engines.len() {
            let news = EngineStatus {
                address: address(number),
                incarnation: Incarnation::UNSTATED,
                models: vec![held.clone()],
                loading: in_outage,
                stalled: false,
                link_delay_millis: 0,
                age_millis: 0,
            };
            for entry in &mut self.entries {
                entry.table.apply_engine(&news, now);
            }
        }
    }

    fn report(&mut self, now: Instant) {
        let busy = self.engines.iter().map(|engine| engine.request_count() as u32).collect();
        self.reports.push_back((now + REPORT_AGE, busy));
    }

    fn hear(&mut self, now: Instant) {
        while self.reports.front().is_some_and(|(at, _)| *at <= now) {
            let Some((_, busy)) = self.reports.pop_front() else { return };
            for entry in &mut self.entries {
                for (number, busy) in busy.iter().enumerate() {
                    entry.table.record_load_at(address(number), *busy, now - REPORT_AGE);
                }
            }
        }
    }

    fn arrive(&mut self, id: u64, now: Instant) {
        let at = rand::random_range(0..self.entries.len());
        if self.entries[at].queue.is_empty() && self.place(at, id, now) {
            return;
        }
        if self.in_outage {
            return self.hold_or_refuse(at, id, now);
        }
        let usual = self.entries[at].table.median_first_byte(&self.service, now);
        let trying_for = self.due.get(&id).map_or(Duration::ZERO, |due| now - *due);
        let known = if self.script.late_requests_last { trying_for } else { Duration::ZERO };
        let claim = WaitUrgency::new(1, self.script.latency_objective, known);
        let queue = &mut self.entries[at].queue;
        let give_up_at = now + queue.wait_limit(&claim, usual);
        if queue.push(&claim, give_up_at, id, now).is_err() {
            self.refuse(at, id, now);
        }
    }

    fn hold_or_refuse(&mut self, at: usize, id: u64, now: Instant) {
        let claim = WaitUrgency::new(1, self.script.latency_objective, Duration::ZERO).for_outage();
        let queue = &mut self.entries[at].queue;
        let give_up_at = now + queue.outage_limit();
        if !self.script.queues_during_outage
            || queue.push_without_prediction(&claim, give_up_at, id).is_err()
        {
            self.refuse(at, id, now);
        }
    }

    fn refuse(&mut self, at: usize, id: u64, now: Instant) {
        self.entries[at].queue.record_rejected(now);
        if self.returned.insert(id) {
            let after = self.entries[at].queue.retry_after(rand::random());
            self.returning.push((now + after, id));
        } else {
            self.result.rejected += 1;
        }
    }

    fn come_back(&mut self, now: Instant) {
        let (due, later) = self.returning.drain(..).partition(|(at, _)| *at <= now);
        self.returning = later;
        let due: Vec<(Instant, u64)> = due;
        for (_, id) in due {
            self.arrive(id, now);
        }
    }

    fn pump(&mut self, now: Instant) {
        for at in 0..self.entries.len() {
            for id in self.entries[at].queue.remove_expired(now) {
                self.refuse(at, id, now);
            }
            loop {
                let first = self.entries[at].queue.iter().next().map(|(ticket, id)| (ticket, *id));
                let Some((ticket, id)) = first else { break };
                if !self.place(at, id, now) {
                    break;
                }
                self.entries[at].queue.remove(ticket);
            }
        }
    }

    fn is_late(&self, id: u64, now: Instant) -> bool {
        self.due.get(&id).is_some_and(|due| now - *due >= self.script.latency_objective)
    }

    fn place(&mut self, at: usize, id: u64, now: Instant) -> bool {
        let late = self.script.late_requests_last && self.is_late(id, now);
        let need = PlacementQuery {
            service: &self.service,
            model: Some(&self.model),
            tried: &[],
            late,
            first_byte_deadline: None,
        };
        let PlacementOutcome::Target(target) = self.entries[at].table.choose(&need, now) else {
            return false;
        };
        self.entries[at].table.start_attempt(&target, now);
        self.entries[at].table.record_sent(&target, now);
        let queue = &mut self.entries[at].queue;
        if late {
            queue.record_late_placed(now)
        } else {
            queue.record_placed(now)
        }
        let number: usize = target.name.parse().expect("targets are named by number");
        self.engines[number].enqueue(id, now);
        let due = self.due.swap_remove(&id).unwrap_or(now);
        self.placed.insert(id, PlacedRequest { due, sent: now, entry: at, target: number });
        true
    }
}

fn target_id(number: usize) -> TargetId {
    TargetId::unstated(number.to_string())
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 1_000 + number as u16))
}

fn target_record(
    number: usize,
    script: &LoadScript,
    service: &ServiceName,
    model: &ModelName,
    zone: &ZoneName,
) -> TargetRecord {
    TargetRecord {
        id: target_id(number),
        service: service.clone(),
        address: address(number),
        zone: zone.clone(),
        slots: script.engine.slots as u32,
        state: TargetState::Ready,
        sequence: 1,
        cold_millis: 0,
        models: vec![HeldModel { model: model.clone(), version: 1 }],
    }
}

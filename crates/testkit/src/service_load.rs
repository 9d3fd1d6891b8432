//! Simulates a service under load: several entries, each with its own target table and wait queue,
//! place requests on simulated engines, whose load reports arrive with a delay.

use crate::batch_engine::{BatchEngine, EngineEvent, EngineParams};
use egretseam_proto::{ModelName, ServiceName, ZoneName};
use egretseam_serving::{
    AttemptOutcome, EngineStatus, HeldModel, Incarnation, PlacementOutcome, PlacementPolicy,
    PlacementQuery, RequestPriority, TargetId, TargetRecord, TargetState, TargetStatus,
    TargetTable, WaitPolicy, WaitQueue, WaitUrgency,
};
use indexmap::{IndexMap, IndexSet};
use std::{collections::VecDeque, net::SocketAddr, time::Duration};
use tokio::time::Instant;

/// Resolution of the simulated time.
const TIME_STEP: Duration = Duration::from_millis(5);
/// Time between two load reports of an engine.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Time from the creation of a load report until entries receive it.
const REPORT_DELAY: Duration = Duration::from_millis(280);

/// Parameters of one simulation.
#[derive(Clone, Copy, Debug)]
pub struct LoadScript {
    /// Number of entries.
    pub entries: usize,
    /// Number of engines.
    pub engines: usize,
    /// Mean rate of new requests outside of the burst.
    pub requests_per_second: f64,
    /// Simulated time.
    pub duration: Duration,
    /// Factor on the request rate, and the start and end of the burst in which it applies.
    pub burst: (f64, Duration, Duration),
    /// Start and end of an outage, in which all engines report that they are loading weights, so
    /// that entries place no requests.
    pub outage: Option<(Duration, Duration)>,
    /// Whether entries queue requests in an outage instead of rejecting them at once.
    pub queues_during_outage: bool,
    /// Longest time to the first event of a response that counts as in time.
    pub latency_objective: Duration,
    /// Whether retries and late requests wait behind new requests.
    pub late_requests_last: bool,
    /// Whether each entry knows how many entries send to the same engines.
    pub knows_entry_count: bool,
    /// How entries choose targets.
    pub placement: PlacementPolicy,
    /// How entries queue requests.
    pub waiting: WaitPolicy,
    /// Parameters of every engine.
    pub engine: EngineParams,
}

/// Totals of one simulation.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadResult {
    /// Requests that callers sent, without retries.
    pub requests: u32,
    /// Responses whose first event came within the latency objective.
    pub in_time: u32,
    /// Responses whose first event came later.
    pub late: u32,
    /// Requests that were rejected twice; each caller retries once.
    pub rejected: u32,
}

struct SimulatedEntry {
    table: TargetTable,
    queue: WaitQueue<u64>,
}

struct PlacedRequest {
    arrived_at: Instant,
    sent: Instant,
    entry: usize,
    target: usize,
}

/// State of a running simulation.
struct LoadSimulation {
    script: LoadScript,
    service: ServiceName,
    model: ModelName,
    entries: Vec<SimulatedEntry>,
    engines: Vec<BatchEngine>,
    arrivals: IndexMap<u64, Instant>,
    /// Requests that were rejected once, with the time of their retry.
    retries: Vec<(Instant, u64)>,
    retried: IndexSet<u64>,
    placed: IndexMap<u64, PlacedRequest>,
    in_outage: bool,
    /// Load reports in flight: when they arrive, and the number of requests at each engine.
    reports: VecDeque<(Instant, Vec<u32>)>,
    result: LoadResult,
}

/// Runs one simulation.
///
/// # Panics
/// Panics if a table chooses a target that does not exist.
pub fn simulate_load(script: &LoadScript) -> LoadResult {
    let start = Instant::now();
    let mut simulation = LoadSimulation::new(*script, start);
    let mut now = start;
    let mut accrued_requests = 0.0;
    let mut last_id = 0;
    let mut report_due = start;
    while now < start + script.duration {
        now += TIME_STEP;
        simulation.advance_engines(now);
        simulation.update_outage(now - start, now);
        if now >= report_due {
            report_due += REPORT_INTERVAL;
            simulation.send_reports(now);
        }
        simulation.deliver_reports(now);
        let (factor, from, to) = script.burst;
        let in_burst = (from..to).contains(&(now - start));
        let rate = script.requests_per_second * if in_burst { factor } else { 1.0 };
        accrued_requests += rate * TIME_STEP.as_secs_f64() * rand::random_range(0.0..2.0);
        while accrued_requests >= 1.0 {
            accrued_requests -= 1.0;
            last_id += 1;
            simulation.result.requests += 1;
            simulation.arrivals.insert(last_id, now);
            simulation.place_or_queue(last_id, now);
        }
        simulation.send_due_retries(now);
        simulation.dispatch_waiting(now);
    }
    simulation.result
}

impl LoadSimulation {
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
            SimulatedEntry { table, queue: WaitQueue::new(script.waiting) }
        };
        Self {
            entries: (0..script.entries).map(entry).collect(),
            engines: (0..script.engines).map(|_| BatchEngine::new(script.engine, now)).collect(),
            script,
            service,
            model,
            arrivals: IndexMap::new(),
            retries: Vec::new(),
            retried: IndexSet::new(),
            placed: IndexMap::new(),
            in_outage: false,
            reports: VecDeque::new(),
            result: LoadResult::default(),
        }
    }

    fn advance_engines(&mut self, now: Instant) {
        for engine in 0..self.engines.len() {
            for event in self.engines[engine].advance_to(now) {
                match event {
                    EngineEvent::FirstEvent(id) => self.record_first_event(id, now),
                    EngineEvent::LastEvent(id) => self.record_last_event(id, now),
                }
            }
        }
    }

    fn record_first_event(&mut self, id: u64, now: Instant) {
        let Some(placed) = self.placed.get(&id) else { return };
        let table = &mut self.entries[placed.entry].table;
        table.record_first_byte(&target_id(placed.target), placed.sent, now);
        if now - placed.arrived_at <= self.script.latency_objective {
            self.result.in_time += 1;
        } else {
            self.result.late += 1;
        }
    }

    fn record_last_event(&mut self, id: u64, now: Instant) {
        let Some(placed) = self.placed.swap_remove(&id) else { return };
        let table = &mut self.entries[placed.entry].table;
        table.finish_attempt(&target_id(placed.target), AttemptOutcome::Answered, now);
    }

    fn update_outage(&mut self, elapsed: Duration, now: Instant) {
        let in_outage = self.script.outage.is_some_and(|(from, to)| (from..to).contains(&elapsed));
        if in_outage == self.in_outage {
            return;
        }
        self.in_outage = in_outage;
        let loaded = HeldModel { model: self.model.clone(), version: 1 };
        for number in 0..self.engines.len() {
            let status = EngineStatus {
                address: address(number),
                incarnation: Incarnation::UNSTATED,
                models: vec![loaded.clone()],
                loading: in_outage,
                stalled: false,
                link_delay_millis: 0,
                age_millis: 0,
            };
            for entry in &mut self.entries {
                entry.table.apply_engine(&status, now);
            }
        }
    }

    fn send_reports(&mut self, now: Instant) {
        let request_counts =
            self.engines.iter().map(|engine| engine.request_count() as u32).collect();
        self.reports.push_back((now + REPORT_DELAY, request_counts));
    }

    fn deliver_reports(&mut self, now: Instant) {
        while self.reports.front().is_some_and(|(at, _)| *at <= now) {
            let Some((_, request_counts)) = self.reports.pop_front() else { return };
            for entry in &mut self.entries {
                for (number, request_count) in request_counts.iter().enumerate() {
                    entry.table.record_load_at(address(number), *request_count, now - REPORT_DELAY);
                }
            }
        }
    }

    fn place_or_queue(&mut self, id: u64, now: Instant) {
        let entry = rand::random_range(0..self.entries.len());
        if self.entries[entry].queue.is_empty() && self.try_place(entry, id, now) {
            return;
        }
        if self.in_outage {
            return self.queue_for_outage_end(entry, id, now);
        }
        let median_first_byte = self.entries[entry].table.median_first_byte(&self.service, now);
        let time_since_arrival =
            self.arrivals.get(&id).map_or(Duration::ZERO, |arrived_at| now - *arrived_at);
        let counted_wait =
            if self.script.late_requests_last { time_since_arrival } else { Duration::ZERO };
        let urgency = WaitUrgency::new(
            RequestPriority::new(None, 1),
            self.script.latency_objective,
            counted_wait,
        );
        let queue = &mut self.entries[entry].queue;
        let deadline = now + queue.wait_limit(&urgency, median_first_byte);
        if queue.push(&urgency, deadline, id, now).is_err() {
            self.reject(entry, id, now);
        }
    }

    fn queue_for_outage_end(&mut self, entry: usize, id: u64, now: Instant) {
        let urgency = WaitUrgency::new(
            RequestPriority::new(None, 1),
            self.script.latency_objective,
            Duration::ZERO,
        )
        .for_outage();
        let queue = &mut self.entries[entry].queue;
        let deadline = now + queue.outage_limit();
        if !self.script.queues_during_outage
            || queue.push_without_prediction(&urgency, deadline, id).is_err()
        {
            self.reject(entry, id, now);
        }
    }

    fn reject(&mut self, entry: usize, id: u64, now: Instant) {
        self.entries[entry].queue.record_rejected(now);
        if self.retried.insert(id) {
            let delay = self.entries[entry].queue.retry_after(rand::random());
            self.retries.push((now + delay, id));
        } else {
            self.result.rejected += 1;
        }
    }

    fn send_due_retries(&mut self, now: Instant) {
        let (due, later) = self.retries.drain(..).partition(|(at, _)| *at <= now);
        self.retries = later;
        let due: Vec<(Instant, u64)> = due;
        for (_, id) in due {
            self.place_or_queue(id, now);
        }
    }

    fn dispatch_waiting(&mut self, now: Instant) {
        for entry in 0..self.entries.len() {
            for id in self.entries[entry].queue.remove_expired(now) {
                self.reject(entry, id, now);
            }
            loop {
                let first =
                    self.entries[entry].queue.iter().next().map(|(ticket, id)| (ticket, *id));
                let Some((ticket, id)) = first else { break };
                if !self.try_place(entry, id, now) {
                    break;
                }
                self.entries[entry].queue.remove(ticket);
            }
        }
    }

    fn is_late(&self, id: u64, now: Instant) -> bool {
        self.arrivals
            .get(&id)
            .is_some_and(|arrived_at| now - *arrived_at >= self.script.latency_objective)
    }

    fn try_place(&mut self, entry: usize, id: u64, now: Instant) -> bool {
        let late = self.script.late_requests_last && self.is_late(id, now);
        let query = PlacementQuery {
            service: &self.service,
            model: Some(&self.model),
            tried: &[],
            late,
            reserved_share: None,
            first_byte_deadline: None,
            regions: None,
        };
        let PlacementOutcome::Target(target) = self.entries[entry].table.choose(&query, now) else {
            return false;
        };
        self.entries[entry].table.start_attempt(&target, now);
        self.entries[entry].table.record_sent(&target, now);
        let queue = &mut self.entries[entry].queue;
        let trying_for = if late { self.script.latency_objective } else { Duration::ZERO };
        let priority = RequestPriority::new(None, 1);
        let urgency = WaitUrgency::new(priority, self.script.latency_objective, trying_for);
        queue.record_placed(&urgency, now);
        let number: usize = target.name.parse().expect("a target's name is its number");
        self.engines[number].enqueue(id, now);
        let arrived_at = self.arrivals.swap_remove(&id).unwrap_or(now);
        self.placed.insert(id, PlacedRequest { arrived_at, sent: now, entry, target: number });
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

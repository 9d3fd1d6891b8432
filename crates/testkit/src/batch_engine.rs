//! A simulated engine with continuous batching: it works in iterations, each over all running
//! requests.

use std::{collections::VecDeque, time::Duration};
use tokio::time::Instant;

/// Speed and capacity of a simulated engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineParams {
    /// Requests that run at the same time.
    pub slots: usize,
    /// Duration of an iteration without prefill; each decoding request generates one event in it.
    pub iteration_time: Duration,
    /// Prefill of one prompt; it lengthens the iteration in which the prompt is admitted.
    pub prefill_time: Duration,
    /// Events of a response.
    pub response_events: u32,
}

impl Default for EngineParams {
    /// Sixteen slots, iterations of six decode steps of about 7 ms each, and a prompt and a
    /// response of mean length.
    fn default() -> Self {
        Self {
            slots: 16,
            iteration_time: Duration::from_millis(43),
            prefill_time: Duration::from_millis(32),
            response_events: 20,
        }
    }
}

/// Progress of a request in an iteration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// Its first event was generated.
    FirstEvent(u64),
    /// Its last event was generated.
    LastEvent(u64),
}

struct DecodingRequest {
    id: u64,
    events_left: u32,
}

/// A simulated engine.
pub struct BatchEngine {
    params: EngineParams,
    queue: VecDeque<u64>,
    /// Requests whose prompts are prefilled in the current iteration.
    prefilling: Vec<u64>,
    decoding: Vec<DecodingRequest>,
    iteration_end: Instant,
    idle: bool,
}

impl BatchEngine {
    /// An idle engine.
    pub fn new(params: EngineParams, now: Instant) -> Self {
        Self {
            params,
            queue: VecDeque::new(),
            prefilling: Vec::new(),
            decoding: Vec::new(),
            iteration_end: now,
            idle: true,
        }
    }

    /// Queues a request; an idle engine starts an iteration.
    pub fn enqueue(&mut self, id: u64, now: Instant) {
        self.queue.push_back(id);
        if self.idle {
            self.begin_iteration(now);
        }
    }

    /// Requests that run or are queued.
    pub fn request_count(&self) -> usize {
        self.queue.len() + self.prefilling.len() + self.decoding.len()
    }

    /// Runs all iterations that end by `now`; returns their events.
    pub fn advance_to(&mut self, now: Instant) -> Vec<EngineEvent> {
        let mut events = Vec::new();
        while !self.idle && self.iteration_end <= now {
            self.end_iteration(&mut events);
            self.begin_iteration(self.iteration_end);
        }
        events
    }

    fn begin_iteration(&mut self, now: Instant) {
        let free_slots = self.params.slots.saturating_sub(self.decoding.len());
        self.prefilling = self.queue.drain(..free_slots.min(self.queue.len())).collect();
        self.idle = self.prefilling.is_empty() && self.decoding.is_empty();
        let prefill_time = self.params.prefill_time * self.prefilling.len() as u32;
        self.iteration_end = now + self.params.iteration_time + prefill_time;
    }

    fn end_iteration(&mut self, events: &mut Vec<EngineEvent>) {
        for id in self.prefilling.drain(..) {
            events.push(EngineEvent::FirstEvent(id));
            self.decoding.push(DecodingRequest { id, events_left: self.params.response_events });
        }
        for request in &mut self.decoding {
            request.events_left -= 1;
            if request.events_left == 0 {
                events.push(EngineEvent::LastEvent(request.id));
            }
        }
        self.decoding.retain(|request| request.events_left > 0);
    }
}

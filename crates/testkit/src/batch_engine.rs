//! A model of an engine that works on its requests in passes.

use std::{collections::VecDeque, time::Duration};
use tokio::time::Instant;

/// How an engine works.
#[derive(Clone, Copy, Debug)]
pub struct EngineParams {
    /// Requests that write at the same time.
    pub slots: usize,
    /// One pass, in which every request that writes makes one event.
    pub step_time: Duration,
    /// Reading one prompt, which lengthens the pass in which it is read.
    pub prefill_time: Duration,
    /// Events of an answer.
    pub response_events: u32,
}

impl Default for EngineParams {
    /// Sixteen slots, passes of six steps of about 7 ms, and a mean prompt and answer.
    fn default() -> Self {
        Self {
            slots: 16,
            step_time: Duration::from_millis(43),
            prefill_time: Duration::from_millis(32),
            response_events: 20,
        }
    }
}

/// What became of a request in a pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// Its first event was made.
    FirstEvent(u64),
    /// Its last event was made.
    LastEvent(u64),
}

struct WritingRequest {
    id: u64,
    left: u32,
}

/// One engine.
pub struct BatchEngine {
    model: EngineParams,
    queue: VecDeque<u64>,
    /// Read in the present pass.
    reading: Vec<u64>,
    writing: Vec<WritingRequest>,
    pass_ends: Instant,
    idle: bool,
}

impl BatchEngine {
    /// An engine with nothing to do.
    pub fn new(model: EngineParams, now: Instant) -> Self {
        Self {
            model,
            queue: VecDeque::new(),
            reading: Vec::new(),
            writing: Vec::new(),
            pass_ends: now,
            idle: true,
        }
    }

    /// A request arrives.
    pub fn enqueue(&mut self, id: u64, now: Instant) {
        self.queue.push_back(id);
        if self.idle {
            self.begin_pass(now);
        }
    }

    /// Requests that run or wait.
    pub fn request_count(&self) -> usize {
        self.queue.len() + self.reading.len() + self.writing.len()
    }

    /// Works up to `now`; returns what happened.
    pub fn advance_to(&mut self, now: Instant) -> Vec<EngineEvent> {
        let mut events = Vec::new();
        while !self.idle && self.pass_ends <= now {
            self.end_pass(&mut events);
            self.begin_pass(self.pass_ends);
        }
        events
    }

    fn begin_pass(&mut self, now: Instant) {
        let free = self.model.slots.saturating_sub(self.writing.len());
        self.reading = self.queue.drain(..free.min(self.queue.len())).collect();
        self.idle = self.reading.is_empty() && self.writing.is_empty();
        let reading = self.model.prefill_time * self.reading.len() as u32;
        self.pass_ends = now + self.model.step_time + reading;
    }

    fn end_pass(&mut self, events: &mut Vec<EngineEvent>) {
        for id in self.reading.drain(..) {
            events.push(EngineEvent::FirstEvent(id));
            self.writing.push(WritingRequest { id, left: self.model.response_events });
        }
        for request in &mut self.writing {
            request.left -= 1;
            if request.left == 0 {
                events.push(EngineEvent::LastEvent(request.id));
            }
        }
        self.writing.retain(|request| request.left > 0);
    }
}

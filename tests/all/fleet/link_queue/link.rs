//! Test fixture: simulated links, which transmit segments in sequence and carry live traffic.

use indexmap::IndexMap;
use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::Rc,
    time::Duration,
};
use tokio::{
    sync::{OwnedSemaphorePermit, mpsc},
    time::Instant,
};

const CLOCK_INTERVAL: Duration = Duration::from_millis(1);

/// Interval at which two events of live responses are sent; a request arrives at every fifth.
const EVENT_INTERVAL: Duration = Duration::from_micros(12_500);
const EVENT_BYTES: usize = 150;
const EVENTS_PER_REQUEST: u32 = 5;
pub(super) const REQUEST_BYTES: usize = 600;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum TrafficKind {
    PartIn,
    CrossPartIn,
    /// A part that entered the link of its sender while that was slow.
    HeldUpPartIn,
    PartOut,
    CrossPartOut,
    OriginChunk,
    /// A part of a chunk of the origin, from an entry.
    OriginPart,
    /// Calls, receipts, chunk sets, probes and reports.
    Overhead,
    LiveRequest,
    LiveEvent,
}

pub(super) const PARTS: [TrafficKind; 5] = [
    TrafficKind::PartIn,
    TrafficKind::CrossPartIn,
    TrafficKind::HeldUpPartIn,
    TrafficKind::PartOut,
    TrafficKind::CrossPartOut,
];

pub(super) struct SegmentPayload {
    pub(super) bytes: Vec<u8>,
    pub(super) to: mpsc::UnboundedSender<(Vec<u8>, OwnedSemaphorePermit)>,
    pub(super) permit: OwnedSemaphorePermit,
}

pub(super) struct LinkSegment {
    pub(super) kind: TrafficKind,
    pub(super) length: usize,
    /// Links still to pass after the present one.
    pub(super) route: VecDeque<Rc<SimulatedLink>>,
    /// `None` for live traffic.
    pub(super) payload: Option<SegmentPayload>,
}

/// A link that transmits segments in sequence.
pub(super) struct SimulatedLink {
    pub(super) rate: Cell<f64>,
    /// Bytes that may be transmitted by now.
    credit: Cell<f64>,
    queue: RefCell<VecDeque<LinkSegment>>,
    pub(super) queued: RefCell<IndexMap<TrafficKind, usize>>,
    /// Bytes that have entered the queue since the start.
    entered: RefCell<IndexMap<TrafficKind, usize>>,
}

impl SimulatedLink {
    pub(super) fn new(rate: f64) -> Rc<Self> {
        Rc::new(Self {
            rate: Cell::new(rate),
            credit: Cell::new(0.0),
            queue: RefCell::default(),
            queued: RefCell::default(),
            entered: RefCell::default(),
        })
    }

    pub(super) fn push(&self, segment: LinkSegment) {
        *self.queued.borrow_mut().entry(segment.kind).or_default() += segment.length;
        *self.entered.borrow_mut().entry(segment.kind).or_default() += segment.length;
        self.queue.borrow_mut().push_back(segment);
    }

    pub(super) fn entered(&self, kinds: &[TrafficKind]) -> usize {
        let entered = self.entered.borrow();
        kinds.iter().filter_map(|kind| entered.get(kind)).sum()
    }

    pub(super) fn queued(&self, kind: TrafficKind) -> usize {
        self.queued.borrow().get(&kind).copied().unwrap_or(0)
    }

    /// Transmits what the link carries in `elapsed`.
    fn advance(&self, elapsed: Duration) {
        self.credit.set(self.credit.get() + self.rate.get() * elapsed.as_secs_f64());
        while let Some(segment) = self.next_transmitted() {
            self.credit.set(self.credit.get() - segment.length as f64);
            *self.queued.borrow_mut().entry(segment.kind).or_default() -= segment.length;
            forward(segment);
        }
        if self.queue.borrow().is_empty() {
            self.credit.set(0.0);
        }
    }

    fn next_transmitted(&self) -> Option<LinkSegment> {
        let credit = self.credit.get();
        self.queue.borrow_mut().pop_front_if(|segment| segment.length as f64 <= credit)
    }
}

/// The time of the links and of live traffic, which stands still while this process is not running.
#[derive(Default)]
pub(super) struct LinkClock {
    pub(super) now: Cell<Duration>,
    /// Time that it stood still.
    pub(super) paused: Cell<Duration>,
}

impl LinkClock {
    /// Advances the links, and sends live traffic over the first.
    pub(super) fn start(links: Vec<Rc<SimulatedLink>>) -> Rc<Self> {
        const MAX_STEP: Duration = Duration::from_millis(5);
        let clock = Rc::new(Self::default());
        let running = clock.clone();
        actix_rt::spawn(async move {
            let mut advanced_at = Instant::now();
            let mut live = LiveTraffic::default();
            loop {
                tokio::time::sleep(CLOCK_INTERVAL).await;
                let elapsed = advanced_at.elapsed();
                advanced_at += elapsed;
                let step = elapsed.min(MAX_STEP);
                running.now.set(running.now.get() + step);
                running.paused.set(running.paused.get() + (elapsed - step));
                live.send_until(running.now.get(), &links[0]);
                links.iter().for_each(|link| link.advance(step));
            }
        });
        clock
    }

    pub(super) async fn wait_until(&self, at: Duration) {
        while self.now.get() < at {
            tokio::time::sleep(CLOCK_INTERVAL).await;
        }
    }
}

/// Requests and events of live responses.
#[derive(Default)]
struct LiveTraffic {
    ticks: u32,
}

impl LiveTraffic {
    fn send_until(&mut self, now: Duration, link: &SimulatedLink) {
        let send = |kind, length| {
            link.push(LinkSegment { kind, length, route: VecDeque::new(), payload: None });
        };
        while EVENT_INTERVAL * self.ticks < now {
            send(TrafficKind::LiveEvent, 2 * EVENT_BYTES);
            if self.ticks.is_multiple_of(EVENTS_PER_REQUEST) {
                send(TrafficKind::LiveRequest, REQUEST_BYTES);
            }
            self.ticks += 1;
        }
    }
}

/// Passes a segment to the next link of its route, or to its receiver.
pub(super) fn forward(mut segment: LinkSegment) {
    if let Some(next) = segment.route.pop_front() {
        next.push(segment);
    } else if let Some(payload) = segment.payload {
        payload.to.send((payload.bytes, payload.permit)).ok();
    }
}

//! How urgent a request is that waits for a slot.

use crate::admission_shares::AdmissionPosition;
use std::time::Duration;

/// Priority of a request: that of its organisation, then that of its route; lower goes first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestPriority {
    organisation: Option<u8>,
    route: u8,
}

impl RequestPriority {
    /// The priority of a request; organisations need not have one.
    pub fn new(organisation: Option<u8>, route: u8) -> Self {
        Self { organisation, route }
    }

    /// The route's priority.
    pub fn route(self) -> u8 {
        self.route
    }
}

/// Priority of organisations without one where routes decide.
const USUAL_ORGANISATION: u8 = 1;

/// Groups of waiting requests, each served before the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum WaitGroup {
    /// Streams that broke off: their callers have part of the answer and see a pause.
    Resumed,
    /// Requests that can still meet their latency objective, and, where priorities are in use, late
    /// ones at a later position.
    Usual,
    /// Requests that have missed their latency objective, to which a longer wait does no further
    /// harm.
    Late,
}

/// Order in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct WaitRank {
    group: WaitGroup,
    organisation: u8,
    /// Position among priorities, or the priority itself where only one is in use.
    position: u8,
    is_late: bool,
}

impl WaitRank {
    fn new(priority: RequestPriority, admission: Option<AdmissionPosition>, is_late: bool) -> Self {
        let RequestPriority { organisation, route } = priority;
        let Some(position) = admission else {
            let group = if is_late { WaitGroup::Late } else { WaitGroup::Usual };
            let organisation = organisation.unwrap_or(route);
            return Self { group, organisation, position: route, is_late };
        };
        let position = if is_late { position.late() } else { position };
        let organisation = organisation.unwrap_or(USUAL_ORGANISATION);
        Self { group: WaitGroup::Usual, organisation, position: position.number(), is_late }
    }

    const RESUMED: Self =
        Self { group: WaitGroup::Resumed, organisation: 0, position: 0, is_late: false };

    pub(super) fn is_resumed(self) -> bool {
        self.group == WaitGroup::Resumed
    }

    pub(super) fn is_late(self) -> bool {
        self.is_late
    }

    /// Whether requests of this rank yield slots to others, so that the rate at which slots come
    /// free does not determine how long they wait.
    pub(super) fn yields(self, admission: Option<AdmissionPosition>) -> bool {
        self.is_late || admission.is_some_and(|position| position.number() > 0)
    }

    /// Whether two requests wait for the same slots, apart from the priorities of organisations.
    pub(super) fn competes_with(self, other: Self) -> bool {
        (self.group, self.position) == (other.group, other.position)
    }
}

/// What the limit of a request's wait and its order in the queue follow from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitUrgency {
    pub(super) rank: WaitRank,
    priority: RequestPriority,
    /// Position of the request, if several priorities are in use at its service.
    pub(super) admission: Option<AdmissionPosition>,
    /// Latency objective of the request.
    pub(super) objective: Duration,
    /// Part of the objective that is left.
    pub(super) objective_left: Duration,
}

impl WaitUrgency {
    /// The urgency of a request whose caller has been trying for `trying_for`.
    pub fn new(priority: RequestPriority, objective: Duration, trying_for: Duration) -> Self {
        let objective_left = objective.saturating_sub(trying_for);
        let rank = WaitRank::new(priority, None, objective_left.is_zero());
        Self { rank, priority, admission: None, objective, objective_left }
    }

    /// The same at a position among the priorities in use.
    pub fn at_position(self, admission: Option<AdmissionPosition>) -> Self {
        if self.rank.is_resumed() {
            return self;
        }
        let rank = WaitRank::new(self.priority, admission, self.rank.is_late());
        Self { rank, admission, ..self }
    }

    /// Whether the request has missed its latency objective, or will by waiting for the end of an
    /// outage.
    pub fn is_late(&self) -> bool {
        self.rank.is_late()
    }

    /// The urgency of a request that waits for the end of an outage: it will be late, and queues
    /// behind those that will not.
    pub fn for_outage(self) -> Self {
        if self.rank.is_resumed() {
            return self;
        }
        Self { rank: WaitRank::new(self.priority, self.admission, true), ..self }
    }

    /// The urgency of a stream that broke off after it had begun.
    pub fn resumed() -> Self {
        Self {
            rank: WaitRank::RESUMED,
            priority: RequestPriority::default(),
            admission: None,
            objective: Duration::ZERO,
            objective_left: Duration::ZERO,
        }
    }

    /// Position of the request, later if it is late; `None` if no other priorities are in use.
    fn position(&self) -> Option<AdmissionPosition> {
        self.admission.map(|position| if self.is_late() { position.late() } else { position })
    }

    /// Share of a target's slots that the request leaves to more urgent ones; `None` if no other
    /// priorities are in use.
    pub fn reserved_share(&self) -> Option<f64> {
        self.position().map(AdmissionPosition::reserved_share)
    }

    /// Priority of the request in an engine, which admits lower ones first: 0 for a resumed stream,
    /// and from 1 on where several priorities are in use; `None` for the engine's default.
    pub fn engine_priority(&self) -> Option<u8> {
        const LOWEST: u8 = 9;
        if self.rank.is_resumed() {
            return Some(0);
        }
        self.position().map(|position| position.number().saturating_add(1).min(LOWEST))
    }
}

//! Dispatch of requests to targets: the targets, the requests that wait for a slot, and the slots
//! that requests occupy ([`SlotGuard`]).

mod slot_guard;

pub(crate) use self::slot_guard::SlotGuard;

use self::slot_guard::occupy_slot;
use crate::{permits, shared::GatewayShared};
use egretseam_proto::{ModelName, ServiceName};
use egretseam_serving::{
    AdmissionPosition, AdmissionShares, AllowedRegions, CostModel, PlacementOutcome,
    PlacementQuery, PredictedCost, TargetId, TargetTable, WaitPolicy, WaitQueue, WaitTicket,
    WaitUrgency,
};
use indexmap::IndexMap;
use std::{rc::Rc, time::Duration};
use tokio::{sync::oneshot, time::Instant};

/// Interval of dispatching waiting requests, in addition to when a slot is released. An entry's
/// estimate of a target's load decays with time, so a slot can become free without an event.
pub(crate) const DISPATCH_INTERVAL: Duration = Duration::from_millis(20);

/// Most different demands of waiting requests that are tried for free slots at a time.
const MAX_REFUSED_DEMANDS: usize = 8;

/// A request in a wait queue.
struct WaitingRequest {
    model: Option<ModelName>,
    tried: Vec<TargetId>,
    urgency: WaitUrgency,
    first_byte_deadline: Option<Instant>,
    regions: Option<AllowedRegions>,
    cost: PredictedCost,
    sender: oneshot::Sender<SlotGuard>,
}

impl WaitingRequest {
    fn query<'a>(&'a self, service: &'a ServiceName) -> PlacementQuery<'a> {
        PlacementQuery {
            service,
            model: self.model.as_ref(),
            tried: &self.tried,
            late: self.urgency.is_late(),
            reserved_share: self.urgency.reserved_share(),
            first_byte_deadline: self.first_byte_deadline,
            regions: self.regions.as_ref(),
        }
    }
}

/// Targets and wait queues of one entry.
pub(crate) struct DispatchState {
    pub(crate) targets: TargetTable,
    queues: IndexMap<ServiceName, WaitQueue<WaitingRequest>>,
    /// Recent requests of services with engines, by priority.
    admissions: IndexMap<ServiceName, AdmissionShares>,
    /// What requests of services with engines cost.
    costs: IndexMap<ServiceName, CostModel>,
    waiting: WaitPolicy,
}

impl DispatchState {
    pub(crate) fn new(targets: TargetTable, waiting: WaitPolicy) -> Self {
        Self {
            targets,
            queues: IndexMap::new(),
            admissions: IndexMap::new(),
            costs: IndexMap::new(),
            waiting,
        }
    }

    fn queue(&mut self, service: &ServiceName) -> &mut WaitQueue<WaitingRequest> {
        let waiting = self.waiting;
        self.queues.entry(service.clone()).or_insert_with(|| WaitQueue::new(waiting))
    }

    /// What requests of a service cost.
    pub(crate) fn cost_model(&mut self, service: &ServiceName) -> &mut CostModel {
        if !self.costs.contains_key(service) {
            self.costs.insert(service.clone(), CostModel::default());
        }
        &mut self.costs[service]
    }

    /// Counts a caller's request for a service with engines.
    pub(crate) fn record_arrived(&mut self, service: &ServiceName, priority: u8, now: Instant) {
        if let Some(shares) = self.admissions.get_mut(service) {
            return shares.record_arrived(priority, now);
        }
        let mut shares = AdmissionShares::new(now);
        shares.record_arrived(priority, now);
        self.admissions.insert(service.clone(), shares);
    }

    /// Counts a request that was placed at a target for the first time.
    pub(crate) fn record_first_placed(
        &mut self,
        service: &ServiceName,
        priority: u8,
        now: Instant,
    ) {
        if let Some(shares) = self.admissions.get_mut(service) {
            shares.record_placed(priority, now);
        }
    }

    /// Position of requests of a priority at a service; `None` if no other priorities are in use.
    pub(crate) fn admission(
        &self,
        service: &ServiceName,
        priority: u8,
    ) -> Option<AdmissionPosition> {
        self.admissions.get(service)?.position(priority)
    }

    /// Whether any request waits for a slot.
    pub(crate) fn has_waiters(&self) -> bool {
        self.queues.values().any(|queue| !queue.is_empty())
    }
}

/// A request for a slot at a target.
#[derive(Clone, Copy)]
pub(crate) struct SlotRequest<'a> {
    pub(crate) service: &'a ServiceName,
    pub(crate) model: Option<&'a ModelName>,
    pub(crate) tried: &'a [TargetId],
    pub(crate) urgency: WaitUrgency,
    /// See [`PlacementQuery::first_byte_deadline`].
    pub(crate) first_byte_deadline: Option<Instant>,
    /// Regions whose targets may get the request; `None` for all.
    pub(crate) regions: Option<&'a AllowedRegions>,
    /// What the request is likely to cost.
    pub(crate) cost: PredictedCost,
    /// When waiting ends at the latest.
    pub(crate) wait_deadline: Instant,
    /// Whether an attempt of the request runs. Its search counts for no prediction, and waits only
    /// for targets that exist.
    pub(crate) is_beside: bool,
}

impl<'a> SlotRequest<'a> {
    fn query(&self) -> PlacementQuery<'a> {
        PlacementQuery {
            service: self.service,
            model: self.model,
            tried: self.tried,
            late: self.urgency.is_late(),
            reserved_share: self.urgency.reserved_share(),
            first_byte_deadline: self.first_byte_deadline,
            regions: self.regions,
        }
    }
}

/// Result of a [`SlotRequest`].
pub(crate) enum SlotReply {
    /// A slot, occupied by the request.
    Acquired(SlotGuard),
    /// No slot was free in time; retry after this delay.
    Full(Duration),
    /// No target can run the request; retry after this delay.
    NoTarget(Duration),
}

/// Occupies a slot for a request: at once if one is free and no request in the queue of its service
/// goes before it, else after a wait in that queue.
pub(crate) async fn acquire_slot(
    shared: &Rc<GatewayShared>,
    request: &SlotRequest<'_>,
) -> SlotReply {
    let pending = match acquire_or_enqueue(shared, request) {
        Ok(reply) => return reply,
        Err(pending) => pending,
    };
    let wait_started_at = Instant::now();
    let PendingSlot { receiver, give_up_at, queue_guard } = pending;
    let slot = tokio::time::timeout_at(give_up_at, receiver).await;
    shared.metrics.wait_seconds.observe(wait_started_at.elapsed().as_secs_f64());
    drop(queue_guard);
    match slot {
        Ok(Ok(guard)) => SlotReply::Acquired(guard),
        Ok(Err(_)) | Err(_) => reject_full(shared, request),
    }
}

/// A queued request for a slot.
struct PendingSlot {
    receiver: oneshot::Receiver<SlotGuard>,
    give_up_at: Instant,
    queue_guard: QueueGuard,
}

/// Removes a request from its queue when dropped, because its wait has ended or its caller has
/// disconnected.
struct QueueGuard {
    shared: Rc<GatewayShared>,
    service: ServiceName,
    ticket: WaitTicket,
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        self.shared.dispatch.borrow_mut().queue(&self.service).remove(self.ticket);
    }
}

/// A slot or a rejection at once, else the place in the queue.
fn acquire_or_enqueue(
    shared: &Rc<GatewayShared>,
    request: &SlotRequest<'_>,
) -> Result<SlotReply, PendingSlot> {
    let now = Instant::now();
    let mut dispatch = shared.dispatch.borrow_mut();
    let query = request.query();
    let choice = permits::choose(shared, &mut dispatch.targets, &query, now);
    let queue = dispatch.queue(request.service);
    let goes_first = !queue.iter().any(|(ticket, waiting)| {
        let competes = waiting.regions.as_ref() == request.regions;
        competes
            && (request.urgency.reserved_share().is_none() || ticket.precedes(&request.urgency))
    });
    match &choice {
        PlacementOutcome::NoTarget if !dispatch.targets.expects_capacity(&query, now) => {
            let after = dispatch.queue(request.service).retry_after(rand::random());
            return Ok(SlotReply::NoTarget(after));
        }
        PlacementOutcome::Target(target) if goes_first => {
            dispatch.queue(request.service).record_placed(&request.urgency, now);
            let slot =
                occupy_slot(shared, &mut dispatch, request.service, target.clone(), request.cost);
            if let Some(guard) = slot {
                return Ok(SlotReply::Acquired(guard));
            }
        }
        _ => {}
    }
    if request.is_beside && !dispatch.targets.has_other(&query) {
        let after = dispatch.queue(request.service).retry_after(rand::random());
        return Ok(SlotReply::NoTarget(after));
    }
    enqueue(shared, &mut dispatch, request, &query, &choice, now)
}

/// Queues a request for a slot that was not placed at once, unless it would wait in vain. `choice`
/// says why it was not.
fn enqueue(
    shared: &Rc<GatewayShared>,
    dispatch: &mut DispatchState,
    request: &SlotRequest<'_>,
    query: &PlacementQuery<'_>,
    choice: &PlacementOutcome,
    now: Instant,
) -> Result<SlotReply, PendingSlot> {
    let in_outage = *choice == PlacementOutcome::NoTarget;
    let urgency = if in_outage { request.urgency.for_outage() } else { request.urgency };
    let median_first_byte = dispatch.targets.median_first_byte(request.service, now);
    let paced_room = dispatch.targets.paced_room(query, now).filter(|_| !in_outage);
    let queue = dispatch.queue(request.service);
    let limit = if in_outage {
        queue.outage_limit()
    } else {
        queue.wait_limit(&urgency, median_first_byte)
    };
    let give_up_at = (now + limit).min(request.wait_deadline);
    if let PlacementOutcome::Resting(rest_end) = *choice
        && rest_end > give_up_at
    {
        queue.record_rejected(now);
        shared.metrics.rests_rejected.inc();
        let wait = rest_end.saturating_duration_since(now);
        return Ok(SlotReply::Full(queue.retry_after_wait(wait, &urgency, rand::random())));
    }
    if let Some(room) = paced_room
        && room.wait(queue.ahead(&urgency)) > give_up_at.saturating_duration_since(now)
    {
        queue.record_rejected(now);
        shared.metrics.limits_rejected.inc();
        let after = queue.retry_after_at_rate(room.rate, rand::random(), now);
        return Ok(SlotReply::Full(after));
    }
    let (sender, receiver) = oneshot::channel();
    let waiting_request = WaitingRequest {
        model: request.model.cloned(),
        tried: request.tried.to_vec(),
        urgency,
        first_byte_deadline: request.first_byte_deadline,
        regions: request.regions.cloned(),
        cost: request.cost,
        sender,
    };
    let queued = if in_outage {
        queue.push_without_prediction(&urgency, give_up_at, waiting_request)
    } else {
        queue.push(&urgency, give_up_at, waiting_request, now)
    };
    let Ok(ticket) = queued else {
        queue.record_rejected(now);
        return Ok(SlotReply::Full(queue.retry_after(rand::random())));
    };
    let (shared, service) = (shared.clone(), request.service.clone());
    let queue_guard = QueueGuard { shared, service, ticket };
    Err(PendingSlot { receiver, give_up_at, queue_guard })
}

fn reject_full(shared: &GatewayShared, request: &SlotRequest<'_>) -> SlotReply {
    let mut dispatch = shared.dispatch.borrow_mut();
    let queue = dispatch.queue(request.service);
    if !request.is_beside {
        queue.record_rejected(Instant::now());
    }
    SlotReply::Full(queue.retry_after(rand::random()))
}

/// Dispatches the waiting requests of a service to free slots, most urgent first.
pub(crate) fn dispatch_waiting(shared: &Rc<GatewayShared>, service: &ServiceName) {
    let mut dispatched = Vec::new();
    {
        let now = Instant::now();
        let mut dispatch = shared.dispatch.borrow_mut();
        while let Some((ticket, target)) = next_dispatch(shared, &mut dispatch, service, now) {
            let Some(request) = dispatch.queue(service).remove(ticket) else { break };
            dispatch.queue(service).record_placed(&request.urgency, now);
            if let Some(guard) = occupy_slot(shared, &mut dispatch, service, target, request.cost) {
                dispatched.push((request.sender, guard));
            }
        }
    }
    for (sender, guard) in dispatched {
        // If the receiver has been dropped, so is the guard, and the slot goes to the next request.
        sender.send(guard).ok();
    }
}

/// Dispatches the waiting requests of all services to free slots.
pub(crate) fn dispatch_all(shared: &Rc<GatewayShared>) {
    let services: Vec<ServiceName> = {
        let dispatch = shared.dispatch.borrow();
        let waiting = dispatch.queues.iter().filter(|(_, queue)| !queue.is_empty());
        waiting.map(|(service, _)| service.clone()).collect()
    };
    for service in services {
        dispatch_waiting(shared, &service);
    }
}

fn next_dispatch(
    shared: &GatewayShared,
    dispatch: &mut DispatchState,
    service: &ServiceName,
    now: Instant,
) -> Option<(WaitTicket, TargetId)> {
    let DispatchState { targets, queues, .. } = dispatch;
    let queue = queues.get(service)?;
    let waiting = queue.len();
    let mut refused: Vec<SlotDemand<'_>> = Vec::new();
    for (ticket, request) in queue.iter() {
        let demand = SlotDemand::of(request);
        if refused.iter().any(|refused| demand.exceeds(refused)) {
            continue;
        }
        let query = request.query(service);
        match permits::choose_waiting(shared, targets, &query, waiting, now) {
            PlacementOutcome::Target(target) => return Some((ticket, target)),
            // This request excludes targets that others may still find a slot at.
            _ if !request.tried.is_empty() => {}
            _ if refused.len() >= MAX_REFUSED_DEMANDS => return None,
            _ => refused.push(demand),
        }
    }
    None
}

/// What a waiting request asks of its target.
///
/// Failure guarded: a request that can go to few targets, or leaves more slots free than others,
/// stands first in the queue and finds no target, and those behind it wait although slots are free.
struct SlotDemand<'a> {
    model: Option<&'a ModelName>,
    regions: Option<&'a AllowedRegions>,
    is_late: bool,
    reserved_share: Option<f64>,
}

impl<'a> SlotDemand<'a> {
    fn of(request: &'a WaitingRequest) -> Self {
        Self {
            model: request.model.as_ref(),
            regions: request.regions.as_ref(),
            is_late: request.urgency.is_late(),
            reserved_share: request.urgency.reserved_share(),
        }
    }

    /// Whether a slot that suits this demand would also have suited the other one.
    fn exceeds(&self, other: &Self) -> bool {
        (self.model, self.regions) == (other.model, other.regions)
            && (self.is_late || !other.is_late)
            && self.reserved_share >= other.reserved_share
    }
}

//! The tables of targets, the requests that wait for a place, and the places that are held.

use crate::shared::GatewayShared;
use egretseam_proto::{ModelName, ServiceName, ZoneName};
use egretseam_serving::{
    AttemptOutcome, PlacementOutcome, PlacementPolicy, PlacementQuery, TargetId, TargetTable,
    WaitPolicy, WaitQueue, WaitTicket, WaitUrgency,
};
use indexmap::IndexMap;
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::{sync::oneshot, time::Instant};

/// How often waiting requests are looked at besides when a place comes free. What an entry expects
/// of a target fades with time, so a place can become free without an event.
pub(crate) const DISPATCH_INTERVAL: Duration = Duration::from_millis(20);

/// What a request needs, while it waits.
struct WaitingRequest {
    model: Option<ModelName>,
    tried: Vec<TargetId>,
    late: bool,
    first_byte_deadline: Option<Instant>,
    sender: oneshot::Sender<PlaceGuard>,
}

/// Tables of one entry.
pub(crate) struct DispatchState {
    pub(crate) targets: TargetTable,
    queues: IndexMap<ServiceName, WaitQueue<WaitingRequest>>,
    waiting: WaitPolicy,
}

impl DispatchState {
    pub(crate) fn new(placement: PlacementPolicy, zone: ZoneName, waiting: WaitPolicy) -> Self {
        Self { targets: TargetTable::new(placement, zone), queues: IndexMap::new(), waiting }
    }

    fn queue(&mut self, service: &ServiceName) -> &mut WaitQueue<WaitingRequest> {
        let waiting = self.waiting;
        self.queues.entry(service.clone()).or_insert_with(|| WaitQueue::new(waiting))
    }

    /// Whether some request waits.
    pub(crate) fn has_waiters(&self) -> bool {
        self.queues.values().any(|queue| !queue.is_empty())
    }
}

/// A place at a target, given back when dropped.
pub(crate) struct PlaceGuard {
    shared: Rc<GatewayShared>,
    service: ServiceName,
    pub(crate) target: TargetId,
    pub(crate) address: SocketAddr,
    ended: bool,
}

impl PlaceGuard {
    /// Gives the place back and notes how the attempt went.
    pub(crate) fn finish(mut self, outcome: AttemptOutcome) {
        self.end(outcome);
    }

    fn end(&mut self, outcome: AttemptOutcome) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let now = Instant::now();
        let ejected =
            self.shared.dispatch.borrow_mut().targets.finish_attempt(&self.target, outcome, now);
        if ejected {
            tracing::info!(target_id = %self.target, ?outcome, "a target was ejected");
        }
        pump(&self.shared, &self.service);
    }
}

impl Drop for PlaceGuard {
    fn drop(&mut self) {
        self.end(AttemptOutcome::Abandoned);
    }
}

/// A request that wants a place.
#[derive(Clone, Copy)]
pub(crate) struct PlaceCall<'a> {
    pub(crate) service: &'a ServiceName,
    pub(crate) model: Option<&'a ModelName>,
    pub(crate) tried: &'a [TargetId],
    pub(crate) claim: WaitUrgency,
    /// See [`PlacementQuery::first_byte_deadline`].
    pub(crate) first_byte_deadline: Option<Instant>,
    /// When waiting makes no sense any more.
    pub(crate) latest: Instant,
}

/// What a call for a place comes to.
pub(crate) enum PlaceReply {
    /// A place.
    Placed(PlaceGuard),
    /// Nothing free in time; come back after this.
    Full(Duration),
    /// No target can take it; come back after this.
    NoTarget(Duration),
}

/// A place for a request: at once if one is free and nobody waits for it, else after a wait.
pub(crate) async fn place(shared: &Rc<GatewayShared>, call: &PlaceCall<'_>) -> PlaceReply {
    let waiting = match place_or_wait(shared, call) {
        Ok(reply) => return reply,
        Err(waiting) => waiting,
    };
    let began = Instant::now();
    let WaitingPlace { receiver, give_up_at, withdrawal } = waiting;
    let placed = tokio::time::timeout_at(give_up_at, receiver).await;
    shared.metrics.wait_seconds.observe(began.elapsed().as_secs_f64());
    drop(withdrawal);
    match placed {
        Ok(Ok(guard)) => PlaceReply::Placed(guard),
        Ok(Err(_)) | Err(_) => full(shared, call.service),
    }
}

struct WaitingPlace {
    receiver: oneshot::Receiver<PlaceGuard>,
    give_up_at: Instant,
    withdrawal: Withdrawal,
}

/// Takes a request out of its queue when its caller leaves or its wait ends.
struct Withdrawal {
    shared: Rc<GatewayShared>,
    service: ServiceName,
    ticket: WaitTicket,
}

impl Drop for Withdrawal {
    fn drop(&mut self) {
        self.shared.dispatch.borrow_mut().queue(&self.service).remove(self.ticket);
    }
}

fn place_or_wait(
    shared: &Rc<GatewayShared>,
    call: &PlaceCall<'_>,
) -> Result<PlaceReply, WaitingPlace> {
    let now = Instant::now();
    let mut dispatch = shared.dispatch.borrow_mut();
    let need = PlacementQuery {
        service: call.service,
        model: call.model,
        tried: call.tried,
        late: call.claim.is_late(),
        first_byte_deadline: call.first_byte_deadline,
    };
    let choice = dispatch.targets.choose(&need, now);
    let nobody_waits = dispatch.queue(call.service).is_empty();
    let in_outage = choice == PlacementOutcome::NoTarget;
    match choice {
        PlacementOutcome::NoTarget if !dispatch.targets.expects_capacity(call.service, now) => {
            let after = dispatch.queue(call.service).retry_after(rand::random());
            return Ok(PlaceReply::NoTarget(after));
        }
        PlacementOutcome::Target(target) if nobody_waits => {
            note_placed(dispatch.queue(call.service), call.claim.is_late(), now);
            if let Some(guard) = hold(shared, &mut dispatch, call.service, target) {
                return Ok(PlaceReply::Placed(guard));
            }
        }
        PlacementOutcome::Target(_) | PlacementOutcome::Full | PlacementOutcome::NoTarget => {}
    }
    let claim = if in_outage { call.claim.for_outage() } else { call.claim };
    let (sender, receiver) = oneshot::channel();
    let request = WaitingRequest {
        model: call.model.cloned(),
        tried: call.tried.to_vec(),
        late: claim.is_late(),
        first_byte_deadline: call.first_byte_deadline,
        sender,
    };
    let usual = dispatch.targets.median_first_byte(call.service, now);
    let queue = dispatch.queue(call.service);
    let limit = if in_outage { queue.outage_limit() } else { queue.wait_limit(&claim, usual) };
    let give_up_at = (now + limit).min(call.latest);
    let waits = if in_outage {
        queue.push_without_prediction(&claim, give_up_at, request)
    } else {
        queue.push(&claim, give_up_at, request, now)
    };
    match waits {
        Ok(ticket) => {
            let (shared, service) = (shared.clone(), call.service.clone());
            let withdrawal = Withdrawal { shared, service, ticket };
            Err(WaitingPlace { receiver, give_up_at, withdrawal })
        }
        Err(_) => {
            queue.record_rejected(now);
            let after = queue.retry_after(rand::random());
            Ok(PlaceReply::Full(after))
        }
    }
}

fn note_placed(queue: &mut WaitQueue<WaitingRequest>, is_late: bool, now: Instant) {
    if is_late { queue.record_late_placed(now) } else { queue.record_placed(now) }
}

fn full(shared: &GatewayShared, service: &ServiceName) -> PlaceReply {
    let mut dispatch = shared.dispatch.borrow_mut();
    let queue = dispatch.queue(service);
    queue.record_rejected(Instant::now());
    PlaceReply::Full(queue.retry_after(rand::random()))
}

fn hold(
    shared: &Rc<GatewayShared>,
    dispatch: &mut DispatchState,
    service: &ServiceName,
    target: TargetId,
) -> Option<PlaceGuard> {
    let address = dispatch.targets.address(&target)?;
    dispatch.targets.start_attempt(&target, Instant::now());
    let (shared, service) = (shared.clone(), service.clone());
    Some(PlaceGuard { shared, service, target, address, ended: false })
}

/// Gives free places to those who wait, most urgent first.
pub(crate) fn pump(shared: &Rc<GatewayShared>, service: &ServiceName) {
    let mut given = Vec::new();
    {
        let now = Instant::now();
        let mut dispatch = shared.dispatch.borrow_mut();
        while let Some((ticket, target)) = next_place(&mut dispatch, service, now) {
            let Some(request) = dispatch.queue(service).remove(ticket) else { break };
            note_placed(dispatch.queue(service), ticket.is_late(), now);
            if let Some(guard) = hold(shared, &mut dispatch, service, target) {
                given.push((request.sender, guard));
            }
        }
    }
    for (sender, guard) in given {
        // A receiver that is gone drops the guard, which gives the place to the next.
        sender.send(guard).ok();
    }
}

/// Gives free places to those who wait for any service.
pub(crate) fn dispatch_all(shared: &Rc<GatewayShared>) {
    let services: Vec<ServiceName> = {
        let dispatch = shared.dispatch.borrow();
        let waiting = dispatch.queues.iter().filter(|(_, queue)| !queue.is_empty());
        waiting.map(|(service, _)| service.clone()).collect()
    };
    for service in services {
        pump(shared, &service);
    }
}

fn next_place(
    dispatch: &mut DispatchState,
    service: &ServiceName,
    now: Instant,
) -> Option<(WaitTicket, TargetId)> {
    let queue = dispatch.queues.get(service)?;
    for (ticket, request) in queue.iter() {
        let need = PlacementQuery {
            service,
            model: request.model.as_ref(),
            tried: &request.tried,
            late: request.late,
            first_byte_deadline: request.first_byte_deadline,
        };
        match dispatch.targets.choose(&need, now) {
            PlacementOutcome::Target(target) => return Some((ticket, target)),
            // One that was refused elsewhere needs a particular target; others may still be served.
            PlacementOutcome::Full | PlacementOutcome::NoTarget if !request.tried.is_empty() => {}
            PlacementOutcome::Full | PlacementOutcome::NoTarget => return None,
        }
    }
    None
}

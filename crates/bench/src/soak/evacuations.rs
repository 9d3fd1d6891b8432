//! An operator that evacuates the zone of one target again and again, and the check that the target
//! gets no request while an evacuation is in force.

use super::{
    checks::SoakLedger,
    losses::{FaultKind, FaultSubject},
    say,
    stand_ins::{SoakTarget, call},
};
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tokio::time::Instant;

/// Number of the target whose zone is evacuated; no other check needs it.
pub(super) const EVACUATED_TARGET: usize = 3;
/// Time from an acknowledgement until no request may reach the zone, as in the settings.
pub(super) const EVACUATION_LIMIT: Duration = Duration::from_secs(5);
/// How long an evacuation is in force: the limit, and time in which it must hold.
const HELD_FOR: Duration = Duration::from_secs(9);
/// Time between two evacuations.
const PAUSE: Duration = Duration::from_secs(2);
/// Time in which a call is acknowledged after the last fault.
const LAST_ACK_LIMIT: Duration = Duration::from_secs(5);
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// The zone of a target.
pub(super) fn zone_of(target: usize) -> &'static str {
    if target == EVACUATED_TARGET { "z3" } else { "z0" }
}

/// An evacuation that was acknowledged.
struct EvacuationSpan {
    acknowledged: Instant,
    /// When the call that ends it was sent first.
    finish_sent: Option<Instant>,
}

/// An operator that begins and finishes evacuations.
pub(super) struct EvacuationTask {
    control: Vec<SocketAddr>,
    spans: RefCell<Vec<EvacuationSpan>>,
    /// Set when no further evacuation is to begin.
    ends: Cell<bool>,
    has_ended: Cell<bool>,
}

impl EvacuationTask {
    pub(super) fn start(control: Vec<SocketAddr>) -> Rc<Self> {
        let task = Rc::new(Self {
            control,
            spans: RefCell::default(),
            ends: Cell::default(),
            has_ended: Cell::default(),
        });
        actix_rt::spawn(task.clone().run());
        task
    }

    async fn run(self: Rc<Self>) {
        while !self.ends.get() {
            tokio::time::sleep(PAUSE).await;
            self.submit("begin").await;
            let acknowledged = Instant::now();
            self.spans.borrow_mut().push(EvacuationSpan { acknowledged, finish_sent: None });
            let until = acknowledged + HELD_FOR;
            while Instant::now() < until && !self.ends.get() {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
            if let Some(span) = self.spans.borrow_mut().last_mut() {
                span.finish_sent = Some(Instant::now());
            }
            self.submit("finish").await;
        }
        self.has_ended.set(true);
    }

    /// Sends a call, to another member each time, until it is acknowledged.
    async fn submit(&self, step: &str) {
        let path = format!("/evacuate/{}/{step}", zone_of(EVACUATED_TARGET));
        for member in self.control.iter().cycle() {
            let reply = call(*member, "POST", &path, "").await;
            if reply.is_some_and(|(status, _)| status == 200) {
                return;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Ends the evacuation in force, after the last fault.
    pub(super) async fn end(&self, ledger: &SoakLedger) {
        self.ends.set(true);
        let deadline = Instant::now() + LAST_ACK_LIMIT + PAUSE;
        while !self.has_ended.get() {
            if Instant::now() > deadline {
                ledger
                    .violation("", "an evacuation call is not acknowledged after recovery".into());
                return;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Checks what the target got while evacuations were in force. Requests that a fault explains
    /// are counted only: an entry that was frozen, a relay that held a request, or so many lost
    /// control members that an entry could reach none that knew of the evacuation.
    pub(super) fn check(&self, target: &SoakTarget, ledger: &SoakLedger, began: Instant) {
        let (mut late, mut excused) = (0, 0);
        let spans = self.spans.borrow();
        for span in spans.iter() {
            let until = span.finish_sent.unwrap_or_else(Instant::now);
            for at in target.arrivals_between(span.acknowledged + EVACUATION_LIMIT, until) {
                if is_excused(ledger, span.acknowledged, at) {
                    excused += 1;
                    continue;
                }
                late += 1;
                let after = at - span.acknowledged;
                ledger
                    .violation("", format!("a request reached a zone evacuated {after:?} before"));
            }
        }
        let count = spans.len();
        say(began, &format!("{count} evacuations: {late} late requests, {excused} excused"));
    }
}

fn is_excused(ledger: &SoakLedger, acknowledged: Instant, arrived: Instant) -> bool {
    let struck = ledger.faults_between(acknowledged, arrived);
    let mut members = Vec::new();
    for (subject, kind) in struck {
        match subject {
            FaultSubject::Entry(_) if kind == FaultKind::Freeze => return true,
            FaultSubject::Target(EVACUATED_TARGET) => return true,
            FaultSubject::Member(number) if !members.contains(&number) => members.push(number),
            _ => {}
        }
    }
    members.len() > 1
}

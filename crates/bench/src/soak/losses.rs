//! Which connections that end without a complete response break the promise that each request that
//! was sent whole gets an answer or a refusal.

use std::time::Duration;
use tokio::time::Instant;

/// Timeout of the routes; callers allow more.
pub(super) const REQUEST_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Time that a process has to stop.
pub(super) const STOP_LIMIT: Duration = Duration::from_secs(5);
/// Part of that time, from its start, in which runs that go on are awaited.
const STOP_PART: f64 = 5.0 / 6.0;
/// Longest time after the signal at which requests that the stop may give up were sent.
const STOP_SENT: Duration = Duration::from_secs(3);
/// Time after the end of a fault in which it still excuses a loss.
const AFTERMATH: Duration = Duration::from_secs(1);
/// Longest time after which a connection that closes may have crossed a request.
const CROSSING: Duration = Duration::from_millis(200);

/// What a fault strikes, by its number among its like.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FaultSubject {
    /// A control member.
    Member(usize),
    /// An entry.
    Entry(usize),
    /// A target, by the relay before it.
    Target(usize),
}

/// What a fault does. Pauses of targets, signals to stop or reload, and changes of the configuration
/// are no faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FaultKind {
    /// A process is killed, and does not run until it is started.
    Kill,
    /// A process stands still.
    Freeze,
    /// Connections are delayed, reset or held.
    Relay,
}

/// One fault from start to end.
#[derive(Clone, Copy, Debug)]
pub(super) struct FaultSpan {
    pub(super) subject: FaultSubject,
    pub(super) kind: FaultKind,
    pub(super) from: Instant,
    /// `None` while it lasts.
    pub(super) until: Option<Instant>,
}

impl FaultSpan {
    /// Ends it if it is of this subject and kind and still lasts.
    pub(super) fn end(&mut self, subject: FaultSubject, kind: FaultKind, now: Instant) {
        if (self.subject, self.kind) == (subject, kind) {
            self.until.get_or_insert(now);
        }
    }

    fn touches(&self, lost: &LostRequest<'_>) -> bool {
        self.overlaps(lost.sent, lost.ended)
    }

    /// Whether it lasted, or had just ended, at some moment between these two.
    pub(super) fn overlaps(&self, from: Instant, until: Instant) -> bool {
        let over = self.until.map(|at| at + AFTERMATH);
        self.from <= until && over.is_none_or(|at| at >= from)
    }
}

/// One run of a request at a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct TargetRun {
    pub(super) target: usize,
    /// The target ended its response too early.
    pub(super) broke_off: bool,
}

/// A request that was sent whole and whose connection ended without a complete response.
#[derive(Clone, Copy, Debug)]
pub(super) struct LostRequest<'a> {
    pub(super) entry: usize,
    pub(super) sent: Instant,
    pub(super) ended: Instant,
    /// In the order in which they began.
    pub(super) runs: &'a [TargetRun],
    /// When the entry's process was last told to stop.
    pub(super) stopped: Option<Instant>,
}

/// Why a loss breaks no promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum LossExcuse {
    /// The route's timeout was reached.
    TimeUp,
    /// The entry's process was killed or frozen.
    EntryFault,
    /// A control member was killed or frozen, so that no entry is sure to be in touch.
    CoreFault,
    /// The last target that ran it broke off.
    BrokenOff,
    /// All targets that ran it were behind a relay that was at fault; or none ran it, and some
    /// target was.
    TargetFault,
    /// It met a connection that was being closed, and was passed on to no target.
    CrossedClose,
    /// It still ran in the last sixth of the time that its process had to stop.
    EndOfStop,
}

/// Returns why the loss breaks no promise, or `None` if it breaks one.
pub(super) fn excuse(lost: &LostRequest<'_>, faults: &[FaultSpan]) -> Option<LossExcuse> {
    let touching: Vec<FaultSubject> =
        faults.iter().filter(|fault| fault.touches(lost)).map(|fault| fault.subject).collect();
    let waited = lost.ended - lost.sent;
    if waited >= REQUEST_TIMEOUT {
        return Some(LossExcuse::TimeUp);
    }
    if touching.contains(&FaultSubject::Entry(lost.entry)) {
        return Some(LossExcuse::EntryFault);
    }
    if touching.iter().any(|subject| matches!(subject, FaultSubject::Member(_))) {
        return Some(LossExcuse::CoreFault);
    }
    if lost.runs.last().is_some_and(|run| run.broke_off) {
        return Some(LossExcuse::BrokenOff);
    }
    if lost.runs.is_empty() && waited <= CROSSING {
        return Some(LossExcuse::CrossedClose);
    }
    if !has_sound_target(lost.runs, &touching) {
        return Some(LossExcuse::TargetFault);
    }
    is_end_of_stop(lost).then_some(LossExcuse::EndOfStop)
}

fn has_sound_target(runs: &[TargetRun], touching: &[FaultSubject]) -> bool {
    if runs.is_empty() {
        return !touching.iter().any(|subject| matches!(subject, FaultSubject::Target(_)));
    }
    runs.iter().any(|run| !run.broke_off && !touching.contains(&FaultSubject::Target(run.target)))
}

fn is_end_of_stop(lost: &LostRequest<'_>) -> bool {
    let Some(stopped) = lost.stopped else { return false };
    let last_part = stopped + STOP_LIMIT.mul_f64(STOP_PART);
    !lost.runs.is_empty() && lost.ended >= last_part && lost.sent <= stopped + STOP_SENT
}

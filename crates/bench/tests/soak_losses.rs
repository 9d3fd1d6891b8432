//! Which losses of requests the soak excuses.

#[path = "../src/soak/losses.rs"]
mod losses;

use losses::{
    FaultKind, FaultSpan, FaultSubject, LossExcuse, LostRequest, REQUEST_TIMEOUT, STOP_LIMIT,
    TargetRun, excuse,
};
use std::time::Duration;
use tokio::time::Instant;

const SOUND: TargetRun = TargetRun { target: 0, broke_off: false };
const BROKEN: TargetRun = TargetRun { target: 1, broke_off: true };
const OTHER: TargetRun = TargetRun { target: 2, broke_off: false };
const WAITED: Duration = Duration::from_millis(1_500);

fn lost(runs: &[TargetRun], waited: Duration) -> LostRequest<'_> {
    let sent = Instant::now();
    LostRequest { entry: 1, sent, ended: sent + waited, runs, stopped: None }
}

fn fault(lost: &LostRequest<'_>, subject: FaultSubject, kind: FaultKind) -> FaultSpan {
    FaultSpan { subject, kind, from: lost.sent, until: None }
}

/// Guards against a soak that passes although a sound target's answer is thrown away.
#[test]
fn a_loss_after_a_run_at_a_sound_target_has_no_excuse() {
    let lost = lost(&[SOUND], WAITED);
    assert_eq!(excuse(&lost, &[]), None);
    let elsewhere = [
        fault(&lost, FaultSubject::Entry(2), FaultKind::Freeze),
        fault(&lost, FaultSubject::Target(2), FaultKind::Relay),
    ];
    assert_eq!(excuse(&lost, &elsewhere), None);
}

/// Guards against a fault that is long over and still excuses every loss.
#[test]
fn a_fault_that_has_ended_excuses_nothing_later() {
    let lost = lost(&[SOUND], WAITED);
    let mut before = fault(&lost, FaultSubject::Entry(1), FaultKind::Kill);
    before.from = lost.sent - Duration::from_secs(4);
    before.until = Some(lost.sent - Duration::from_millis(900));
    assert_eq!(excuse(&lost, &[before]), Some(LossExcuse::EntryFault));
    before.until = Some(lost.sent - Duration::from_millis(1_100));
    assert_eq!(excuse(&lost, &[before]), None);
    let mut lasting = fault(&lost, FaultSubject::Entry(1), FaultKind::Kill);
    lasting.end(FaultSubject::Entry(1), FaultKind::Freeze, lost.sent - Duration::from_secs(2));
    assert_eq!(excuse(&lost, &[lasting]), Some(LossExcuse::EntryFault));
    lasting.end(FaultSubject::Entry(1), FaultKind::Kill, lost.sent - Duration::from_secs(2));
    assert_eq!(excuse(&lost, &[lasting]), None);
    let mut after = before;
    (after.from, after.until) = (lost.ended + Duration::from_millis(1), None);
    assert_eq!(excuse(&lost, &[after]), None);
}

/// Guards against violations that are reported for processes that the soak killed or froze.
#[test]
fn a_fault_of_the_entry_or_of_a_member_is_an_excuse() {
    let lost = lost(&[SOUND], WAITED);
    let entry = fault(&lost, FaultSubject::Entry(1), FaultKind::Freeze);
    assert_eq!(excuse(&lost, &[entry]), Some(LossExcuse::EntryFault));
    let member = fault(&lost, FaultSubject::Member(0), FaultKind::Kill);
    assert_eq!(excuse(&lost, &[member]), Some(LossExcuse::CoreFault));
}

/// Guards against one faulty target that excuses the loss of what ran at a sound one, too.
#[test]
fn a_faulty_target_excuses_only_if_no_sound_one_ran_the_request() {
    let both = lost(&[OTHER, SOUND], WAITED);
    let relay = fault(&both, FaultSubject::Target(2), FaultKind::Relay);
    assert_eq!(excuse(&both, &[relay]), None);
    let alone = lost(&[OTHER], WAITED);
    let relay = fault(&alone, FaultSubject::Target(2), FaultKind::Relay);
    assert_eq!(excuse(&alone, &[relay]), Some(LossExcuse::TargetFault));
    let nowhere = lost(&[], WAITED);
    let relay = fault(&nowhere, FaultSubject::Target(2), FaultKind::Relay);
    assert_eq!(excuse(&nowhere, &[relay]), Some(LossExcuse::TargetFault));
    assert_eq!(excuse(&nowhere, &[]), None);
}

/// Guards against an answer that broke off once and excuses the loss of the run that follows it.
#[test]
fn only_the_last_run_that_broke_off_is_an_excuse() {
    assert_eq!(excuse(&lost(&[SOUND, BROKEN], WAITED), &[]), Some(LossExcuse::BrokenOff));
    assert_eq!(excuse(&lost(&[BROKEN, SOUND], WAITED), &[]), None);
}

/// Guards against requests that are taken, held and dropped, and count as having crossed a close.
#[test]
fn a_request_crosses_a_close_only_at_once_and_without_a_run() {
    let short = Duration::from_millis(150);
    assert_eq!(excuse(&lost(&[], short), &[]), Some(LossExcuse::CrossedClose));
    assert_eq!(excuse(&lost(&[], Duration::from_millis(250)), &[]), None);
    assert_eq!(excuse(&lost(&[SOUND], short), &[]), None);
}

/// Guards against a stop that cuts what it has the time to finish.
#[test]
fn a_stop_excuses_only_old_requests_in_its_last_part() {
    let mut lost = lost(&[SOUND], Duration::from_millis(2_000));
    lost.stopped = Some(lost.ended - STOP_LIMIT.mul_f64(0.5));
    assert_eq!(excuse(&lost, &[]), None);
    lost.stopped = Some(lost.ended - STOP_LIMIT.mul_f64(0.9));
    assert_eq!(excuse(&lost, &[]), Some(LossExcuse::EndOfStop));
    lost.sent = lost.ended - Duration::from_millis(1_400);
    assert_eq!(excuse(&lost, &[]), None);
}

/// Guards against a request that is cut before its time and excused by it.
#[test]
fn time_is_an_excuse_only_when_it_is_up() {
    let early = REQUEST_TIMEOUT - Duration::from_millis(1);
    assert_eq!(excuse(&lost(&[SOUND], early), &[]), None);
    assert_eq!(excuse(&lost(&[SOUND], REQUEST_TIMEOUT), &[]), Some(LossExcuse::TimeUp));
}

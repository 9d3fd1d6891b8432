//! The tables of targets and entries when updates are late, lost or contradict each other.

use egretseam_proto::{ModelName, ServiceName, ZoneName};
use egretseam_serving::{
    AddressQuery, AnnounceOutcome, AttemptOutcome, EngineStatus, EntryRecord, EntryRoster,
    HeldModel, Incarnation, PlacementOutcome, PlacementPolicy, PlacementQuery, RosterBatcher,
    TargetId, TargetRecord, TargetRegistry, TargetState, TargetStatus, TargetTable,
};
use std::{net::SocketAddr, time::Duration};
use tokio::time::Instant;

const SILENCE_LIMIT: Duration = Duration::from_secs(3);

pub(crate) fn service() -> ServiceName {
    ServiceName::try_from("runners").expect("a valid name")
}

pub(crate) fn model() -> ModelName {
    ModelName::try_from("chat").expect("a valid name")
}

fn zone(name: &str) -> ZoneName {
    ZoneName::try_from(name).expect("a valid name")
}

pub(crate) fn address(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 8_000))
}

pub(crate) fn held(version: u64) -> Vec<HeldModel> {
    vec![HeldModel { model: model(), version }]
}

pub(crate) fn record(host: u8, sequence: u64, state: TargetState) -> TargetRecord {
    TargetRecord {
        id: TargetId::unstated(format!("i-{host}")),
        service: service(),
        address: address(host),
        zone: zone("z1"),
        slots: 4,
        state,
        sequence,
        cold_millis: 0,
        models: held(1),
    }
}

pub(crate) fn status(record: TargetRecord) -> TargetStatus {
    TargetStatus { record, silent: false, age_millis: 0 }
}

pub(crate) fn table(hosts: &[u8], now: Instant) -> TargetTable {
    let mut table = TargetTable::new(PlacementPolicy::default(), zone("z1"));
    for host in hosts {
        table.apply_target(0, &status(record(*host, 1, TargetState::Ready)), now);
    }
    table
}

/// What the agent beside an engine reports of its instance's link.
pub(crate) fn link_status(host: u8, link_delay_millis: u64) -> EngineStatus {
    EngineStatus {
        address: address(host),
        incarnation: Incarnation::UNSTATED,
        models: held(1),
        loading: false,
        stalled: false,
        link_delay_millis,
        age_millis: 0,
    }
}

/// The query of a request that is not late and whose caller stays.
pub(crate) fn query<'a>(
    service: &'a ServiceName,
    model: &'a ModelName,
    tried: &'a [TargetId],
) -> PlacementQuery<'a> {
    PlacementQuery {
        service,
        model: Some(model),
        tried,
        late: false,
        reserved_share: None,
        first_byte_deadline: None,
        regions: None,
    }
}

pub(crate) fn choose(table: &TargetTable, tried: &[TargetId], now: Instant) -> PlacementOutcome {
    let (service, model) = (service(), model());
    table.choose(&query(&service, &model, tried), now)
}

/// The query of a caller in the first zone.
fn of_zone(max: usize) -> AddressQuery<'static> {
    AddressQuery { zone: Some("z1"), regions: None, max }
}

pub(crate) fn id(host: u8) -> TargetId {
    TargetId::unstated(format!("i-{host}"))
}

/// Guards against requests to a target that has left: an announcement is delayed by a partition and
/// arrives after the target has announced elsewhere that it drains, or has left. It must change
/// nothing.
#[actix_rt::test]
async fn stale_announcements_do_not_restore_a_target() {
    let now = Instant::now();
    let mut registry = TargetRegistry::new(SILENCE_LIMIT);
    assert_eq!(
        registry.announce(record(1, 2, TargetState::Draining), now),
        AnnounceOutcome::Accepted
    );
    assert_eq!(registry.announce(record(1, 1, TargetState::Ready), now), AnnounceOutcome::Stale);
    assert_eq!(registry.announce(record(1, 3, TargetState::Ready), now), AnnounceOutcome::Stale);
    registry.remove(&id(1), now);
    assert_eq!(registry.announce(record(1, 4, TargetState::Ready), now), AnnounceOutcome::Stale);
    assert_eq!(registry.gone_since(0), [id(1)]);
    assert_eq!(registry.live().count(), 0);
    // The removal of a target that this registry never heard of is remembered too.
    registry.remove(&id(2), now);
    assert_eq!(registry.announce(record(2, 9, TargetState::Ready), now), AnnounceOutcome::Stale);
}

#[actix_rt::test]
async fn readers_fetch_only_changes() {
    let now = Instant::now();
    let mut registry = TargetRegistry::new(SILENCE_LIMIT);
    registry.announce(record(1, 1, TargetState::Ready), now);
    let seen = registry.change_number();
    registry.announce(record(1, 2, TargetState::Ready), now);
    assert!(registry.targets_since(seen, now).is_empty(), "only the sequence number changed");
    let later = now + SILENCE_LIMIT + Duration::from_millis(1);
    assert!(registry.expire(later));
    assert!(registry.targets_since(seen, later)[0].silent);
    registry.announce(record(1, 3, TargetState::Ready), later);
    assert!(!registry.targets_since(seen, later)[0].silent);
}

/// Guards against the failure of all requests while every target is well: all control members are
/// down at once, and an entry that dropped what they reported would have no target left.
#[actix_rt::test]
async fn targets_stay_in_use_while_all_of_control_is_down() {
    let now = Instant::now();
    let mut table = table(&[1], now);
    table.apply_target(1, &status(record(1, 1, TargetState::Ready)), now);
    table.source_lost(0, now);
    table.source_lost(1, now);
    let later = now + Duration::from_secs(600);
    table.expire(later);
    assert_eq!(choose(&table, &[], later), PlacementOutcome::Target(id(1)));
}

/// Guards against requests to a target that crashed while a control member restarted. The member's
/// last report before the restart says that the target is alive; without a new announcement that
/// report must expire after some seconds.
#[actix_rt::test]
async fn reports_of_a_restarted_member_expire() {
    let now = Instant::now();
    let mut table = table(&[1], now);
    table.source_restarted(0, now);
    assert_eq!(choose(&table, &[], now), PlacementOutcome::Target(id(1)));
    let later = now + Duration::from_secs(5);
    assert_eq!(choose(&table, &[], later), PlacementOutcome::NoTarget);
    table.apply_target(0, &status(record(1, 2, TargetState::Ready)), later);
    assert_eq!(choose(&table, &[], later), PlacementOutcome::Target(id(1)));
}

#[actix_rt::test]
async fn full_targets_get_no_requests_and_others_do() {
    let now = Instant::now();
    let mut table = table(&[1, 2], now);
    table.record_load(&id(1), 4, now);
    assert_eq!(
        choose(&table, &[], now),
        PlacementOutcome::Target(id(2)),
        "a target without a sample is tried"
    );
    table.record_load(&id(2), 0, now);
    for _ in 0..4 {
        assert_eq!(choose(&table, &[], now), PlacementOutcome::Target(id(2)));
        table.start_attempt(&id(2), now);
    }
    assert_eq!(choose(&table, &[], now), PlacementOutcome::Full);
    // The sample of the others' load decays, so that no target is avoided for ever on an old one.
    let later = now + Duration::from_secs(3);
    assert_eq!(choose(&table, &[], later), PlacementOutcome::Target(id(1)));
}

#[actix_rt::test]
async fn a_target_that_fails_half_its_requests_is_ejected_and_one_in_fifty_is_not() {
    let now = Instant::now();
    let mut table = table(&[1, 2], now);
    for at in 0..100 {
        table.start_attempt(&id(1), now);
        let outcome = if at % 50 == 49 { AttemptOutcome::Failed } else { AttemptOutcome::Answered };
        assert!(!table.finish_attempt(&id(1), outcome, now), "one in fifty must stay in service");
    }
    let mut ejected = false;
    for at in 0..12 {
        table.start_attempt(&id(2), now);
        let outcome = if at % 2 == 0 { AttemptOutcome::Failed } else { AttemptOutcome::Answered };
        ejected |= table.finish_attempt(&id(2), outcome, now);
    }
    assert!(ejected);
    assert_eq!(choose(&table, &[], now), PlacementOutcome::Target(id(1)));
    assert_eq!(choose(&table, &[id(1)], now), PlacementOutcome::Full);
    let later = now + Duration::from_secs(7);
    assert_eq!(
        choose(&table, &[id(1)], later),
        PlacementOutcome::Target(id(2)),
        "tried again after its ejection"
    );
}

/// Guards against callers of a zone that are late or get no connection while every entry of the
/// zone is unreachable but still listed. A caller to which none of them answers asks for entries of
/// other zones and must not be sent back to these.
#[actix_rt::test]
async fn callers_whose_own_entries_do_not_answer_are_sent_elsewhere() {
    let entry = |run: u64, zone_name: &str| EntryRecord {
        name: format!("e{run}"),
        run,
        zone: zone(zone_name),
        address: address(run as u8),
        ready: true,
    };
    let listed = vec![entry(1, "z1"), entry(2, "z1"), entry(3, "z2"), entry(4, "z3")];
    let roster = EntryRoster::merged([&listed].into_iter(), Instant::now());
    assert_eq!(roster.addresses(&of_zone(64)), [address(1), address(2)]);
    assert_eq!(roster.addresses_outside_zone(&of_zone(64)), [address(3), address(4)]);
    assert_eq!(roster.addresses_outside_zone(&of_zone(1)), [address(3)]);
}

/// Guards against requests to full targets from all entries of a zone because the entry that relays
/// load samples to the others is frozen. Each round goes to the zone's next entry, so that nine of
/// ten rounds still reach the others, whichever entry fails.
#[actix_rt::test]
async fn entries_of_a_zone_relay_load_samples_in_turn() {
    let entry = |run: u8, zone_name: &str| EntryRecord {
        name: format!("e{run}"),
        run: u64::from(run),
        zone: zone(zone_name),
        address: address(run),
        ready: true,
    };
    let mut listed: Vec<EntryRecord> = (1..=10).map(|run| entry(run, "z1")).collect();
    listed.extend([entry(11, "z2"), entry(12, "z2")]);
    let roster = EntryRoster::merged([&listed].into_iter(), Instant::now());
    let mut turns = [0_u32; 13];
    for round in 0..20 {
        let chosen: Vec<&EntryRecord> = roster.one_per_zone(round).collect();
        assert_eq!(chosen.len(), 2, "one of each zone");
        assert_ne!(chosen[0].zone, chosen[1].zone);
        for record in chosen {
            turns[record.run as usize] += 1;
        }
    }
    assert_eq!(turns, [0, 2, 2, 2, 2, 2, 2, 2, 2, 2, 2, 10, 10]);
    let others: Vec<u64> =
        roster.others_in_zone(&zone("z2"), "e12").map(|record| record.run).collect();
    assert_eq!(others, [11]);
}

/// Guards against control members that send megabytes when a fleet starts: 150 entries announce
/// themselves within 0.3 s. The roster must be sent a few times and not once per entry, and must
/// soon include the last of them.
#[actix_rt::test]
async fn roster_changes_of_entries_that_start_together_are_batched() {
    let start = Instant::now();
    let tick = Duration::from_millis(50);
    let mut batcher = RosterBatcher::default();
    let (mut sent, mut last_sent) = (0, start);
    for millis in 0..600 {
        let now = start + Duration::from_millis(millis);
        if millis < 300 && millis % 2 == 0 {
            batcher.record_change(now);
        }
        let is_tick = Duration::from_millis(millis % 50).is_zero();
        if is_tick && batcher.take_due(now) {
            sent += 1;
            last_sent = now;
        }
    }
    assert!((2..=4).contains(&sent), "roster sent {sent} times for 150 changes");
    let last_change = start + Duration::from_millis(298);
    assert!(last_sent >= last_change && last_sent <= last_change + tick * 3);
    assert!(!batcher.take_due(start + Duration::from_secs(9)), "no change is pending");
}

/// Guards against callers that are sent to an entry which has stopped: one control member has not
/// learned of that yet and still lists the entry as ready. The member that has must win.
#[actix_rt::test]
async fn a_stopping_entry_is_not_listed_though_a_member_lists_it_as_ready() {
    let entry = |name: &str, run, ready, zone_name: &str| EntryRecord {
        name: name.to_owned(),
        run,
        zone: zone(zone_name),
        address: address(run as u8),
        ready,
    };
    let behind =
        vec![entry("e1", 1, true, "z1"), entry("e2", 2, true, "z1"), entry("e3", 3, true, "z2")];
    let ahead = vec![entry("e1", 1, false, "z1"), entry("e2", 2, true, "z1")];
    let now = Instant::now();
    for rosters in [[&behind, &ahead], [&ahead, &behind]] {
        let merged = EntryRoster::merged(rosters.into_iter(), now);
        // A single entry in the zone is not enough, so the other zone's entries are listed too.
        let mut listed = merged.addresses(&of_zone(64));
        listed.sort();
        assert_eq!(listed, [address(2), address(3)]);
        assert_eq!(merged.ready_count(), 2);
    }
}

#[actix_rt::test]
async fn ejections_are_ignored_when_most_targets_fail() {
    let now = Instant::now();
    let mut table = table(&[1, 2, 3], now);
    for host in [1, 2, 3] {
        for _ in 0..6 {
            table.start_attempt(&id(host), now);
            table.finish_attempt(&id(host), AttemptOutcome::Failed, now);
        }
    }
    assert!(matches!(choose(&table, &[], now), PlacementOutcome::Target(_)));
}

/// Guards against dozens of late answers for each engine that freezes: it accepts requests and
/// sends nothing, each request times out after 1.6 s, and others follow meanwhile. A first byte
/// that is pending several times as long as the median must keep further requests away until it
/// arrives or is no longer awaited.
#[actix_rt::test]
async fn a_target_that_hangs_is_left_before_anybody_gave_up() {
    let start = Instant::now();
    let mut table = table(&[1, 2, 3, 4], start);
    let median = Duration::from_millis(120);
    for host in 1..=4 {
        table.record_first_byte(&id(host), start - median, start);
    }
    table.record_sent(&id(1), start);
    let hits = |table: &TargetTable, now| {
        (0..400).filter(|_| choose(table, &[], now) == PlacementOutcome::Target(id(1))).count()
    };
    let early = hits(&table, start + median);
    assert!((50..150).contains(&early), "not late yet: {early} of 400 requests at the target");
    let later = start + Duration::from_millis(600);
    let late = hits(&table, later);
    assert!(late < 10, "{late} of 400 requests at the target that hangs");
    table.stop_awaiting(&id(1), start);
    let left = hits(&table, later);
    assert!(
        (50..150).contains(&left),
        "its caller left, which says nothing of the target: {left} of 400 requests at it"
    );
}

/// Guards against a target that answers one in seven requests after seconds, because it works
/// slowly or its link is full; its answers come, so it does not fail. It must get far less than its
/// share, and be tried again when there was no answer from it for a while.
#[actix_rt::test]
async fn slow_targets_get_fewer_requests() {
    let now = Instant::now();
    let mut table = table(&[1, 2, 3], now);
    for (host, millis) in [(1, 120), (2, 150), (3, 1_500)] {
        table.record_first_byte(&id(host), now - Duration::from_millis(millis), now);
    }
    let drawn = |now| {
        (0..600).filter(|_| choose(&table, &[], now) == PlacementOutcome::Target(id(3))).count()
    };
    assert!(drawn(now) < 40, "{} of 600 requests at the slow target", drawn(now));
    assert!(drawn(now + Duration::from_secs(4)) > 120);
}

/// Guards against answers that take seconds while most targets idle: many entries have the same
/// view of the targets, a third of a second old, and all send to the target that looks emptiest.
/// With targets drawn by their free slots, none may get many more requests than it has room for.
#[actix_rt::test]
async fn entries_with_the_same_stale_view_do_not_flood_a_target() {
    const ENTRIES: usize = 16;
    const TARGETS: u8 = 20;
    let now = Instant::now();
    let hosts: Vec<u8> = (1..=TARGETS).collect();
    let mut entries: Vec<TargetTable> = (0..ENTRIES).map(|_| table(&hosts, now)).collect();
    // Two targets look empty, the others three quarters full.
    for entry in &mut entries {
        for host in &hosts {
            entry.record_load(&id(*host), if *host <= 2 { 0 } else { 3 }, now);
        }
    }
    let mut arrivals = vec![0_u32; usize::from(TARGETS) + 1];
    for round in 0..24 {
        let entry = &mut entries[round % ENTRIES];
        let PlacementOutcome::Target(target) = choose(entry, &[], now) else {
            panic!("no target chosen although slots are free")
        };
        entry.start_attempt(&target, now);
        let host: usize =
            target.name.trim_start_matches("i-").parse().expect("the host number in the name");
        arrivals[host] += 1;
    }
    let flooded = arrivals[1].max(arrivals[2]);
    assert!(flooded <= 13, "{flooded} of 24 requests went to a target with 4 slots: {arrivals:?}");
}

/// Guards against targets that work for callers which have left: a target does not answer, and the
/// request goes to another one whose agent reports a slow link, where it arrives two seconds later.
/// A further attempt goes only where an answer is likely to begin before the caller leaves; if the
/// caller stays, it may go to the last target that is left.
#[actix_rt::test]
async fn a_further_attempt_is_not_sent_over_a_narrow_link() {
    let now = Instant::now();
    let mut table = table(&[1, 2], now);
    let (service, model, tried) = (service(), model(), [id(1)]);
    let deadline = now + Duration::from_millis(500);
    let further =
        PlacementQuery { first_byte_deadline: Some(deadline), ..query(&service, &model, &tried) };
    assert_eq!(table.choose(&further, now), PlacementOutcome::Target(id(2)));

    table.apply_engine(&link_status(2, 500), now);
    assert_eq!(table.choose(&further, now), PlacementOutcome::Full);
    assert_eq!(
        choose(&table, &tried, now),
        PlacementOutcome::Target(id(2)),
        "no deadline, since the caller stays"
    );
    table.apply_engine(&link_status(2, 0), now);

    table.record_first_byte(&id(2), now - Duration::from_millis(700), now);
    assert_eq!(
        table.choose(&further, now),
        PlacementOutcome::Full,
        "its answers begin after the caller has left"
    );
    let later_deadline =
        PlacementQuery { first_byte_deadline: Some(now + Duration::from_secs(1)), ..further };
    assert_eq!(table.choose(&later_deadline, now), PlacementOutcome::Target(id(2)));
}

/// Guards against sound targets that are left out as soon as the entry loses the one member to which
/// they announce themselves, because another remembers that they once announced themselves there.
#[actix_rt::test]
async fn targets_of_a_lost_member_stay_in_use_until_another_hears_them() {
    let now = Instant::now();
    let mut table = table(&[1], now);
    let mut moved = status(record(1, 2, TargetState::Ready));
    moved.silent = true;
    table.apply_target(0, &moved, now);
    table.apply_target(1, &status(record(1, 3, TargetState::Ready)), now);
    assert_eq!(choose(&table, &[], now), PlacementOutcome::Target(id(1)));
    table.source_lost(1, now);
    assert_eq!(choose(&table, &[], now), PlacementOutcome::Target(id(1)));
    let later = now + Duration::from_secs(5);
    assert_eq!(choose(&table, &[], later), PlacementOutcome::NoTarget);
    table.apply_target(0, &status(record(1, 4, TargetState::Ready)), later);
    assert_eq!(choose(&table, &[], later), PlacementOutcome::Target(id(1)));
}

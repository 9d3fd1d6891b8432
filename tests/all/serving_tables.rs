//! Tables of targets and entries under late, lost and contradicting news.

use egretseam_proto::{ModelName, ServiceName, ZoneName};
use egretseam_serving::{
    AnnounceOutcome, AttemptOutcome, EngineStatus, EntryRecord, EntryRoster, HeldModel,
    Incarnation, PlacementOutcome, PlacementPolicy, PlacementQuery, RosterBatcher, TargetId,
    TargetRecord, TargetRegistry, TargetState, TargetStatus, TargetTable,
};
use std::{net::SocketAddr, time::Duration};
use tokio::time::Instant;

const SILENCE: Duration = Duration::from_secs(3);

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

pub(crate) fn news(record: TargetRecord) -> TargetStatus {
    TargetStatus { record, silent: false, age_millis: 0 }
}

pub(crate) fn table(hosts: &[u8], now: Instant) -> TargetTable {
    let mut table = TargetTable::new(PlacementPolicy::default(), zone("z1"));
    for host in hosts {
        table.apply_target(0, &news(record(*host, 1, TargetState::Ready)), now);
    }
    table
}

/// What the agent beside a host says of its link.
pub(crate) fn link_news(host: u8, link_delay_millis: u64) -> EngineStatus {
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

/// What a request that is not late needs; its caller stays.
fn need<'a>(
    service: &'a ServiceName,
    model: &'a ModelName,
    tried: &'a [TargetId],
) -> PlacementQuery<'a> {
    PlacementQuery { service, model: Some(model), tried, late: false, first_byte_deadline: None }
}

pub(crate) fn choose(table: &TargetTable, tried: &[TargetId], now: Instant) -> PlacementOutcome {
    let (service, model) = (service(), model());
    table.choose(&need(&service, &model, tried), now)
}

pub(crate) fn id(host: u8) -> TargetId {
    TargetId::unstated(format!("i-{host}"))
}

/// What users would see: requests at a target that has left. A cut holds up an announcement; the
/// target announces that it is draining elsewhere or leaves, and only then the old announcement
/// arrives. It must change nothing.
#[actix_rt::test]
async fn stale_announcements_never_bring_a_target_back() {
    let now = Instant::now();
    let mut registry = TargetRegistry::new(SILENCE);
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
    // A target that announced itself elsewhere only is remembered too.
    registry.remove(&id(2), now);
    assert_eq!(registry.announce(record(2, 9, TargetState::Ready), now), AnnounceOutcome::Stale);
}

#[actix_rt::test]
async fn readers_are_told_changes_and_nothing_else() {
    let now = Instant::now();
    let mut registry = TargetRegistry::new(SILENCE);
    registry.announce(record(1, 1, TargetState::Ready), now);
    let seen = registry.change_number();
    registry.announce(record(1, 2, TargetState::Ready), now);
    assert!(registry.targets_since(seen, now).is_empty(), "only the sequence number changed");
    let later = now + SILENCE + Duration::from_millis(1);
    assert!(registry.expire(later));
    assert!(registry.targets_since(seen, later)[0].silent);
    registry.announce(record(1, 3, TargetState::Ready), later);
    assert!(!registry.targets_since(seen, later)[0].silent);
}

/// What users would see: all requests fail although every target is well. All control members are
/// lost at once; an entry that then forgot what they told it would have no target left.
#[actix_rt::test]
async fn targets_outlive_all_of_control() {
    let now = Instant::now();
    let mut table = table(&[1], now);
    table.apply_target(1, &news(record(1, 1, TargetState::Ready)), now);
    table.source_lost(0);
    table.source_lost(1);
    let later = now + Duration::from_secs(600);
    table.expire(later);
    assert_eq!(choose(&table, &[], later), PlacementOutcome::Target(id(1)));
}

/// What users would see: requests at a target that crashed while a control member restarted. Its
/// last word before the restart was that the target lives; after some seconds without an
/// announcement that word must not count any more.
#[actix_rt::test]
async fn the_word_of_a_restarted_member_fades() {
    let now = Instant::now();
    let mut table = table(&[1], now);
    table.source_restarted(0, now);
    assert_eq!(choose(&table, &[], now), PlacementOutcome::Target(id(1)));
    let later = now + Duration::from_secs(5);
    assert_eq!(choose(&table, &[], later), PlacementOutcome::NoTarget);
    table.apply_target(0, &news(record(1, 2, TargetState::Ready)), later);
    assert_eq!(choose(&table, &[], later), PlacementOutcome::Target(id(1)));
}

#[actix_rt::test]
async fn full_targets_get_nothing_and_others_do() {
    let now = Instant::now();
    let mut table = table(&[1, 2], now);
    table.record_load(&id(1), 4, now);
    assert_eq!(choose(&table, &[], now), PlacementOutcome::Target(id(2)), "a new target is tried");
    table.record_load(&id(2), 0, now);
    for _ in 0..4 {
        assert_eq!(choose(&table, &[], now), PlacementOutcome::Target(id(2)));
        table.start_attempt(&id(2), now);
    }
    assert_eq!(choose(&table, &[], now), PlacementOutcome::Full);
    // What others do there fades, so that nobody is avoided for ever on an old word.
    let later = now + Duration::from_secs(3);
    assert_eq!(choose(&table, &[], later), PlacementOutcome::Target(id(1)));
}

#[actix_rt::test]
async fn a_target_that_fails_half_its_requests_rests_and_one_in_fifty_does_not() {
    let now = Instant::now();
    let mut table = table(&[1, 2], now);
    for at in 0..100 {
        table.start_attempt(&id(1), now);
        let outcome = if at % 50 == 49 { AttemptOutcome::Failed } else { AttemptOutcome::Answered };
        assert!(!table.finish_attempt(&id(1), outcome, now), "one in fifty must stay in service");
    }
    let mut rested = false;
    for at in 0..12 {
        table.start_attempt(&id(2), now);
        let outcome = if at % 2 == 0 { AttemptOutcome::Failed } else { AttemptOutcome::Answered };
        rested |= table.finish_attempt(&id(2), outcome, now);
    }
    assert!(rested);
    assert_eq!(choose(&table, &[], now), PlacementOutcome::Target(id(1)));
    assert_eq!(choose(&table, &[id(1)], now), PlacementOutcome::Full);
    let later = now + Duration::from_secs(7);
    assert_eq!(
        choose(&table, &[id(1)], later),
        PlacementOutcome::Target(id(2)),
        "it is tried again"
    );
}

/// What users would see: all callers of a zone are late, and some get no connection at all. Every
/// entry of the zone is dark and still listed; a caller whom none of them answered asks elsewhere
/// and must not be sent back to them.
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
    assert_eq!(roster.addresses(Some("z1"), 64), [address(1), address(2)]);
    assert_eq!(roster.addresses_outside_zone(Some("z1"), 64), [address(3), address(4)]);
    assert_eq!(roster.addresses_outside_zone(Some("z1"), 1), [address(3)]);
}

/// What users would see: all entries of a zone send to targets that are full. The entry that passes
/// samples of load on to the others is frozen. Each round goes to the zone's next entry, so that nine of
/// ten rounds still reach the others, whoever is lost.
#[actix_rt::test]
async fn every_entry_of_a_zone_takes_its_turn_in_passing_loads_on() {
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

/// What operators would see: control members that send megabytes when a fleet starts. A hundred and fifty
/// entries say within 0.3 s that they are there; the list goes out a few times and not for each of them,
/// and the last of them is in it soon.
#[actix_rt::test]
async fn entries_that_start_together_are_passed_on_together() {
    let start = Instant::now();
    let tick = Duration::from_millis(50);
    let mut pace = RosterBatcher::default();
    let (mut sent, mut last_sent) = (0, start);
    for millis in 0..600 {
        let now = start + Duration::from_millis(millis);
        if millis < 300 && millis % 2 == 0 {
            pace.record_change(now);
        }
        let is_tick = Duration::from_millis(millis % 50).is_zero();
        if is_tick && pace.take_due(now) {
            sent += 1;
            last_sent = now;
        }
    }
    assert!((2..=4).contains(&sent), "{sent} times for 150 changes");
    let last_change = start + Duration::from_millis(298);
    assert!(last_sent >= last_change && last_sent <= last_change + tick * 3);
    assert!(!pace.take_due(start + Duration::from_secs(9)), "nothing is left to pass on");
}

/// What users would see: callers are sent to an entry that has stopped. One control member has not
/// heard of its stopping yet and still lists it as ready; the member that has must win.
#[actix_rt::test]
async fn a_stopping_entry_is_not_listed_whoever_lists_it() {
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
        // One entry alone in the zone is not enough, so the other zone's are listed with it.
        let mut listed = merged.addresses(Some("z1"), 64);
        listed.sort();
        assert_eq!(listed, [address(2), address(3)]);
        assert_eq!(merged.ready_count(), 2);
    }
}

#[actix_rt::test]
async fn when_most_targets_fail_none_is_left_out() {
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

/// What users would see: dozens of late answers for each engine that freezes. It takes requests and
/// says nothing; each is waited for 1.6 s before it goes elsewhere, and meanwhile others follow it.
/// A request that has waited several times as long as usual must keep the next ones away, and no
/// longer than until it is answered or given up.
#[actix_rt::test]
async fn a_target_that_hangs_is_left_before_anybody_gave_up() {
    let start = Instant::now();
    let mut table = table(&[1, 2, 3, 4], start);
    let usual = Duration::from_millis(120);
    for host in 1..=4 {
        table.record_first_byte(&id(host), start - usual, start);
    }
    table.record_sent(&id(1), start);
    let hits = |table: &TargetTable, now| {
        (0..400).filter(|_| choose(table, &[], now) == PlacementOutcome::Target(id(1))).count()
    };
    let early = hits(&table, start + usual);
    assert!((50..150).contains(&early), "nothing to be said yet: {early} of 400");
    let later = start + Duration::from_millis(600);
    let late = hits(&table, later);
    assert!(late < 10, "{late} of 400 at the one that hangs");
    table.stop_awaiting(&id(1), start);
    let left = hits(&table, later);
    assert!((50..150).contains(&left), "its caller left, which is not its fault: {left} of 400");
}

/// What users would see: every seventh answer takes seconds. One target works slowly, or its link
/// is full; its answers come, so it does not fail. It must get far less than its part, and be tried
/// again when nothing was heard of it for a while.
#[actix_rt::test]
async fn slow_targets_get_less() {
    let now = Instant::now();
    let mut table = table(&[1, 2, 3], now);
    for (host, millis) in [(1, 120), (2, 150), (3, 1_500)] {
        table.record_first_byte(&id(host), now - Duration::from_millis(millis), now);
    }
    let drawn = |now| {
        (0..600).filter(|_| choose(&table, &[], now) == PlacementOutcome::Target(id(3))).count()
    };
    assert!(drawn(now) < 40, "{} of 600", drawn(now));
    assert!(drawn(now + Duration::from_secs(4)) > 120);
}

/// What users would see: answers in seconds while most targets idle. Many entries have the same view
/// of the targets, a third of a second old, and all send to the target that looks emptiest. Drawn by
/// the free places, no target may get much more than it has room for.
#[actix_rt::test]
async fn entries_with_the_same_old_view_do_not_flood_a_target() {
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
            panic!("there is room")
        };
        entry.start_attempt(&target, now);
        let host: usize = target.name.trim_start_matches("i-").parse().expect("a number");
        arrivals[host] += 1;
    }
    let flooded = arrivals[1].max(arrivals[2]);
    assert!(flooded <= 13, "{flooded} of 24 requests went to a target with 4 places: {arrivals:?}");
}

/// What operators would see: targets at work for callers that have left. A target does not answer, the
/// request goes to another one whose agent reports a narrow link, arrives there two seconds later and
/// is run for nobody. A further attempt goes only where an answer is likely to begin before the caller
/// leaves; where the caller stays it may go to the last one left.
#[actix_rt::test]
async fn a_further_attempt_is_not_sent_over_a_narrow_link() {
    let now = Instant::now();
    let mut table = table(&[1, 2], now);
    let (service, model, tried) = (service(), model(), [id(1)]);
    let leaves = now + Duration::from_millis(500);
    let further =
        PlacementQuery { first_byte_deadline: Some(leaves), ..need(&service, &model, &tried) };
    assert_eq!(table.choose(&further, now), PlacementOutcome::Target(id(2)));

    table.apply_engine(&link_news(2, 500), now);
    assert_eq!(table.choose(&further, now), PlacementOutcome::Full);
    assert_eq!(choose(&table, &tried, now), PlacementOutcome::Target(id(2)), "its caller stays");
    table.apply_engine(&link_news(2, 0), now);

    table.record_first_byte(&id(2), now - Duration::from_millis(700), now);
    assert_eq!(
        table.choose(&further, now),
        PlacementOutcome::Full,
        "its answers begin after the caller left"
    );
    let patient =
        PlacementQuery { first_byte_deadline: Some(now + Duration::from_secs(1)), ..further };
    assert_eq!(table.choose(&patient, now), PlacementOutcome::Target(id(2)));
}

//! Configurations on their way: packed as differences, through the log, and to entries.

use crate::serving_config::{check, config};
use egretseam_catalog::{
    CatalogCommand, CatalogReply, CatalogState, LogTime, ServingChange, TimestampedCommand,
};
use egretseam_delta::{DocumentHistory, PackedDocument, UnpackError};
use egretseam_serving::{ConfigApplyError, ConfigHolder, ConfigRequest, ServingConfig};
use proptest::prelude::*;
use serde_json::{Value, json};
use std::sync::LazyLock;

/// Routes of a long configuration.
const ROUTES: usize = 1_700;
/// Newest of the versions that [`document`] knows.
const NEWEST: u64 = 14;
/// Changes that follow each other on it.
const CHANGES: u64 = 100;

/// A long configuration whose routes from `first_new` on have a timeout of their own.
fn long_config(version: u64, routes: usize, timeout: u64) -> Value {
    let route = |number: usize| {
        json!({
            "name": format!("branch-{number}"), "host": format!("h{}.example", number % 40),
            "pathPrefix": format!("/branch/{number}/"), "kind": "idempotent",
            "timeoutMs": if number == 3 { timeout } else { 1_000 }, "targetLatencyMs": 150,
            "priority": 1, "service": "orders", "maxAttempts": 2, "public": false
        })
    };
    config(version, Value::Array((0..routes).map(route).collect()))
}

fn stamped(change: ServingChange) -> TimestampedCommand {
    TimestampedCommand { at: LogTime(0), command: CatalogCommand::ReplaceServing(change) }
}

fn encoded(config: &ServingConfig) -> Vec<u8> {
    postcard::to_stdvec(config).expect("in memory")
}

/// An encoded configuration of one version; its content follows from the version.
fn document(version: u64) -> Vec<u8> {
    static DOCUMENTS: LazyLock<Vec<Vec<u8>>> = LazyLock::new(|| {
        let config = |version| check(&long_config(version, 20, 500 + version)).expect("proper");
        (0..=NEWEST).map(|version| encoded(&config(version))).collect()
    });
    DOCUMENTS[version as usize].clone()
}

/// A member that has applied these versions.
fn member(versions: impl IntoIterator<Item = u64>) -> DocumentHistory {
    let mut history = DocumentHistory::default();
    for version in versions {
        history.push(version, document(version).into());
    }
    history
}

/// What users would see: a region's answers stall while an operator edits one route of many, again
/// and again. Each change crossed to every member and entry whole; what crosses now is its difference.
#[test]
fn one_changed_route_among_many_travels_as_some_hundred_bytes() {
    let before = long_config(1, ROUTES, 1_000).to_string();
    let after = long_config(2, ROUTES, 2_000).to_string();
    let difference = PackedDocument::difference(after.as_bytes(), before.as_bytes());
    assert!(difference.size() < 500, "{} bytes", difference.size());
    let whole = PackedDocument::whole(after.as_bytes());
    assert!(whole.size() * 10 < after.len(), "{} of {} bytes", whole.size(), after.len());
    let unpacked = difference.unpack(Some(before.as_bytes())).expect("the right base");
    assert_eq!(unpacked, after.as_bytes());
}

#[test]
fn a_difference_from_another_document_is_found_out() {
    let difference = PackedDocument::difference(b"second", b"first");
    assert!(matches!(difference.unpack(Some(b"third")), Err(UnpackError::OtherBase)));
    assert!(matches!(difference.unpack(None), Err(UnpackError::OtherBase)));
}

/// What operators would see: two of them change the configuration at once, and one change is read
/// back mixed with the other. The second is a difference from what the first replaced; it must change
/// nothing, so that its sender sends it whole.
#[test]
fn a_change_of_a_replaced_configuration_changes_nothing_until_it_is_sent_whole() {
    let mut state = CatalogState::new();
    let [first, second, third] =
        [1, 2, 3].map(|version| long_config(version, 30, version * 100).to_string());
    state.apply(&stamped(ServingChange::full(1, first.as_bytes())));
    let base = state.serving().expect("accepted").clone();
    let early = ServingChange::delta_from(&base, 2, second.as_bytes());
    let late = ServingChange::delta_from(&base, 3, third.as_bytes());
    assert_eq!(state.apply(&stamped(early.clone())), CatalogReply::Done);
    assert_eq!(state.apply(&stamped(late)), CatalogReply::OtherBase);
    assert_eq!(state.serving().expect("kept").content, second.as_bytes());
    let whole = ServingChange::full(3, third.as_bytes());
    assert_eq!(state.apply(&stamped(whole)), CatalogReply::Done);
    assert_eq!(state.serving().expect("accepted").content, third.as_bytes());
    assert_eq!(state.apply(&stamped(early)), CatalogReply::Done, "overtaken, and sent again");
    assert_eq!(state.serving().expect("kept").content, third.as_bytes());
}

/// What operators would see: after a restart of everything the configuration is not read back as it
/// was sent. The text is kept compressed in snapshots and as differences in the log, and must come
/// out of both byte for byte; neither may grow with the length of the text for each change.
#[test]
fn a_long_configuration_survives_byte_for_byte_and_stays_small() {
    let mut state = CatalogState::new();
    let mut log_bytes = 0;
    let mut text = String::new();
    for version in 1..=CHANGES {
        // Blanks and an odd end stand for what an operator's own editor leaves.
        text = format!("{:#} \r\n", long_config(version, ROUTES, 1_000 + version));
        let change = match state.serving() {
            Some(held) => ServingChange::delta_from(held, version, text.as_bytes()),
            None => ServingChange::full(version, text.as_bytes()),
        };
        let command = stamped(change);
        log_bytes += postcard::to_stdvec(&command).expect("in memory").len();
        assert_eq!(state.apply(&command), CatalogReply::Done);
    }
    let snapshot = state.encode();
    let restored = CatalogState::decode(&snapshot).expect("a snapshot");
    assert_eq!(restored, state);
    assert_eq!(restored.serving().expect("kept").content, text.as_bytes());
    assert!(snapshot.len() < 64 * 1024, "{} bytes in the snapshot", snapshot.len());
    assert!(log_bytes < 128 * 1024, "{log_bytes} bytes in the log");
}

/// What users would see: an entry goes on with routes that were replaced, since it cannot make use of
/// what it is sent. One whose configuration is not the one that the member takes it for asks for the
/// whole; one that another member was quicker to bring forward asks for the difference again.
#[test]
fn an_entry_whose_base_is_another_asks_for_the_whole() {
    let mut holder = ConfigHolder::default();
    assert_eq!(holder.next_request(0), ConfigRequest::Whole);
    let taken = holder.apply(0, 1, &PackedDocument::whole(&document(1))).expect("whole");
    assert_eq!(taken.expect("newer").version, 1);
    assert_eq!(holder.next_request(1), ConfigRequest::Number);
    assert_eq!(holder.next_request(3), ConfigRequest::Difference);

    let foreign = PackedDocument::difference(&document(3), &document(9));
    let refused = holder.apply(1, 3, &foreign);
    assert!(matches!(refused, Err(ConfigApplyError::Unpack(UnpackError::OtherBase))));
    assert_eq!(holder.version(), 1, "nothing was taken");
    assert_eq!(holder.next_request(3), ConfigRequest::Whole);
    holder.apply(1, 3, &member([3]).packed_for(None).expect("whole")).expect("restored");
    assert_eq!((holder.version(), holder.next_request(3)), (3, ConfigRequest::Number));

    let overtaken = PackedDocument::difference(&document(4), &document(1));
    assert!(
        holder.apply(1, 4, &overtaken).is_err(),
        "made for what was held when it was asked for"
    );
    assert_eq!(holder.next_request(4), ConfigRequest::Difference);
}

/// A reader that is further behind than a member remembers gets the whole.
#[test]
fn a_member_makes_differences_from_a_few_former_versions_only() {
    let history = member(1..=12);
    let from = |held| history.packed_for(held).expect("there is one");
    assert!(!from(Some(11)).is_whole());
    assert!(from(Some(2)).is_whole());
    assert!(from(None).is_whole());
    assert!(from(Some(NEWEST)).is_whole(), "a version that it never had");
    assert!(member([]).packed_for(None).is_none());
}

/// One reading of a member's feed: which member, and how many versions it is behind the newest.
#[derive(Clone, Debug)]
struct Reading {
    member: usize,
    applied: u64,
    /// Readings that are answered before this one's answer arrives.
    delayed_by: usize,
}

fn reading() -> impl Strategy<Value = Reading> {
    (0..3_usize, 1..NEWEST, 0..4_usize).prop_map(|(member, applied, delayed_by)| Reading {
        member,
        applied,
        delayed_by,
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Documents are restored byte for byte, whatever they and their bases hold.
    #[test]
    fn documents_are_restored_byte_for_byte(
        content in proptest::collection::vec(any::<u8>(), 0..3_000),
        base in proptest::collection::vec(any::<u8>(), 0..3_000),
        kept in 0..3_000_usize,
    ) {
        let mut shares = base[..kept.min(base.len())].to_vec();
        shares.extend(&content);
        let difference = PackedDocument::difference(&shares, &base);
        prop_assert_eq!(difference.unpack(Some(&base)).expect("the right base"), shares.clone());
        prop_assert_eq!(PackedDocument::whole(&shares).unpack(None).expect("whole"), shares);
    }

    /// Damaged frames are never taken for a document.
    #[test]
    fn a_damaged_frame_is_refused(at in 0..200_usize, with in 1..=255_u8) {
        let packed = PackedDocument::difference(&document(2), &document(1));
        let mut bytes = postcard::to_stdvec(&packed).expect("in memory");
        let at = at % bytes.len();
        bytes[at] ^= with;
        if let Ok(damaged) = postcard::from_bytes::<PackedDocument>(&bytes)
            && let Ok(content) = damaged.unpack(Some(&document(1)))
        {
            prop_assert_eq!(content, document(2));
        }
    }

    /// What operators would see: an entry goes back to routes that they replaced. Three members have
    /// applied different versions, and their answers come in any order. The entry's version never
    /// falls, what it holds is that version's content, and a last reading brings it to the newest.
    #[test]
    fn versions_only_grow_in_any_order_of_arrival(
        readings in proptest::collection::vec(reading(), 1..30),
    ) {
        let mut holder = ConfigHolder::default();
        let mut heard = [0; 3];
        let mut on_the_way: Vec<(usize, u64, u64, PackedDocument)> = Vec::new();
        let deliver = |holder: &mut ConfigHolder, base, version, packed: &PackedDocument| {
            let before = holder.version();
            if let Ok(Some(config)) = holder.apply(base, version, packed) {
                assert!(config.version > before);
                assert_eq!(encoded(&config), document(version));
            }
            assert!(holder.version() >= before);
        };
        for reading in readings {
            let applied = reading.applied.max(heard[reading.member]);
            heard[reading.member] = applied;
            let held = holder.version();
            let history = member(1..=applied);
            let packed = match holder.next_request(applied) {
                ConfigRequest::Number => None,
                ConfigRequest::Difference => history.packed_for(Some(held)),
                ConfigRequest::Whole => history.packed_for(None),
            };
            if let Some(packed) = packed {
                on_the_way.push((reading.delayed_by, held, applied, packed));
            }
            on_the_way.retain_mut(|(delay, base, version, packed)| {
                if *delay == 0 {
                    deliver(&mut holder, *base, *version, packed);
                    return false;
                }
                *delay -= 1;
                true
            });
        }
        let newest = member(1..=NEWEST);
        for _ in 0..2 {
            let held = holder.version();
            let packed = match holder.next_request(NEWEST) {
                ConfigRequest::Number => break,
                ConfigRequest::Difference => newest.packed_for(Some(held)),
                ConfigRequest::Whole => newest.packed_for(None),
            };
            deliver(&mut holder, held, NEWEST, &packed.expect("there is one"));
        }
        prop_assert_eq!(holder.version(), NEWEST);
    }
}

/// A link that several entries share, first in, first out.
struct NarrowLink {
    bytes_per_second: f64,
    /// Seconds of work that wait before it.
    backlog: f64,
}

impl NarrowLink {
    /// Sends `bytes` after `pause` seconds; returns the seconds until they have arrived.
    fn send(&mut self, bytes: usize, pause: f64) -> f64 {
        self.backlog = (self.backlog - pause).max(0.0) + bytes as f64 / self.bytes_per_second;
        self.backlog
    }
}

/// The longest time in seconds that an event of a live answer takes over a link of 27 Mbit/s into a
/// region, while ten entries there get `changes` of some size each from one member, 0.3 s apart.
fn longest_event(sizes: impl Iterator<Item = usize>) -> f64 {
    const ENTRIES: usize = 10;
    const EVENT: usize = 300;
    const EVENTS_BETWEEN: usize = 1_500;
    let mut link = NarrowLink { bytes_per_second: 27e6 / 8.0, backlog: 0.0 };
    let mut longest: f64 = 0.0;
    for size in sizes {
        for _ in 0..ENTRIES {
            link.send(size, 0.0);
        }
        for _ in 0..EVENTS_BETWEEN {
            longest = longest.max(link.send(EVENT, 0.3 / EVENTS_BETWEEN as f64));
        }
    }
    longest
}

/// What users would see: a third of all streams pause for longer than a fifth of a second while
/// operators change a long configuration a dozen times. Their events wait behind it on the links
/// between regions.
#[test]
fn live_answers_do_not_wait_behind_a_storm_of_changes() {
    let documents: Vec<Vec<u8>> = (1..=13)
        .map(|version| {
            encoded(&check(&long_config(version, ROUTES, 1_000 + version)).expect("proper"))
        })
        .collect();
    let whole = longest_event(documents[1..].iter().map(Vec::len));
    let differences = documents.windows(2).map(|pair| {
        let packed = PackedDocument::difference(&pair[1], &pair[0]);
        postcard::to_stdvec(&packed).expect("in memory").len()
    });
    let difference = longest_event(differences);
    assert!(whole > 0.2, "whole documents hold an event up for {whole} s");
    assert!(difference < 0.01, "differences hold an event up for {difference} s");
}

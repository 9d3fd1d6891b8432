//! Transfer of configurations: packed as differences, through the log, and to entries.

use crate::serving_config::{check, config};
use egretseam_catalog::{
    CatalogCommand, CatalogReply, CatalogState, LogTime, ServingChange, TimestampedCommand,
};
use egretseam_delta::{DocumentHistory, PackedDocument, UnpackError};
use egretseam_serving::{ConfigApplyError, ConfigHolder, ConfigRequest, ServingConfig};
use proptest::prelude::*;
use serde_json::{Value, json};
use std::sync::LazyLock;

/// Routes of a large configuration.
const ROUTES: usize = 1_700;
/// Newest version that [`document`] returns.
const NEWEST_VERSION: u64 = 14;
/// Successive changes of the large configuration.
const CHANGES: u64 = 100;

/// A configuration with `routes` routes, of which the one with number 3 has the given timeout in
/// milliseconds.
fn large_config(version: u64, routes: usize, timeout: u64) -> Value {
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

/// The encoded configuration of a version; the version determines its content.
fn document(version: u64) -> Vec<u8> {
    static DOCUMENTS: LazyLock<Vec<Vec<u8>>> = LazyLock::new(|| {
        let config = |version| {
            check(&large_config(version, 20, 500 + version)).expect("a valid configuration")
        };
        (0..=NEWEST_VERSION).map(|version| encoded(&config(version))).collect()
    });
    DOCUMENTS[version as usize].clone()
}

/// The history of a member that has applied these versions.
fn member_history(versions: impl IntoIterator<Item = u64>) -> DocumentHistory {
    let mut history = DocumentHistory::default();
    for version in versions {
        history.push(version, document(version).into());
    }
    history
}

/// Guards against answers that stall in a region while an operator repeatedly edits one route of
/// many. Sent to every member and entry as a whole, the configuration fills the links between
/// regions; its difference does not.
#[test]
fn a_change_of_one_route_among_many_is_packed_below_500_bytes() {
    let before = large_config(1, ROUTES, 1_000).to_string();
    let after = large_config(2, ROUTES, 2_000).to_string();
    let difference = PackedDocument::delta(after.as_bytes(), before.as_bytes());
    assert!(difference.size() < 500, "{} bytes", difference.size());
    let complete = PackedDocument::full(after.as_bytes());
    assert!(complete.size() * 10 < after.len(), "{} of {} bytes", complete.size(), after.len());
    let unpacked = difference.unpack(Some(before.as_bytes())).expect("the right base");
    assert_eq!(unpacked, after.as_bytes());
}

#[test]
fn a_difference_from_another_document_is_detected() {
    let difference = PackedDocument::delta(b"second", b"first");
    assert!(matches!(difference.unpack(Some(b"third")), Err(UnpackError::BaseMismatch)));
    assert!(matches!(difference.unpack(None), Err(UnpackError::BaseMismatch)));
}

/// Guards against a configuration that mixes two changes. Two operators change it concurrently, and
/// the second change is a difference from the configuration that the first replaced. It must change
/// nothing, so that its sender sends the complete configuration.
#[test]
fn a_difference_from_a_replaced_configuration_changes_nothing() {
    let mut state = CatalogState::new();
    let [first, second, third] =
        [1, 2, 3].map(|version| large_config(version, 30, version * 100).to_string());
    state.apply(&stamped(ServingChange::full(1, first.as_bytes())));
    let base = state.serving().expect("accepted").clone();
    let early = ServingChange::delta_from(&base, 2, second.as_bytes());
    let late = ServingChange::delta_from(&base, 3, third.as_bytes());
    assert_eq!(state.apply(&stamped(early.clone())), CatalogReply::Done);
    assert_eq!(state.apply(&stamped(late)), CatalogReply::OtherBase);
    assert_eq!(state.serving().expect("kept").content, second.as_bytes());
    let complete = ServingChange::full(3, third.as_bytes());
    assert_eq!(state.apply(&stamped(complete)), CatalogReply::Done);
    assert_eq!(state.serving().expect("accepted").content, third.as_bytes());
    assert_eq!(state.apply(&stamped(early)), CatalogReply::Done, "superseded, and sent again");
    assert_eq!(state.serving().expect("kept").content, third.as_bytes());
}

/// Guards against a configuration that differs from the one sent after all members restart.
/// Snapshots keep the text compressed and the log keeps differences; both must restore it byte for
/// byte, and neither may grow by the length of the text with each change.
#[test]
fn a_large_configuration_is_restored_byte_for_byte_and_stored_compactly() {
    let mut state = CatalogState::new();
    let mut log_bytes = 0;
    let mut text = String::new();
    for version in 1..=CHANGES {
        // Indentation and an unusual line ending, as an operator's editor may leave them.
        text = format!("{:#} \r\n", large_config(version, ROUTES, 1_000 + version));
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

/// Guards against an entry that keeps using replaced routes because it cannot apply the differences
/// that it receives. An entry whose configuration is not the base that the member assumed requests
/// the complete one; an entry whose base another member has updated meanwhile requests the
/// difference again.
#[test]
fn an_entry_with_another_base_requests_the_complete_configuration() {
    let mut holder = ConfigHolder::default();
    assert_eq!(holder.next_request(0), ConfigRequest::Whole);
    let applied = holder.apply(0, 1, &PackedDocument::full(&document(1))).expect("complete");
    assert_eq!(applied.expect("newer").version, 1);
    assert_eq!(holder.next_request(1), ConfigRequest::Number);
    assert_eq!(holder.next_request(3), ConfigRequest::Difference);

    let foreign = PackedDocument::delta(&document(3), &document(9));
    let failed = holder.apply(1, 3, &foreign);
    assert!(matches!(failed, Err(ConfigApplyError::Unpack(UnpackError::BaseMismatch))));
    assert_eq!(holder.version(), 1, "nothing is applied");
    assert_eq!(holder.next_request(3), ConfigRequest::Whole);
    holder.apply(1, 3, &member_history([3]).packed_for(None).expect("complete")).expect("applied");
    assert_eq!((holder.version(), holder.next_request(3)), (3, ConfigRequest::Number));

    let outdated = PackedDocument::delta(&document(4), &document(1));
    assert!(holder.apply(1, 4, &outdated).is_err(), "its base is the version held at the request");
    assert_eq!(holder.next_request(4), ConfigRequest::Difference);
}

/// A reader whose version a member no longer keeps receives the complete configuration.
#[test]
fn a_member_computes_differences_from_a_few_earlier_versions_only() {
    let history = member_history(1..=12);
    let from = |held| history.packed_for(held).expect("a document");
    assert!(!from(Some(11)).is_full());
    assert!(from(Some(2)).is_full());
    assert!(from(None).is_full());
    assert!(from(Some(NEWEST_VERSION)).is_full(), "a version that the member never had");
    assert!(member_history([]).packed_for(None).is_none());
}

/// One request to a member's feed.
#[derive(Clone, Debug)]
struct FeedRequest {
    member: usize,
    /// Version that the member has applied by then.
    applied: u64,
    /// Further requests that are made before the reply to this one arrives.
    delayed_by: usize,
}

fn feed_request() -> impl Strategy<Value = FeedRequest> {
    (0..3_usize, 1..NEWEST_VERSION, 0..4_usize)
        .prop_map(|(member, applied, delayed_by)| FeedRequest { member, applied, delayed_by })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Documents are restored byte for byte, whatever they and their bases contain.
    #[test]
    fn documents_are_restored_byte_for_byte(
        content in proptest::collection::vec(any::<u8>(), 0..3_000),
        base in proptest::collection::vec(any::<u8>(), 0..3_000),
        kept in 0..3_000_usize,
    ) {
        let mut document = base[..kept.min(base.len())].to_vec();
        document.extend(&content);
        let difference = PackedDocument::delta(&document, &base);
        prop_assert_eq!(difference.unpack(Some(&base)).expect("the right base"), document.clone());
        prop_assert_eq!(PackedDocument::full(&document).unpack(None).expect("complete"), document);
    }

    /// A corrupted frame never unpacks to a wrong document.
    #[test]
    fn a_corrupted_frame_is_rejected(at in 0..200_usize, with in 1..=255_u8) {
        let packed = PackedDocument::delta(&document(2), &document(1));
        let mut bytes = postcard::to_stdvec(&packed).expect("in memory");
        let at = at % bytes.len();
        bytes[at] ^= with;
        if let Ok(corrupted) = postcard::from_bytes::<PackedDocument>(&bytes)
            && let Ok(content) = corrupted.unpack(Some(&document(1)))
        {
            prop_assert_eq!(content, document(2));
        }
    }

    /// Guards against an entry that reverts to replaced routes. Three members have applied
    /// different versions, and their replies arrive in any order. The entry's version never
    /// decreases, its configuration is that of its version, and final requests bring it to the
    /// newest.
    #[test]
    fn versions_only_grow_in_any_order_of_arrival(
        requests in proptest::collection::vec(feed_request(), 1..30),
    ) {
        let mut holder = ConfigHolder::default();
        let mut applied_versions = [0; 3];
        let mut in_flight: Vec<(usize, u64, u64, PackedDocument)> = Vec::new();
        let deliver = |holder: &mut ConfigHolder, base, version, packed: &PackedDocument| {
            let before = holder.version();
            if let Ok(Some(config)) = holder.apply(base, version, packed) {
                assert!(config.version > before);
                assert_eq!(encoded(&config), document(version));
            }
            assert!(holder.version() >= before);
        };
        for request in requests {
            let applied = request.applied.max(applied_versions[request.member]);
            applied_versions[request.member] = applied;
            let held = holder.version();
            let history = member_history(1..=applied);
            let packed = match holder.next_request(applied) {
                ConfigRequest::Number => None,
                ConfigRequest::Difference => history.packed_for(Some(held)),
                ConfigRequest::Whole => history.packed_for(None),
            };
            if let Some(packed) = packed {
                in_flight.push((request.delayed_by, held, applied, packed));
            }
            in_flight.retain_mut(|(delay, base, version, packed)| {
                if *delay == 0 {
                    deliver(&mut holder, *base, *version, packed);
                    return false;
                }
                *delay -= 1;
                true
            });
        }
        let newest = member_history(1..=NEWEST_VERSION);
        for _ in 0..2 {
            let held = holder.version();
            let packed = match holder.next_request(NEWEST_VERSION) {
                ConfigRequest::Number => break,
                ConfigRequest::Difference => newest.packed_for(Some(held)),
                ConfigRequest::Whole => newest.packed_for(None),
            };
            deliver(&mut holder, held, NEWEST_VERSION, &packed.expect("a document"));
        }
        prop_assert_eq!(holder.version(), NEWEST_VERSION);
    }
}

/// A link that several entries share; sends in order of arrival.
struct SharedLink {
    bytes_per_second: f64,
    /// Time in seconds that the queued bytes take.
    backlog_seconds: f64,
}

impl SharedLink {
    /// Sends `bytes` after a pause; returns the seconds until they have arrived.
    fn send(&mut self, bytes: usize, pause_seconds: f64) -> f64 {
        self.backlog_seconds =
            (self.backlog_seconds - pause_seconds).max(0.0) + bytes as f64 / self.bytes_per_second;
        self.backlog_seconds
    }
}

/// The longest time in seconds that an event of a live answer takes over a link of 27 Mbit/s into a
/// region, while one member sends changes of the given sizes in bytes to ten entries there, 0.3 s
/// apart.
fn longest_event_seconds(sizes: impl Iterator<Item = usize>) -> f64 {
    const ENTRIES: usize = 10;
    const EVENT_BYTES: usize = 300;
    const EVENTS_PER_CHANGE: usize = 1_500;
    let mut link = SharedLink { bytes_per_second: 27e6 / 8.0, backlog_seconds: 0.0 };
    let mut longest: f64 = 0.0;
    for size in sizes {
        for _ in 0..ENTRIES {
            link.send(size, 0.0);
        }
        for _ in 0..EVENTS_PER_CHANGE {
            longest = longest.max(link.send(EVENT_BYTES, 0.3 / EVENTS_PER_CHANGE as f64));
        }
    }
    longest
}

/// Guards against pauses of more than 0.2 s in a third of all streams while operators change a
/// large configuration a dozen times: the streams' events queue behind it on the links between
/// regions.
#[test]
fn events_do_not_queue_behind_frequent_changes() {
    let documents: Vec<Vec<u8>> = (1..=13)
        .map(|version| {
            encoded(
                &check(&large_config(version, ROUTES, 1_000 + version))
                    .expect("a valid configuration"),
            )
        })
        .collect();
    let complete = longest_event_seconds(documents[1..].iter().map(Vec::len));
    let differences = documents.windows(2).map(|pair| {
        let packed = PackedDocument::delta(&pair[1], &pair[0]);
        postcard::to_stdvec(&packed).expect("in memory").len()
    });
    let difference = longest_event_seconds(differences);
    assert!(complete > 0.2, "complete documents delay an event by {complete} s");
    assert!(difference < 0.01, "differences delay an event by {difference} s");
}

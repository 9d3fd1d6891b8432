//! Which of two published versions the origin's next chunk serves.

use egretseam_serving::{OriginBacklog, OriginTurn, OriginTurnPolicy, SwitchTiming};
use std::time::Duration;

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn policy() -> OriginTurnPolicy {
    let timing = SwitchTiming { staleness_bound: millis(10_300), reserve: millis(1_600) };
    OriginTurnPolicy::new(timing)
}

/// Two versions published three seconds apart. The origin, which sends a chunk in 44 ms, has been
/// unreachable since before the second one, and is back 8.5 s after the first.
fn outage_end() -> OriginBacklog {
    OriginBacklog {
        since_published: millis(8_500),
        since_newest_published: millis(5_500),
        superseded_chunks: 8,
        newest_chunks: 64,
        chunk_time: millis(44),
    }
}

/// Guards against four seconds without service: the version in use must be left before the newest one
/// can be there, and a few chunks of the one between them are missing.
#[test]
fn the_few_missing_chunks_of_a_superseded_version_go_first() {
    assert_eq!(policy().next(&outage_end()), OriginTurn::Superseded);
    // Half a version takes as long as its use would bridge.
    let half = OriginBacklog { superseded_chunks: 32, ..outage_end() };
    assert_eq!(policy().next(&half), OriginTurn::Newest);
}

/// Guards against a newest version that is delayed although nothing would be bridged.
#[test]
fn the_newest_version_goes_first_while_the_one_in_use_lasts() {
    let early = OriginBacklog {
        since_published: millis(2_000),
        since_newest_published: Duration::ZERO,
        ..outage_end()
    };
    assert_eq!(policy().next(&early), OriginTurn::Newest);
    // The newest is nearly here.
    let few = OriginBacklog { newest_chunks: 8, ..outage_end() };
    assert_eq!(policy().next(&few), OriginTurn::Newest);
    // The superseded version must itself be left soon.
    let late = OriginBacklog { since_newest_published: millis(8_000), ..outage_end() };
    assert_eq!(policy().next(&late), OriginTurn::Newest);
}

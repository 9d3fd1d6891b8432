//! Paces that targets state, in placement and between processes.

use crate::serving_tables::{address, choose, id, table};
use egretseam_rpc::{LoadDatagram, PaceDatagram, PaceReport, PeerSecret, TargetLoad};
use egretseam_serving::{PaceFactor, PlacementOutcome};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};
use tokio::time::Instant;

fn pace(percent: u16) -> PaceFactor {
    PaceFactor::from_percent(percent).expect("not 0")
}

/// Guards against requests to targets that are slow for half a second, and against targets that stay
/// unused after that.
#[actix_rt::test]
async fn slow_targets_get_few_requests_while_they_are_slow() {
    let now = Instant::now();
    let mut table = table(&[1, 2], now);
    assert!(table.record_pace(&id(1), pace(250), now), "news");
    let to_slow = |table: &egretseam_serving::TargetTable, now: Instant| {
        let slow = PlacementOutcome::Target(id(1));
        (0..1_000).filter(|_| choose(table, &[], now) == slow).count()
    };
    let while_slow = to_slow(&table, now);
    let afterwards = to_slow(&table, now + Duration::from_secs(3));
    assert!(while_slow < 320, "{while_slow} of 1000 to the slow one");
    assert!((430..570).contains(&afterwards), "{afterwards} of 1000 when it is fast again");
}

/// Guards against datagrams for every response: others are told when a target turns slow or usual,
/// and now and then while it stays slow.
#[actix_rt::test]
async fn only_changes_of_a_pace_are_news() {
    let now = Instant::now();
    let later = |millis| now + Duration::from_millis(millis);
    let mut table = table(&[1], now);
    assert!(!table.record_pace(&id(1), pace(100), now), "usual from the start");
    assert!(table.record_pace(&id(1), pace(250), later(100)));
    assert!(!table.record_pace(&id(1), pace(240), later(200)));
    assert!(table.record_pace(&id(1), pace(250), later(700)), "still slow");
    assert!(table.record_pace(&id(1), pace(100), later(800)));
    table.record_pace_at(address(1), pace(250), later(750));
    assert!(!table.record_pace(&id(1), pace(100), later(900)), "an older word changes nothing");
}

#[test]
fn paces_that_make_no_sense_are_unknown() {
    assert_eq!(PaceFactor::from_percent(0), None);
    for factor in [0.0, -1.0, f64::NAN, f64::INFINITY, 1e9] {
        assert!(PaceFactor::try_from(factor).is_err(), "{factor}");
    }
    assert_eq!(PaceFactor::try_from(2.5), Ok(pace(250)));
}

/// A load datagram as the release before paces knows it.
#[derive(Serialize, Deserialize)]
struct EarlierDatagram {
    tag: u64,
    for_zone: bool,
    samples: Vec<(SocketAddr, u16)>,
}

/// Guards against load samples that processes of releases beside each other cannot read.
#[test]
fn earlier_releases_read_loads_with_paces_and_the_other_way_round() {
    let secret = PeerSecret::derive("a secret");
    let sample = |host, pace_percent| TargetLoad { address: address(host), busy: 7, pace_percent };
    let samples = [sample(1, 250), sample(2, 0)];
    let bytes = LoadDatagram::encode(&secret, true, &samples);
    let decoded = LoadDatagram::decode(&secret, &bytes).expect("its own datagram");
    assert_eq!(decoded.samples, samples);
    let earlier: EarlierDatagram = postcard::from_bytes(&bytes).expect("decodable");
    assert_eq!(earlier.samples, [(address(1), 7), (address(2), 7)]);
    let from_earlier = postcard::to_stdvec(&earlier).expect("in memory");
    let decoded = LoadDatagram::decode(&secret, &from_earlier).expect("an earlier datagram");
    assert_eq!(decoded.samples, [sample(1, 0), sample(2, 0)]);
    let without_paces = LoadDatagram::encode(&secret, true, &[sample(1, 0), sample(2, 0)]);
    assert_eq!(without_paces, from_earlier, "nothing is added where no target states a pace");
}

#[test]
fn paces_and_loads_are_told_apart() {
    let secret = PeerSecret::derive("a secret");
    let reports = [PaceReport { address: address(1), percent: 250, age_millis: 12 }];
    let bytes = PaceDatagram::encode(&secret, true, &reports);
    assert_eq!(PaceDatagram::decode(&secret, &bytes).expect("its own").reports, reports);
    assert!(LoadDatagram::decode(&secret, &bytes).is_none());
    assert!(PaceDatagram::decode(&PeerSecret::derive("another"), &bytes).is_none());
}

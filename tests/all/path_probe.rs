//! Detecting a slow link from the round-trip times of probes to other instances.

use egretseam_proto::InstanceName;
use egretseam_swarm::PathProbe;
use std::time::Duration;
use tokio::time::Instant;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn peers(count: u8) -> Vec<InstanceName> {
    let name = |number| InstanceName::try_from(format!("10-0-0-{number}")).expect("a valid name");
    (0..count).map(name).collect()
}

fn new_probe(peers: &[InstanceName]) -> PathProbe {
    let mut probe = PathProbe::default();
    probe.set_peers(peers);
    probe
}

/// Probes all peers at `now`; their replies take the given numbers of milliseconds.
fn probe_all(probe: &mut PathProbe, peers: &[InstanceName], round_trips: &[u64], now: Instant) {
    for (peer, round_trip) in peers.iter().zip(round_trips) {
        probe.record_probe_sent(peer, now);
        probe.record_reply(peer, now + millis(*round_trip));
    }
}

/// Guards against targets that get no requests because another instance is slow, is unreachable, or
/// has not replied yet.
#[actix_rt::test]
async fn a_link_is_slow_only_if_all_of_several_peers_reply_slowly() {
    let (names, now) = (peers(3), Instant::now());
    let mut probe = new_probe(&names);
    for peer in &names {
        probe.record_probe_sent(peer, now);
    }
    assert_eq!(probe.delay(now + millis(3_000)), None, "no peer has ever replied");
    probe_all(&mut probe, &names, &[1_500, 20, 1_500], now);
    // A peer that replies at once is probed more often.
    probe_all(&mut probe, &names[1..2], &[20], now + millis(1_300));
    assert_eq!(probe.delay(now + millis(1_500)), None, "one peer replies at once");
    probe_all(&mut probe, &names, &[1_500, 1_200, 900], now);
    assert_eq!(probe.delay(now + millis(1_500)), Some(millis(900)));
    assert_eq!(probe.delay(now + millis(4_000)), None, "replies count for one second");
    probe_all(&mut probe, &names, &[1_500, 1_200, 900], now);
    probe.record_unreachable(&names[0]);
    probe.record_unreachable(&names[1]);
    assert_eq!(probe.delay(now + millis(1_500)), None, "a single peer says nothing about the link");
}

/// Guards against targets that get no requests while a few links are slow: parts from agents behind
/// those do not arrive, and others take that for a slow link of their own.
#[actix_rt::test]
async fn a_reply_to_a_probe_sent_since_shows_that_the_link_is_not_blocked() {
    let (names, start) = (peers(2), Instant::now());
    let mut probe = new_probe(&names);
    assert!(!probe.has_round_trip_since(start), "no peer has ever replied");
    probe_all(&mut probe, &names, &[5, 5], start);
    assert!(!probe.has_round_trip_since(start + millis(1)), "both were sent before");
    probe.record_probe_sent(&names[0], start + millis(50));
    assert!(!probe.has_round_trip_since(start + millis(1)), "it has not been answered");
    probe.record_reply(&names[0], start + millis(60));
    assert!(probe.has_round_trip_since(start + millis(1)));
}

/// Guards against a slow link that is detected only after replies have arrived over it.
#[actix_rt::test]
async fn outstanding_probes_count() {
    let (names, now) = (peers(3), Instant::now());
    let mut probe = new_probe(&names);
    probe_all(&mut probe, &names, &[5, 5, 5], now);
    let sent_at = now + millis(100);
    for peer in &names {
        probe.record_probe_sent(peer, sent_at);
    }
    assert_eq!(probe.delay(sent_at + millis(400)), None);
    assert_eq!(probe.delay(sent_at + millis(1_000)), Some(millis(1_000)));
    probe.record_process_pause(sent_at + millis(1_000));
    assert_eq!(probe.delay(sent_at + millis(1_000)), None, "the process was frozen");
}

//! Telling from questions to other instances how long anything is on its way over the own link.

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

fn probe_of(peers: &[InstanceName]) -> PathProbe {
    let mut probe = PathProbe::default();
    probe.set_peers(peers);
    probe
}

/// Asks everybody at `now`; answers take as long as is said.
fn ask(probe: &mut PathProbe, peers: &[InstanceName], took: &[u64], now: Instant) {
    for (peer, took) in peers.iter().zip(took) {
        probe.record_probe_sent(peer, now);
        probe.record_reply(peer, now + millis(*took));
    }
}

/// Guards against targets that get nothing since another instance is slow, has gone, or says nothing yet.
#[actix_rt::test]
async fn the_own_link_is_told_from_others() {
    let (names, now) = (peers(3), Instant::now());
    let mut probe = probe_of(&names);
    for peer in &names {
        probe.record_probe_sent(peer, now);
    }
    assert_eq!(probe.delay(now + millis(3_000)), None, "nobody has ever answered");
    ask(&mut probe, &names, &[1_500, 20, 1_500], now);
    // Who answers at once is asked again and again.
    ask(&mut probe, &names[1..2], &[20], now + millis(1_300));
    assert_eq!(probe.delay(now + millis(1_500)), None, "one answers at once");
    ask(&mut probe, &names, &[1_500, 1_200, 900], now);
    assert_eq!(probe.delay(now + millis(1_500)), Some(millis(900)));
    assert_eq!(probe.delay(now + millis(4_000)), None, "answers count for a second");
    ask(&mut probe, &names, &[1_500, 1_200, 900], now);
    probe.record_unreachable(&names[0]);
    probe.record_unreachable(&names[1]);
    assert_eq!(probe.delay(now + millis(1_500)), None, "one instance says nothing of the link");
}

/// Guards against a narrowed link that is known only when answers have come over it.
#[actix_rt::test]
async fn answers_that_are_awaited_count() {
    let (names, now) = (peers(3), Instant::now());
    let mut probe = probe_of(&names);
    ask(&mut probe, &names, &[5, 5, 5], now);
    let asked_at = now + millis(100);
    for peer in &names {
        probe.record_probe_sent(peer, asked_at);
    }
    assert_eq!(probe.delay(asked_at + millis(400)), None);
    assert_eq!(probe.delay(asked_at + millis(1_000)), Some(millis(1_000)));
    probe.record_process_pause(asked_at + millis(1_000));
    assert_eq!(probe.delay(asked_at + millis(1_000)), None, "the process was frozen");
}

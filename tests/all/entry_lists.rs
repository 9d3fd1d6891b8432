//! Entries that the configuration lists.

use crate::support::{TestCluster, block_on, cluster_options};
use egretseam_catalog::{CatalogCommand, EntryRecord};
use egretseam_local::LocalCluster;
use egretseam_proto::{Incarnation, InstanceName, ZoneName};
use egretseam_rpc::{ControlClient, LinkOptions, PeerSecret};
use std::time::{Duration, Instant};

/// Time after the announcement at which the entry must still be listed. Longer than the interval at
/// which the control leader looks for silent entries.
const OBSERVED_TIME: Duration = Duration::from_secs(5);
/// Time after the announcement beyond which the entry may rightly count as silent.
const MIN_SILENCE: Duration = Duration::from_secs(14);
/// Interval between two reads of the configuration.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of the announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(10);

fn announced_entry() -> EntryRecord {
    EntryRecord {
        name: InstanceName::try_from("entry-new").expect("a valid name"),
        incarnation: Incarnation(1),
        zone: ZoneName::try_from("zone-0").expect("a valid name"),
        caller_address: "127.0.0.1:1".to_owned(),
        peer_address: "127.0.0.1:2".to_owned(),
        leaving: false,
    }
}

/// An entry announces itself, and the control leader has heard of no watch of it yet. Guards
/// against its removal at once, which left callers with lists that lacked running entries.
#[test]
fn an_entry_that_has_just_announced_itself_stays_listed() {
    let test = TestCluster::start(cluster_options(1, 0));
    let record = announced_entry();
    let name = record.name.clone();
    let members = test.cluster.control_peer_addresses();
    block_on(async move {
        let secret = PeerSecret::derive(LocalCluster::PEER_TOKEN);
        let control = ControlClient::new(&members, secret, LinkOptions::default(), 0);
        let command = CatalogCommand::AnnounceEntry(record);
        control.submit(&command, ANNOUNCE_TIMEOUT).await.expect("announced");
    });
    let announced_at = Instant::now();
    let mut last_listed = Duration::ZERO;
    while last_listed < OBSERVED_TIME {
        let config = test.cluster.config();
        let since_announced = announced_at.elapsed();
        assert!(since_announced < MIN_SILENCE, "not read in time: {config:?}");
        if let Ok(config) = config {
            assert!(config.entries.contains_key(&name), "removed after {since_announced:?}");
            last_listed = since_announced;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

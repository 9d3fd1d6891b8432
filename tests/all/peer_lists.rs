//! Lists of agents that exchange chunks, sent as numbered changes.

use crate::serving_tables::address;
use egretseam_proto::ZoneName;
use egretseam_serving::{PeerList, PeerMap, PeerUpdate, apply_peer_updates};
use proptest::prelude::*;

/// Instances added within seconds of each other.
const ADDED_INSTANCES: u8 = 184;

fn zone(name: &str) -> ZoneName {
    ZoneName::try_from(name).expect("a valid name")
}

fn peers(hosts: impl IntoIterator<Item = u8>) -> PeerMap {
    let mut peers: PeerMap = hosts.into_iter().map(|host| (address(host), zone("z1"))).collect();
    peers.sort_unstable_keys();
    peers
}

fn encoded_size(updates: &[PeerUpdate]) -> usize {
    postcard::to_stdvec(updates).expect("in memory").len()
}

/// Guards against weights that reach added instances late. Instances are added one by one, and if
/// every agent received the complete list for each of them, the lists would take the link on which
/// the agent fetches chunks.
#[test]
fn each_added_instance_is_sent_to_an_agent_once() {
    let mut list = PeerList::default();
    let mut agent = PeerMap::new();
    let (mut seen, mut bytes) = (0, 0);
    for count in 1..=ADDED_INSTANCES {
        assert!(list.set(peers(1..=count)));
        let updates = list.updates_since(seen);
        bytes += encoded_size(&updates);
        apply_peer_updates(&mut agent, updates);
        seen = list.change_number();
    }
    assert_eq!(agent, peers(1..=ADDED_INSTANCES));
    let complete = encoded_size(&list.updates_since(0));
    assert!(bytes < complete * 2, "{bytes} bytes sent; the complete list has {complete}");
}

#[test]
fn an_agent_that_is_far_behind_gets_the_complete_list() {
    let mut list = PeerList::default();
    for count in 1..=ADDED_INSTANCES {
        list.set(peers(1..=count));
    }
    assert!(matches!(list.updates_since(3)[..], [PeerUpdate::Whole(_)]));
    assert!(!list.set(peers(1..=ADDED_INSTANCES)), "nothing changed");
    assert!(list.updates_since(list.change_number()).is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    /// An agent that applies the updates, with pauses of any length, has the current list.
    #[test]
    fn updates_lead_to_the_current_list(
        steps in proptest::collection::vec(
            (proptest::collection::vec(1..40_u8, 0..30), any::<bool>()), 1..90),
    ) {
        let mut list = PeerList::default();
        let mut agent = PeerMap::new();
        let mut seen = 0;
        for (hosts, reads) in steps {
            let now = peers(hosts);
            list.set(now.clone());
            if reads {
                apply_peer_updates(&mut agent, list.updates_since(seen));
                seen = list.change_number();
                prop_assert_eq!(&agent, &now);
            }
        }
    }
}

//! Lists of agents that exchange chunks, as numbered changes.

use crate::serving_tables::address;
use egretseam_proto::ZoneName;
use egretseam_serving::{PeerList, PeerMap, PeerUpdate, apply_peer_updates};
use proptest::prelude::*;

/// Instances that are added within seconds of each other.
const ADDED: u8 = 184;

fn zone(name: &str) -> ZoneName {
    ZoneName::try_from(name).expect("a valid name")
}

fn peers(hosts: impl IntoIterator<Item = u8>) -> PeerMap {
    let mut peers: PeerMap = hosts.into_iter().map(|host| (address(host), zone("z1"))).collect();
    peers.sort_unstable_keys();
    peers
}

fn wire_size(updates: &[PeerUpdate]) -> usize {
    postcard::to_stdvec(updates).expect("in memory").len()
}

/// What users would see: weights that reach added instances late. Instances are added one by one, and
/// with each of them every agent gets the list of all, over the link that it needs for chunks.
#[test]
fn an_agent_hears_of_each_added_instance_once() {
    let mut list = PeerList::default();
    let mut agent = PeerMap::new();
    let (mut seen, mut bytes) = (0, 0);
    for count in 1..=ADDED {
        assert!(list.set(peers(1..=count)));
        let updates = list.updates_since(seen);
        bytes += wire_size(&updates);
        apply_peer_updates(&mut agent, updates);
        seen = list.change_number();
    }
    assert_eq!(agent, peers(1..=ADDED));
    let whole = wire_size(&list.updates_since(0));
    assert!(bytes < whole * 2, "{bytes} bytes, the whole list once has {whole}");
}

#[test]
fn an_agent_that_is_far_behind_gets_the_whole_list() {
    let mut list = PeerList::default();
    for count in 1..=ADDED {
        list.set(peers(1..=count));
    }
    assert!(matches!(list.updates_since(3)[..], [PeerUpdate::Whole(_)]));
    assert!(!list.set(peers(1..=ADDED)), "nothing changed");
    assert!(list.updates_since(list.change_number()).is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    /// Whoever follows the changes, with pauses of any length, has the list of the present.
    #[test]
    fn changes_lead_to_the_present_list(
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

//! Changes of the control group's membership that are sent more than once.

use crate::support::{TestCluster, block_on, cluster_options};
use egretseam_local::LocalCluster;
use egretseam_replica::{MemberId, MemberRecord, MembershipChange};
use egretseam_rpc::{ControlClient, LinkOptions, MemberCall, MemberReply, PeerSecret};
use std::time::Duration;

/// Timeout of a change; far above the time that one takes.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(30);
/// Id of a member that the group does not have.
const UNKNOWN_ID: MemberId = MemberId(7);

async fn submit(client: &ControlClient, change: &MembershipChange) -> MemberReply {
    let call = MemberCall { change: change.clone() };
    loop {
        let reply = client.change_members(&call, CHANGE_TIMEOUT).await.expect("a reply");
        if reply != MemberReply::Unknown {
            return reply;
        }
    }
}

/// Guards against a change that is refused, although it was made, when it is sent again because its
/// reply was lost.
#[test]
fn a_membership_change_that_was_made_is_acknowledged_again() {
    let test = TestCluster::start(cluster_options(0, 1));
    let addresses = test.cluster.control_peer_addresses();
    block_on(async move {
        let secret = PeerSecret::derive(LocalCluster::PEER_TOKEN);
        let client = ControlClient::new(&addresses, secret, LinkOptions::default(), 0);
        let group = client.members(CHANGE_TIMEOUT).await.expect("a reply");
        let leader = group.leader.expect("a leader");
        let other = group.members.iter().find(|member| member.name != leader);
        let voter = other.expect("another member").id;
        let record = MemberRecord {
            id: UNKNOWN_ID,
            name: "control-new".to_owned(),
            address: "127.0.0.1:1".to_owned(),
            voter: false,
        };
        let add = MembershipChange::AddLearner(record.clone());
        let promote = MembershipChange::Promote(voter);
        let remove = MembershipChange::Remove(UNKNOWN_ID);
        for change in [&promote, &add, &add, &remove, &remove] {
            assert_eq!(submit(&client, change).await, MemberReply::Done, "{change:?}");
        }
        let moved = MemberRecord { id: voter, ..record };
        let unknown = MembershipChange::Promote(UNKNOWN_ID);
        for change in [&add, &unknown, &MembershipChange::AddLearner(moved)] {
            let reply = submit(&client, change).await;
            assert!(matches!(reply, MemberReply::Refused(_)), "{change:?}: {reply:?}");
        }
    });
}

//! A founded member on a real folder.

use egretseam_replica::{GroupId, LogStore, MemberId, ReplicaConfig, ReplicaNode};
use std::time::Duration;

/// Steps a node until it has nothing to do.
fn settle(node: &mut ReplicaNode, store: &mut LogStore) {
    loop {
        let output = node.take_output();
        if output.is_empty() {
            return;
        }
        if !output.writes.is_empty() {
            store.write(&output.writes).expect("the folder takes writes");
        }
        node.record_sync();
    }
}

#[test]
fn a_founder_leads_alone_and_again_after_a_restart() {
    let folder = tempfile::tempdir().expect("a folder");
    LogStore::bootstrap(folder.path(), MemberId(7), GroupId(1), "a", "127.0.0.1:1")
        .expect("founded");
    for _ in 0..2 {
        let (mut store, identity, state) = LogStore::open(folder.path()).expect("opened");
        let mut node = ReplicaNode::new(&identity, state, ReplicaConfig::default(), 1);
        node.tick(Duration::from_millis(1));
        settle(&mut node, &mut store);
        assert!(node.is_leader());
        node.propose(vec![1, 2, 3]).expect("a leader takes proposals");
        settle(&mut node, &mut store);
        assert_eq!(node.status().commit_index, node.status().last_index);
    }
}

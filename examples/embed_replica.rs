//! Drives a replicated log with a single member: proposes commands, carries out the node's output,
//! and prints the committed commands.

use egretseam_replica::{
    EntryPayload, GroupId, LogStore, MemberId, ReplicaConfig, ReplicaNode, StoreError,
};
use std::{path::Path, time::Duration};

/// Carries out the node's output until there is none left, and returns the committed commands.
fn process_output(
    node: &mut ReplicaNode,
    store: &mut LogStore,
) -> Result<Vec<Vec<u8>>, StoreError> {
    let mut commands = Vec::new();
    loop {
        let output = node.take_output();
        if output.is_empty() {
            return Ok(commands);
        }
        // With more members: send `send_now` here, and `send_after_sync` after `record_sync`.
        if !output.writes.is_empty() {
            store.write(&output.writes)?;
        }
        node.record_sync();
        for entry in output.committed {
            if let EntryPayload::Command(bytes) = entry.payload {
                commands.push(bytes);
            }
        }
    }
}

fn main() -> anyhow::Result<()> {
    let folder = std::env::temp_dir().join(format!("egretseam-example-{}", std::process::id()));
    let result = run(&folder);
    std::fs::remove_dir_all(&folder)?;
    result
}

fn run(folder: &Path) -> anyhow::Result<()> {
    LogStore::bootstrap(
        folder,
        MemberId(rand::random()),
        GroupId(rand::random()),
        "a",
        "10.0.0.1:1",
    )?;
    let (mut store, identity, state) = LogStore::open(folder)?;
    let mut node = ReplicaNode::new(&identity, state, ReplicaConfig::default().check()?, 1);
    node.tick(Duration::from_millis(1));
    process_output(&mut node, &mut store)?;
    node.propose(b"first".to_vec())?;
    node.propose(b"second".to_vec())?;
    for command in process_output(&mut node, &mut store)? {
        println!("committed and synced: {}", String::from_utf8_lossy(&command));
    }
    Ok(())
}

//! The lease under which an entry uses its configuration, while control members fail.

use crate::support::{
    API_KEY, TestCluster, WAIT_TIMEOUT, bind, cluster_options, entry_options, start_entry,
};
use egretseam_entry::{EntryOptions, EntryRuntime};
use egretseam_fakes::{FakeRelay, RelayFaults};
use egretseam_http::{ClientOptions, http_client};
use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use tokio::time::Instant;

/// Time for which the member is silent. Every lease that was confirmed before has ended by then.
const OBSERVED_TIME: Duration = Duration::from_secs(7);
/// Interval between two requests of the caller.
const CALL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until the lease was renewed by a watch that waited for a change as long as it may. No
/// renewal leaves less of the lease.
async fn wait_for_shortest_lease(entry: &EntryRuntime, options: &EntryOptions) {
    let shortest = options.lease - options.max_watch_wait;
    let mut left_before = Duration::ZERO;
    loop {
        let left = entry.shared().lease_left();
        if left > left_before && left < shortest + CALL_INTERVAL {
            return;
        }
        left_before = left;
        tokio::time::sleep(CALL_INTERVAL).await;
    }
}

/// Sends one request to an entry; returns the status of the response.
async fn call_service(client: &awc::Client, entry: &EntryRuntime) -> u16 {
    let url = format!("http://{}/services/orders/events/whole", entry.caller_address());
    let request = client.get(url).bearer_auth(API_KEY).timeout(WAIT_TIMEOUT);
    request.send().await.expect("a response").status().as_u16()
}

/// Guards against requests that an entry rejects, although control works, because the one member at
/// which it watches its configuration falls silent.
#[test]
fn an_entry_keeps_its_lease_while_one_control_member_is_silent() {
    let test = TestCluster::start(cluster_options(0, 1));
    let mut members = test.cluster.control_peer_addresses();
    actix_rt::System::new().block_on(async move {
        let faults = Arc::new(RelayFaults::default());
        let listener = bind();
        let relay_address = listener.local_addr().expect("bound").to_string();
        let upstream = std::mem::replace(&mut members[0], relay_address);
        FakeRelay::start(listener, upstream, faults.clone()).expect("the relay starts");
        let options = entry_options(members);
        let entry = start_entry(options.clone());
        let client = http_client(ClientOptions::default());
        let serves = async {
            while call_service(&client, &entry).await != 200 {
                tokio::time::sleep(CALL_INTERVAL).await;
            }
            wait_for_shortest_lease(&entry, &options).await;
        };
        tokio::time::timeout(WAIT_TIMEOUT, serves).await.expect("the entry serves");

        faults.frozen.store(true, Ordering::Relaxed);
        let silent_since = Instant::now();
        let mut rejected_after = Vec::new();
        while silent_since.elapsed() < OBSERVED_TIME {
            if call_service(&client, &entry).await != 200 {
                rejected_after.push(silent_since.elapsed());
            }
            tokio::time::sleep(CALL_INTERVAL).await;
        }
        assert_eq!(rejected_after, []);
    });
}

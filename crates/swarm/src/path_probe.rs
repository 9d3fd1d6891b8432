//! Telling from small questions to other instances that the own link is narrower than it was.
//!
//! Answers the load pattern of a link that is squeezed while it carries live requests: they queue up
//! before it and arrive when their callers have left. Whatever fills the link, a question and its
//! answer wait in the same queue. Several instances are asked, since one may be slow itself.

use egretseam_proto::InstanceName;
use indexmap::IndexMap;
use std::time::Duration;
use tokio::time::Instant;

/// Time of a question and its answer from which on the link counts as narrow. A burst of weights fills
/// the links at both ends for a fifth of a second each.
const NARROW: Duration = Duration::from_millis(800);
/// Fewest instances that must have something to say.
const FEWEST_PEERS: usize = 2;
/// How long an answer counts.
const MEMORY: Duration = Duration::from_millis(1_000);

/// What one instance's answers say.
#[derive(Clone, Copy, Debug, Default)]
struct PeerTime {
    asked_at: Option<Instant>,
    /// How long its last answer took, and when it came.
    took: Option<(Duration, Instant)>,
}

impl PeerTime {
    /// How long its answers take at the least; `None` if nothing is known.
    fn at_least(&self, now: Instant) -> Option<Duration> {
        let (took, came_at) = self.took?;
        let awaited = self.asked_at.map(|asked_at| now.saturating_duration_since(asked_at));
        let is_fresh = now.saturating_duration_since(came_at) < MEMORY;
        awaited.max(is_fresh.then_some(took))
    }
}

/// Questions to some other instances, one at a time to each.
#[derive(Clone, Debug, Default)]
pub struct PathProbe {
    peers: IndexMap<InstanceName, PeerTime>,
}

impl PathProbe {
    /// Sets who is asked.
    pub fn set_peers(&mut self, peers: &[InstanceName]) {
        self.peers.retain(|name, _| peers.contains(name));
        for peer in peers {
            self.peers.entry(peer.clone()).or_default();
        }
    }

    /// Notes that an instance is asked.
    pub fn record_probe_sent(&mut self, peer: &InstanceName, now: Instant) {
        if let Some(time) = self.peers.get_mut(peer) {
            time.asked_at = Some(now);
        }
    }

    /// Notes that it has answered.
    pub fn record_reply(&mut self, peer: &InstanceName, now: Instant) {
        if let Some(time) = self.peers.get_mut(peer)
            && let Some(asked_at) = time.asked_at.take()
        {
            time.took = Some((now.saturating_duration_since(asked_at), now));
        }
    }

    /// Notes that it cannot be reached. An instance that is down says nothing of the link, and counts
    /// again once it has answered.
    pub fn record_unreachable(&mut self, peer: &InstanceName) {
        if let Some(time) = self.peers.get_mut(peer) {
            *time = PeerTime::default();
        }
    }

    /// Notes that this process stood still until now.
    ///
    /// Failure guarded: a process that was frozen takes the time for that of answers that lie there
    /// unread, and entries send nothing to its target.
    pub fn record_process_pause(&mut self, now: Instant) {
        for time in self.peers.values_mut().filter(|time| time.asked_at.is_some()) {
            time.asked_at = Some(now);
        }
    }

    /// How long a question and its answer are on their way, if that is unusual.
    pub fn delay(&self, now: Instant) -> Option<Duration> {
        let times: Vec<Duration> =
            self.peers.values().filter_map(|time| time.at_least(now)).collect();
        let quickest = times.iter().min().filter(|_| times.len() >= FEWEST_PEERS)?;
        (*quickest >= NARROW).then_some(*quickest)
    }
}

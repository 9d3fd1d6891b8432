//! Detects from the round-trip times of probes to other instances that the own link is slow.
//!
//! It guards against a link that slows down while it carries live requests: they queue ahead of it
//! and arrive after their callers have left. Whatever fills the link, a probe and its reply wait in
//! the same queue. Several instances are probed, since one may itself be slow.

use egretseam_proto::InstanceName;
use indexmap::IndexMap;
use std::time::Duration;
use tokio::time::Instant;

/// Round-trip time from which on the link counts as slow. A burst of weights fills the links at
/// both ends for a fifth of a second each.
const SLOW_ROUND_TRIP: Duration = Duration::from_millis(800);
/// Least number of peers with a known round-trip time for the link to count as slow.
const MIN_PEERS: usize = 2;
/// How long a reply counts.
const MAX_REPLY_AGE: Duration = Duration::from_millis(1_000);

/// State of the probes to one instance.
#[derive(Clone, Copy, Debug, Default)]
struct PeerProbe {
    /// When the outstanding probe was sent.
    sent_at: Option<Instant>,
    /// Round-trip time of the last reply, and when it arrived.
    last_reply: Option<(Duration, Instant)>,
}

impl PeerProbe {
    /// Lower bound of the present round-trip time; `None` if nothing is known.
    fn min_round_trip(&self, now: Instant) -> Option<Duration> {
        let (round_trip, arrived_at) = self.last_reply?;
        let outstanding = self.sent_at.map(|sent_at| now.saturating_duration_since(sent_at));
        let is_fresh = now.saturating_duration_since(arrived_at) < MAX_REPLY_AGE;
        outstanding.max(is_fresh.then_some(round_trip))
    }
}

/// Probes to some other instances, one at a time to each.
#[derive(Clone, Debug, Default)]
pub struct PathProbe {
    peers: IndexMap<InstanceName, PeerProbe>,
}

impl PathProbe {
    /// Sets which instances are probed.
    pub fn set_peers(&mut self, peers: &[InstanceName]) {
        self.peers.retain(|name, _| peers.contains(name));
        for peer in peers {
            self.peers.entry(peer.clone()).or_default();
        }
    }

    /// Records that a probe was sent to an instance.
    pub fn record_probe_sent(&mut self, peer: &InstanceName, now: Instant) {
        if let Some(probe) = self.peers.get_mut(peer) {
            probe.sent_at = Some(now);
        }
    }

    /// Records that an instance replied.
    pub fn record_reply(&mut self, peer: &InstanceName, now: Instant) {
        if let Some(probe) = self.peers.get_mut(peer)
            && let Some(sent_at) = probe.sent_at.take()
        {
            probe.last_reply = Some((now.saturating_duration_since(sent_at), now));
        }
    }

    /// Records that an instance cannot be reached. One that is down says nothing about the link; it
    /// counts again after its next reply.
    pub fn record_unreachable(&mut self, peer: &InstanceName) {
        if let Some(probe) = self.peers.get_mut(peer) {
            *probe = PeerProbe::default();
        }
    }

    /// Records that this process was paused until now, and restarts the time of outstanding probes.
    ///
    /// Otherwise a process that was frozen counts the pause as the round trip of replies that wait
    /// unread, and entries send nothing to its target.
    pub fn record_process_pause(&mut self, now: Instant) {
        for probe in self.peers.values_mut().filter(|probe| probe.sent_at.is_some()) {
            probe.sent_at = Some(now);
        }
    }

    /// Whether a probe that was sent at `since` or later has been answered. The link then carries
    /// what is sent over it.
    pub fn has_round_trip_since(&self, since: Instant) -> bool {
        let replies = self.peers.values().filter_map(|probe| probe.last_reply);
        let sent_at =
            |(round_trip, arrived_at): (Duration, Instant)| arrived_at.checked_sub(round_trip);
        replies.filter_map(sent_at).any(|sent_at| sent_at >= since)
    }

    /// Shortest round-trip time to any of the peers; `None` unless the link is slow.
    pub fn delay(&self, now: Instant) -> Option<Duration> {
        let round_trips: Vec<Duration> =
            self.peers.values().filter_map(|probe| probe.min_round_trip(now)).collect();
        let quickest = round_trips.iter().min().filter(|_| round_trips.len() >= MIN_PEERS)?;
        (*quickest >= SLOW_ROUND_TRIP).then_some(*quickest)
    }
}

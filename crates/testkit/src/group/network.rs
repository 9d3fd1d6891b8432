//! The simulated network: delivers, duplicates, drops, and reorders messages in flight.

use super::{GROUP, GroupSim, member_id, member_number};
use egretseam_replica::{Envelope, Message};

impl GroupSim {
    /// Number of messages in flight.
    pub fn in_flight(&self) -> usize {
        self.network.len()
    }

    /// Delivers the message at position `at`, ahead of those sent before it.
    pub fn deliver(&mut self, at: usize) {
        if at < self.network.len() {
            let envelope = self.network.remove(at);
            self.deliver_envelope(envelope);
        }
    }

    /// Delivers the message at `at`. Its receiver crashes after it sent the messages that need no
    /// sync, and before it synced anything.
    pub fn deliver_and_crash(&mut self, at: usize) {
        let Some(to) = self.network.get(at).map(|envelope| member_number(envelope.to)) else {
            return;
        };
        if to >= self.members.len() || self.members[to].frozen {
            return;
        }
        self.freeze(to);
        self.deliver(at);
        self.thaw(to);
        self.run_member(to, true);
    }

    /// Delivers every message in flight that `filter` accepts. With `crash`, the receiver of the
    /// first one crashes before it syncs, and the other selected messages are dropped.
    pub fn deliver_where(&mut self, filter: impl Fn(usize, usize, &Message) -> bool, crash: bool) {
        let waiting = std::mem::take(&mut self.network);
        let (selected, kept): (Vec<_>, Vec<_>) = waiting.into_iter().partition(|envelope| {
            filter(member_number(envelope.from), member_number(envelope.to), &envelope.message)
        });
        self.network = kept;
        for envelope in selected {
            if crash {
                self.network.insert(0, envelope);
                self.deliver_and_crash(0);
                return;
            }
            self.deliver_envelope(envelope);
        }
    }

    /// Delivers the first message in flight that `filter` accepts; returns whether there was one.
    pub fn deliver_first(&mut self, filter: impl Fn(usize, usize, &Message) -> bool) -> bool {
        let selected = self.network.iter().position(|envelope| {
            filter(member_number(envelope.from), member_number(envelope.to), &envelope.message)
        });
        let Some(at) = selected else { return false };
        self.deliver(at);
        true
    }

    /// Drops every message in flight.
    pub fn drop_all_messages(&mut self) {
        self.network.clear();
    }

    /// Makes a member campaign at once, as if it alone no longer heard its leader. It receives
    /// `TimeoutNow` from another member, so a test can choose any timing of election timeouts.
    pub fn campaign(&mut self, number: usize) {
        let Some(node) = self.members[number].node.as_ref() else { return };
        let term = node.status().term;
        let message = Message::TimeoutNow;
        let to = self.members[number].identity.id;
        let from = member_id((number + 1) % self.members.len());
        self.deliver_envelope(Envelope { group: GROUP, from, to, term, message });
    }

    /// Delivers a copy of the message at `at` and keeps the message in flight.
    pub fn duplicate(&mut self, at: usize) {
        if let Some(envelope) = self.network.get(at).cloned() {
            self.deliver_envelope(envelope);
        }
    }

    /// Drops the message at `at`.
    pub fn drop_message(&mut self, at: usize) {
        if at < self.network.len() {
            self.network.remove(at);
        }
    }

    pub(super) fn deliver_envelope(&mut self, envelope: Envelope) {
        let link = (member_number(envelope.from), member_number(envelope.to));
        if self.cut_links.contains(&link) || link.1 >= self.members.len() {
            return;
        }
        let member = &mut self.members[link.1];
        if member.node.is_some() {
            member.inbox.push(envelope);
            if !member.frozen {
                self.run_member(link.1, false);
            }
        }
    }
}

//! Messages under way: delivered, doubled, lost, in any order.

use super::{GROUP, GroupSim, member_id, number_of};
use egretseam_replica::{Envelope, Message};

impl GroupSim {
    /// Messages under way.
    pub fn in_flight(&self) -> usize {
        self.network.len()
    }

    /// Delivers the message at `at`, wherever it stands in the order.
    pub fn deliver(&mut self, at: usize) {
        if at < self.network.len() {
            let envelope = self.network.remove(at);
            self.hand_over(envelope);
        }
    }

    /// Delivers the message at `at`; its addressee crashes after what needs no sync has left, and
    /// before anything it wrote was synced.
    pub fn deliver_and_crash(&mut self, at: usize) {
        let Some(to) = self.network.get(at).map(|envelope| number_of(envelope.to)) else { return };
        if to >= self.members.len() || self.members[to].frozen {
            return;
        }
        self.freeze(to);
        self.deliver(at);
        self.thaw(to);
        self.run_member(to, true);
    }

    /// Delivers every message under way that fits. With `crash`, the addressee of the first goes
    /// down before it syncs, and the others are not delivered.
    pub fn deliver_where(&mut self, fits: impl Fn(usize, usize, &Message) -> bool, crash: bool) {
        let waiting = std::mem::take(&mut self.network);
        let (chosen, kept): (Vec<_>, Vec<_>) = waiting.into_iter().partition(|envelope| {
            fits(number_of(envelope.from), number_of(envelope.to), &envelope.message)
        });
        self.network = kept;
        for envelope in chosen {
            if crash {
                self.network.insert(0, envelope);
                self.deliver_and_crash(0);
                return;
            }
            self.hand_over(envelope);
        }
    }

    /// Delivers the first message under way that fits; returns whether there was one.
    pub fn deliver_first(&mut self, fits: impl Fn(usize, usize, &Message) -> bool) -> bool {
        let chosen = self.network.iter().position(|envelope| {
            fits(number_of(envelope.from), number_of(envelope.to), &envelope.message)
        });
        let Some(at) = chosen else { return false };
        self.deliver(at);
        true
    }

    /// Loses every message under way.
    pub fn drop_all_messages(&mut self) {
        self.network.clear();
    }

    /// Lets a member campaign as if its leader had gone silent for it alone: another member's
    /// request to take over does that, and so this stands for any timing of timeouts.
    pub fn campaign(&mut self, number: usize) {
        let Some(node) = self.members[number].node.as_ref() else { return };
        let term = node.status().term;
        let message = Message::TimeoutNow;
        let to = self.members[number].identity.id;
        let from = member_id((number + 1) % self.members.len());
        self.hand_over(Envelope { group: GROUP, from, to, term, message });
    }

    /// Delivers a copy of the message at `at` and leaves it under way.
    pub fn duplicate(&mut self, at: usize) {
        if let Some(envelope) = self.network.get(at).cloned() {
            self.hand_over(envelope);
        }
    }

    /// Loses the message at `at`.
    pub fn drop_message(&mut self, at: usize) {
        if at < self.network.len() {
            self.network.remove(at);
        }
    }

    pub(super) fn hand_over(&mut self, envelope: Envelope) {
        let numbers = (number_of(envelope.from), number_of(envelope.to));
        if self.cuts.contains(&numbers) || numbers.1 >= self.members.len() {
            return;
        }
        let member = &mut self.members[numbers.1];
        if member.node.is_some() {
            member.inbox.push(envelope);
            if !member.frozen {
                self.run_member(numbers.1, false);
            }
        }
    }
}

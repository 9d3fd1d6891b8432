//! Which target probably holds a prompt's beginning in its cache.
//!
//! The index is approximate and bounded. It learns from own routing at once, and from engines'
//! cache events when they come, late and with gaps: an event that a block was dropped removes an
//! entry, a gap only ages the target's entries, and nothing here is ever needed for correctness.

use egretseam_proto::InstanceName;
use indexmap::IndexMap;
use std::time::Duration;

/// Bytes of prompt in one block.
const BLOCK_BYTES: usize = 256;
/// Most blocks of one prompt that are looked at.
const MAX_BLOCKS: usize = 32;
/// Most blocks remembered.
const MAX_ROWS: usize = 50_000;
/// Most targets remembered for one block.
const MAX_HOLDERS: usize = 4;
/// Entries older than this are not trusted: the engine's memory is limited.
const TRUST_FOR: Duration = Duration::from_secs(300);

/// Hashes of a prompt's leading blocks; each covers all text up to its end.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PrefixKey {
    blocks: Vec<u64>,
}

impl PrefixKey {
    /// The key of a prompt. Prompts shorter than a block have an empty key.
    pub fn of(prompt: &[u8]) -> Self {
        const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
        const PRIME: u64 = 0x0000_0100_0000_01b3;
        let mut hash = OFFSET;
        let mut blocks = Vec::new();
        for block in prompt.chunks_exact(BLOCK_BYTES).take(MAX_BLOCKS) {
            for byte in block {
                hash = (hash ^ u64::from(*byte)).wrapping_mul(PRIME);
            }
            blocks.push(hash);
        }
        Self { blocks }
    }

    /// Hash of the first block: equal at every entry, so that entries agree where a new prompt's
    /// beginning should live without telling each other.
    pub fn first_block(&self) -> Option<u64> {
        self.blocks.first().copied()
    }
}

#[derive(Debug, Default)]
struct BlockRow {
    holders: Vec<Holder>,
}

#[derive(Debug)]
struct Holder {
    target: InstanceName,
    at: Duration,
}

/// Blocks and their likely holders, least recently used first.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    rows: IndexMap<u64, BlockRow>,
    /// Entries noted before this time are not trusted, by target.
    distrusted_before: IndexMap<InstanceName, Duration>,
}

impl PrefixIndex {
    /// An empty index.
    pub fn new() -> Self {
        Self::default()
    }

    /// Blocks remembered.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Notes that `target` is about to compute a prompt with this key.
    pub fn record_routed(&mut self, key: &PrefixKey, target: &InstanceName, now: Duration) {
        for block in &key.blocks {
            let row = self.rows.entry(*block).or_default();
            row.holders.retain(|holder| holder.target != *target);
            row.holders.push(Holder { target: target.clone(), at: now });
            if row.holders.len() > MAX_HOLDERS {
                row.holders.remove(0);
            }
        }
        if self.rows.len() > MAX_ROWS {
            // A block at a time keeps the shift cheap.
            self.rows.drain(..MAX_ROWS / 10);
        }
    }

    /// A target's cache was lost, or its events had a gap: what was noted before `now` is no longer
    /// trusted.
    pub fn invalidate_target(&mut self, target: &InstanceName, now: Duration) {
        self.distrusted_before.insert(target.clone(), now);
    }

    /// Targets that probably hold the longest known part of the prompt, and how many blocks that
    /// is.
    pub fn holders(&self, key: &PrefixKey, now: Duration) -> (usize, Vec<&InstanceName>) {
        for (at, block) in key.blocks.iter().enumerate().rev() {
            let Some(row) = self.rows.get(block) else { continue };
            let trusted = |holder: &&Holder| self.is_trusted(holder, now);
            let holders: Vec<_> = row.holders.iter().filter(trusted).map(|h| &h.target).collect();
            if !holders.is_empty() {
                return (at + 1, holders);
            }
        }
        (0, Vec::new())
    }

    fn is_trusted(&self, holder: &Holder, now: Duration) -> bool {
        let fresh = now.saturating_sub(holder.at) < TRUST_FOR;
        let before = self.distrusted_before.get(&holder.target);
        fresh && before.is_none_or(|before| holder.at >= *before)
    }
}

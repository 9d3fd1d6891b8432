//! Which targets probably hold the prefix of a prompt in their caches.
//!
//! The index is approximate and bounded. It records at once where this entry sends prompts.
//! Engines' cache events come late and with gaps: after a gap, or when a target has lost its cache,
//! earlier records of the target are not used any more. Nothing here is needed for correctness.

use egretseam_proto::InstanceName;
use indexmap::IndexMap;
use std::time::Duration;

/// Bytes of a prompt in one block.
const BLOCK_BYTES: usize = 256;
/// Maximum number of blocks of one prompt that are hashed.
const MAX_PROMPT_BLOCKS: usize = 32;
/// Maximum number of blocks in the index; on exceeding it, a tenth is evicted.
const MAX_TRACKED_BLOCKS: usize = 50_000;
/// Maximum number of targets recorded for one block.
const MAX_TARGETS_PER_BLOCK: usize = 4;
/// Older records are not used: an engine's cache is limited, so it has probably evicted the block.
const RECORD_LIFETIME: Duration = Duration::from_secs(300);

/// Hashes of the leading blocks of a prompt; each covers the prompt up to the end of its block.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PrefixKey {
    blocks: Vec<u64>,
}

impl PrefixKey {
    /// The key of a prompt; empty for a prompt shorter than one block.
    pub fn of(prompt: &[u8]) -> Self {
        const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
        const PRIME: u64 = 0x0000_0100_0000_01b3;
        let mut hash = OFFSET;
        let mut blocks = Vec::new();
        for block in prompt.chunks_exact(BLOCK_BYTES).take(MAX_PROMPT_BLOCKS) {
            for byte in block {
                hash = (hash ^ u64::from(*byte)).wrapping_mul(PRIME);
            }
            blocks.push(hash);
        }
        Self { blocks }
    }

    /// Hash of the first block. It is the same at every entry, so entries agree without
    /// communication on which target is to cache a new prefix.
    pub fn first_block(&self) -> Option<u64> {
        self.blocks.first().copied()
    }
}

#[derive(Debug, Default)]
struct BlockRow {
    holders: Vec<CacheHolder>,
}

#[derive(Debug)]
struct CacheHolder {
    target: InstanceName,
    recorded_at: Duration,
}

/// Blocks and the targets that probably hold them, in the order in which blocks were first
/// recorded.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    rows: IndexMap<u64, BlockRow>,
    /// By target: records made before this time are not used.
    invalid_before: IndexMap<InstanceName, Duration>,
}

impl PrefixIndex {
    /// An empty index.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of blocks in the index.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether the index is empty.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Records that a prompt with this key is sent to `target`, which will cache its prefix.
    pub fn record_routed(&mut self, key: &PrefixKey, target: &InstanceName, now: Duration) {
        for block in &key.blocks {
            let row = self.rows.entry(*block).or_default();
            row.holders.retain(|holder| holder.target != *target);
            row.holders.push(CacheHolder { target: target.clone(), recorded_at: now });
            if row.holders.len() > MAX_TARGETS_PER_BLOCK {
                row.holders.remove(0);
            }
        }
        if self.rows.len() > MAX_TRACKED_BLOCKS {
            // Evicting from the front shifts all later rows; a tenth at once keeps that cheap.
            self.rows.drain(..MAX_TRACKED_BLOCKS / 10);
        }
    }

    /// Stops using what was recorded of `target` before `now`: its cache was lost, or its cache
    /// events had a gap.
    pub fn invalidate_target(&mut self, target: &InstanceName, now: Duration) {
        self.invalid_before.insert(target.clone(), now);
    }

    /// Length in blocks of the longest recorded prefix of the prompt, and the targets that probably
    /// hold it.
    pub fn holders(&self, key: &PrefixKey, now: Duration) -> (usize, Vec<&InstanceName>) {
        for (position, block) in key.blocks.iter().enumerate().rev() {
            let Some(row) = self.rows.get(block) else { continue };
            let valid = |holder: &&CacheHolder| self.is_valid(holder, now);
            let holders: Vec<_> =
                row.holders.iter().filter(valid).map(|holder| &holder.target).collect();
            if !holders.is_empty() {
                return (position + 1, holders);
            }
        }
        (0, Vec::new())
    }

    fn is_valid(&self, holder: &CacheHolder, now: Duration) -> bool {
        let fresh = now.saturating_sub(holder.recorded_at) < RECORD_LIFETIME;
        let invalid_before = self.invalid_before.get(&holder.target);
        fresh && invalid_before.is_none_or(|invalid_before| holder.recorded_at >= *invalid_before)
    }
}

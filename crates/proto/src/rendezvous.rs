//! Rendezvous hashing of names.

/// Score of `candidate` for `key`: FNV-1a, with a final mix of its bits. All processes rank the
/// candidates for a key in the same order, and the loss of a candidate changes only its own keys.
pub fn rendezvous_score(key: &str, candidate: &str) -> u64 {
    const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
    let fold = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    let hash = key.bytes().chain(candidate.bytes()).fold(FNV_OFFSET, fold);
    (hash ^ hash >> 31).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

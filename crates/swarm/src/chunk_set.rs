//! A set of chunk indices as a bitmap.

/// The chunks of one manifest that an instance has.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChunkSet {
    words: Vec<u64>,
    count: u32,
    len: u32,
}

impl ChunkSet {
    /// An empty set over `len` chunks.
    pub fn new(len: u32) -> Self {
        Self { words: vec![0; len.div_ceil(64) as usize], count: 0, len }
    }

    /// A set that holds all of `len` chunks.
    pub fn full(len: u32) -> Self {
        let mut set = Self::new(len);
        for chunk in 0..len {
            set.insert(chunk);
        }
        set
    }

    /// Number of chunks in the manifest.
    pub fn len(&self) -> u32 {
        self.len
    }

    /// Whether no chunk is in the set.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Number of chunks in the set.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Whether every chunk is in the set.
    pub fn is_full(&self) -> bool {
        self.count == self.len
    }

    /// Whether `chunk` is in the set.
    pub fn contains(&self, chunk: u32) -> bool {
        let word = self.words.get(chunk as usize / 64).copied().unwrap_or(0);
        word >> (chunk % 64) & 1 == 1
    }

    /// Adds `chunk`; returns whether it is new. Indices past the end are ignored.
    pub fn insert(&mut self, chunk: u32) -> bool {
        if chunk >= self.len || self.contains(chunk) {
            return false;
        }
        self.words[chunk as usize / 64] |= 1 << (chunk % 64);
        self.count += 1;
        true
    }

    /// Removes `chunk`; returns whether it was there.
    pub fn remove(&mut self, chunk: u32) -> bool {
        if !self.contains(chunk) {
            return false;
        }
        self.words[chunk as usize / 64] &= !(1 << (chunk % 64));
        self.count -= 1;
        true
    }

    /// The chunks in the set, in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> {
        (0..self.len).filter(|chunk| self.contains(*chunk))
    }

    /// Hexadecimal form for a header: 16 digits per 64 chunks.
    pub fn to_text(&self) -> String {
        use std::fmt::Write;
        let mut text = String::with_capacity(self.words.len() * 16);
        for word in &self.words {
            write!(text, "{word:016x}").expect("writing to a string");
        }
        text
    }

    /// Parses the form of [`ChunkSet::to_text`]; `None` if it is not a set over `len` chunks.
    pub fn from_text(text: &str, len: u32) -> Option<Self> {
        let mut set = Self::new(len);
        if !text.is_ascii() || text.len() != set.words.len() * 16 {
            return None;
        }
        for (index, word) in set.words.iter_mut().enumerate() {
            *word = u64::from_str_radix(&text[index * 16..(index + 1) * 16], 16).ok()?;
        }
        let unused_bits = (set.words.len() as u32 * 64).saturating_sub(len);
        let has_unused_bit =
            set.words.last().is_some_and(|w| unused_bits > 0 && w >> (64 - unused_bits) != 0);
        if has_unused_bit {
            return None;
        }
        set.count = set.words.iter().map(|word| word.count_ones()).sum();
        Some(set)
    }
}

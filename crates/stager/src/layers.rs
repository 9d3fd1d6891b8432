//! Layers of a model, as engines hold and load them.

/// Consecutive layers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LayerRange {
    /// Index of the first one.
    pub from: u32,
    /// Index behind the last one.
    pub to: u32,
}

impl LayerRange {
    /// Number of layers.
    pub fn count(self) -> u32 {
        self.to.saturating_sub(self.from)
    }

    /// Whether all layers of `other` are among these.
    pub fn contains(self, other: Self) -> bool {
        self.from <= other.from && other.to <= self.to
    }

    /// The layers that are among both, if there are any.
    pub fn intersection(self, other: Self) -> Option<Self> {
        let common = Self { from: self.from.max(other.from), to: self.to.min(other.to) };
        (common.count() > 0).then_some(common)
    }
}

/// All layers of any model.
pub(crate) const ALL_LAYERS: LayerRange = LayerRange { from: 0, to: u32::MAX };

/// The layers that an engine holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLayers {
    /// Version of their weights.
    pub version: u64,
    /// Which ones.
    pub range: LayerRange,
}

impl HeldLayers {
    /// Whether these are all layers: a part never begins with the first one (see
    /// [`crate::ReloadPlan`]).
    pub fn is_complete(self) -> bool {
        self.range.from == 0
    }
}

/// Any layers, as ascending ranges with gaps between them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LayerSet {
    ranges: Vec<LayerRange>,
}

impl From<LayerRange> for LayerSet {
    fn from(range: LayerRange) -> Self {
        Self { ranges: (range.count() > 0).then_some(range).into_iter().collect() }
    }
}

impl LayerSet {
    /// Whether all layers of `range` are in the set.
    pub fn contains(&self, range: LayerRange) -> bool {
        self.ranges.iter().any(|own| own.contains(range))
    }

    /// The layers of `range` that are in the set.
    pub fn within(&self, range: LayerRange) -> Self {
        let ranges = self.ranges.iter().filter_map(|own| own.intersection(range)).collect();
        Self { ranges }
    }

    /// Adds all layers outside of `range`, however many there are.
    pub fn with_all_but(&self, range: LayerRange) -> Self {
        let below = LayerRange { from: 0, to: range.from };
        let above = LayerRange { from: range.to, to: u32::MAX };
        let inside = self.within(range).ranges;
        let mut ranges: Vec<LayerRange> = Vec::new();
        for next in [below].into_iter().chain(inside).chain([above]) {
            match ranges.last_mut() {
                Some(last) if last.to == next.from => last.to = next.to,
                _ if next.count() > 0 => ranges.push(next),
                _ => {}
            }
        }
        Self { ranges }
    }

    /// The most consecutive layers of the set.
    pub fn longest(&self) -> Option<LayerRange> {
        self.ranges.iter().copied().max_by_key(|range| range.count())
    }
}

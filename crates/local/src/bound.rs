//! The least time in which a burst could end.

/// A burst's sizes. Rates are in copies of the version a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BurstBound {
    /// Instances that need the version.
    pub instances: u32,
    /// What the origin's link carries.
    pub origin_rate: f64,
    /// What one instance's link carries in both directions together.
    pub link_rate: f64,
    /// Most copies that may be fetched from the origin.
    pub origin_copies: f64,
}

impl BurstBound {
    /// Seconds below which no way of distributing can end.
    ///
    /// Each instance must receive one copy. What the origin does not send is sent by instances, and
    /// such a copy takes room on two links, the sender's and the receiver's. With N instances,
    /// origin rate O, link rate L and at most c copies from the origin, t must be at least 1/O, 1/L,
    /// 2N/(NL+O) because all links together carry NLt of the 2N less Ot that is needed, and
    /// (2N-c)/(NL) because no more than c copies come without taking a sender's room.
    pub fn seconds(&self) -> f64 {
        let n = f64::from(self.instances);
        let (origin, link) = (self.origin_rate, self.link_rate);
        let first_copy = 1.0 / origin;
        let own_copy = 1.0 / link;
        let all_links = 2.0 * n / (n * link + origin);
        let copies = self.origin_copies.min(n);
        let few_copies = (2.0 * n - copies) / (n * link);
        first_copy.max(own_copy).max(all_links).max(few_copies)
    }
}

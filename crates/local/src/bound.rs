//! Lower bound on the duration of a burst: all instances need the same new version at once.

/// Parameters of a burst. Rates are in copies of the version per second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BurstBound {
    /// Instances that need the version.
    pub instances: u32,
    /// Rate of the origin's link.
    pub origin_rate: f64,
    /// Rate of one instance's link, both directions together.
    pub link_rate: f64,
    /// Maximum number of copies that may be fetched from the origin.
    pub origin_copies: f64,
}

impl BurstBound {
    /// Returns the least number of seconds in which any method of distribution can finish.
    ///
    /// Each instance must receive one copy. Copies that the origin does not send are sent by
    /// instances, and each of these uses two instance links, the sender's and the receiver's. With
    /// N instances, origin rate O, link rate L and at most c copies from the origin, the time t is
    /// at least 1/O and 1/L (one copy over one link), 2N/(NL+O) because the instance links together
    /// carry NLt and must carry 2N less the Ot that the origin sends, and (2N-c)/(NL) because at
    /// most c copies arrive without using a sender's link.
    pub fn seconds(&self) -> f64 {
        let n = f64::from(self.instances);
        let (origin, link) = (self.origin_rate, self.link_rate);
        let origin_link_time = 1.0 / origin;
        let instance_link_time = 1.0 / link;
        let all_links_time = 2.0 * n / (n * link + origin);
        let origin_copies = self.origin_copies.min(n);
        let instance_copies_time = (2.0 * n - origin_copies) / (n * link);
        origin_link_time.max(instance_link_time).max(all_links_time).max(instance_copies_time)
    }
}

//! Regions of availability zones, and the regions that may handle a request.

use egretseam_proto::{NameError, RegionName, ZoneName};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

/// The regions in which a request may be served and stored; possibly none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllowedRegions(Vec<RegionName>);

impl AllowedRegions {
    /// Whether a region is among them.
    pub fn contains(&self, region: &RegionName) -> bool {
        self.0.contains(region)
    }

    /// The regions that both allow.
    pub fn intersection(&self, other: &Self) -> Self {
        Self(self.0.iter().filter(|region| other.contains(region)).cloned().collect())
    }

    /// Combines two restrictions, each of which may be absent; both apply.
    pub fn combine(one: Option<&Self>, other: Option<&Self>) -> Option<Self> {
        match (one, other) {
            (Some(one), Some(other)) => Some(one.intersection(other)),
            (one, other) => one.or(other).cloned(),
        }
    }

    /// The regions, in the order of the configuration.
    pub fn iter(&self) -> impl Iterator<Item = &RegionName> {
        self.0.iter()
    }

    /// Whether no region is allowed, because two restrictions exclude each other.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Checks a list of regions as an operator sends it. An empty list restricts nothing.
    ///
    /// # Errors
    /// Fails if a name is invalid.
    pub fn check(raw: Vec<String>) -> Result<Option<Self>, NameError> {
        let regions: Result<Vec<_>, _> = raw.into_iter().map(RegionName::try_from).collect();
        Ok(Self::from_regions(regions?))
    }

    /// Allows these regions; `None`, which restricts nothing, if there are none.
    pub fn from_regions(regions: impl IntoIterator<Item = RegionName>) -> Option<Self> {
        let distinct: IndexSet<RegionName> = regions.into_iter().collect();
        (!distinct.is_empty()).then(|| Self(distinct.into_iter().collect()))
    }
}

/// The region of each availability zone, from the settings of the process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneRegions(IndexMap<ZoneName, RegionName>);

impl ZoneRegions {
    /// The region of a zone, if the settings state it.
    pub fn region(&self, zone: &ZoneName) -> Option<&RegionName> {
        self.0.get(zone)
    }

    /// Whether a zone is in one of the allowed regions. A zone without a known region is in none,
    /// so that a request with a restriction never goes to a place of unknown jurisdiction.
    pub fn allows(&self, zone: &ZoneName, allowed: Option<&AllowedRegions>) -> bool {
        let Some(allowed) = allowed else { return true };
        self.region(zone).is_some_and(|region| allowed.contains(region))
    }

    /// The zones of which the region is known.
    pub fn zones(&self) -> impl Iterator<Item = &ZoneName> {
        self.0.keys()
    }
}

impl FromIterator<(ZoneName, RegionName)> for ZoneRegions {
    fn from_iter<T: IntoIterator<Item = (ZoneName, RegionName)>>(rows: T) -> Self {
        Self(rows.into_iter().collect())
    }
}

/// The zones whose entries a caller of restricted routes may use: those of the allowed regions, and
/// those of its own region.
#[derive(Clone, Copy, Debug)]
pub struct RegionFilter<'a> {
    /// Region of each zone.
    pub zone_regions: &'a ZoneRegions,
    /// Regions that may handle the caller's requests.
    pub allowed: &'a AllowedRegions,
    /// The caller's region, as it states it.
    pub caller_region: Option<&'a str>,
}

impl RegionFilter<'_> {
    /// Whether the caller may use the entries of a zone.
    pub fn admits(&self, zone: &ZoneName) -> bool {
        let Some(region) = self.zone_regions.region(zone) else { return false };
        self.allowed.contains(region) || self.caller_region == Some(region.as_str())
    }
}

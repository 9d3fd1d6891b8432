//! Warnings about allowed regions: those without a zone, and lists that exclude each other.

use crate::{deployment::DeploymentFacts, finding::Finding, warning::ConfigWarning};
use egretseam_proto::RegionName;
use egretseam_serving::{ConfigField, ConfigPath, RawOrganisation, RawServing, ZoneRegions};
use indexmap::IndexSet;

/// Checks the allowed regions of every route and every organisation.
pub(crate) fn check_regions(
    config: &RawServing,
    facts: &DeploymentFacts,
    findings: &mut Vec<Finding>,
) {
    let organisations: Vec<&RawOrganisation> = config.organisations.iter().flatten().collect();
    let known = facts.regions.as_ref().map(KnownRegions::new);
    if let Some(known) = &known {
        for (index, route) in config.routes.iter().enumerate() {
            let path = ConfigPath::item(ConfigField::Routes, index);
            known.check(&route.regions, &format!("route {}", route.name), &path, findings);
        }
        for (index, organisation) in organisations.iter().enumerate() {
            let path = ConfigPath::item(ConfigField::Organisations, index);
            let owner = format!("organisation {}", organisation.name);
            known.check(&organisation.regions, &owner, &path, findings);
        }
    }
    for (index, route) in config.routes.iter().enumerate() {
        let excluded = excluded_organisations(&route.regions, &organisations, known.as_ref());
        if !excluded.is_empty() {
            let path = ConfigPath::item(ConfigField::Routes, index).field(ConfigField::Regions);
            let (route, organisations) = (route.name.clone(), excluded);
            let warning = ConfigWarning::ExcludedOrganisations { route, organisations };
            findings.push(Finding::warning(path, warning));
        }
    }
}

/// Whether a name is valid; the others are errors, about which no warning is needed.
fn is_valid(region: &str) -> bool {
    RegionName::try_from(region).is_ok()
}

/// The regions of the zones of the settings.
struct KnownRegions<'a>(IndexSet<&'a str>);

impl<'a> KnownRegions<'a> {
    fn new(regions: &'a ZoneRegions) -> Self {
        Self(regions.zones().filter_map(|zone| regions.region(zone)).map(|r| r.as_str()).collect())
    }

    /// Reports the allowed regions without a zone; all of them in one finding.
    fn check(
        &self,
        regions: &[String],
        owner: &str,
        owner_path: &ConfigPath,
        findings: &mut Vec<Finding>,
    ) {
        let path = owner_path.field(ConfigField::Regions);
        let is_unknown = |region: &str| is_valid(region) && !self.0.contains(region);
        let unknown: Vec<usize> =
            (0..regions.len()).filter(|index| is_unknown(&regions[*index])).collect();
        if !regions.is_empty() && unknown.len() == regions.len() {
            let warning = ConfigWarning::NoAllowedZone(owner.to_owned());
            findings.push(Finding::warning(path, warning));
            return;
        }
        for index in unknown {
            let (owner, region) = (owner.to_owned(), regions[index].clone());
            let warning = ConfigWarning::UnknownRegion { owner, region };
            findings.push(Finding::warning(path.index(index), warning));
        }
    }
}

/// The organisations that have no usable region in common with a route. Lists without a usable
/// region are reported by themselves.
fn excluded_organisations(
    route_regions: &[String],
    organisations: &[&RawOrganisation],
    known: Option<&KnownRegions<'_>>,
) -> Vec<String> {
    let is_known = |region: &str| known.is_none_or(|known| known.0.contains(region));
    let usable = |regions: &[String]| -> IndexSet<String> {
        regions.iter().filter(|region| is_valid(region) && is_known(region)).cloned().collect()
    };
    let allowed = usable(route_regions);
    if allowed.is_empty() {
        return Vec::new();
    }
    let excludes = |organisation: &&&RawOrganisation| {
        let regions = usable(&organisation.regions);
        !regions.is_empty() && regions.is_disjoint(&allowed)
    };
    organisations.iter().filter(excludes).map(|organisation| organisation.name.clone()).collect()
}

//! Warnings about services and organisations.

use crate::{finding::Finding, warning::ConfigWarning};
use egretseam_serving::{
    ColdLimit, ConfigField, ConfigPath, EngineTimes, RawEngine, RawService, RawServing,
};
use indexmap::IndexSet;

/// Checks every service.
pub(crate) fn check_services(config: &RawServing, findings: &mut Vec<Finding>) {
    let destinations = config.routes.iter().flat_map(|route| &route.destinations);
    let used: IndexSet<&str> = destinations.map(|item| item.service.as_str()).collect();
    for (index, service) in config.services.iter().enumerate() {
        let path = ConfigPath::item(ConfigField::Services, index);
        if service.origin.is_none() && !used.contains(service.name.as_str()) {
            let warning = ConfigWarning::UnusedService(service.name.clone());
            findings.push(Finding::warning(path.clone(), warning));
        }
        findings.extend(cold_limit_below_slots(service, &path));
    }
}

fn cold_limit_below_slots(service: &RawService, path: &ConfigPath) -> Option<Finding> {
    let engine = service.engine.as_ref()?;
    // An invalid limit is an error.
    let limit = ColdLimit::check(service.cold_limit).ok()??;
    let engine_rate = full_rate(engine)?;
    if limit.rate >= engine_rate {
        return None;
    }
    let (service, cold_rate, slots) = (service.name.clone(), limit.rate, engine.slots);
    let warning = ConfigWarning::ColdLimitBelowSlots { service, cold_rate, engine_rate, slots };
    Some(Finding::warning(path.field(ConfigField::ColdRate), warning))
}

/// Usual requests a second that an engine serves with all slots in use, if that is described.
/// Prompts are taken to be read one after the other and without what is cached, so that the rate is
/// rather too low and a limit above it raises no warning.
fn full_rate(engine: &RawEngine) -> Option<f64> {
    let times = EngineTimes::check(&engine.times)?;
    let is_described = times.usual_prompt_tokens > 0.0 && times.usual_output_tokens > 0.0;
    if engine.slots == 0 || !is_described {
        return None;
    }
    let slots = f64::from(engine.slots);
    let reading = slots * times.usual_prompt_tokens / times.prompt_tokens_per_second;
    let step = times.step.as_secs_f64() + slots * times.step_per_request.as_secs_f64();
    let rate = slots / (reading + times.usual_output_tokens * step);
    rate.is_finite().then_some(rate)
}

/// Checks every organisation.
pub(crate) fn check_organisations(config: &RawServing, findings: &mut Vec<Finding>) {
    for (index, organisation) in config.organisations.iter().flatten().enumerate() {
        if organisation.keys.is_empty() {
            let path = ConfigPath::item(ConfigField::Organisations, index);
            let warning = ConfigWarning::NoKeys(organisation.name.clone());
            findings.push(Finding::warning(path.field(ConfigField::Keys), warning));
        }
    }
}

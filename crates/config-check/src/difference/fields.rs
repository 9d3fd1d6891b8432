//! The fields of a configuration as values that can be compared and shown.

use egretseam_serving::{
    ConfigField, ConfigPath, RawEngine, RawOrganisation, RawRoute, RawService, RawServing,
    RouteKind,
};
use indexmap::IndexSet;

/// The value of a field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum FieldValue {
    /// A value that may be shown; `None` if it is absent.
    Plain(Option<String>),
    /// Secret values, of which neither order nor repetition matters.
    Secret(IndexSet<String>),
}

/// A part of a configuration with all its fields, in an order that all items of a kind share.
#[derive(Clone, Debug)]
pub(super) struct ConfigItem {
    /// Place of the item.
    pub(super) path: ConfigPath,
    /// Kind and name of the item.
    pub(super) subject: String,
    /// The place and the value of each field.
    pub(super) fields: Vec<(ConfigPath, FieldValue)>,
}

impl ConfigItem {
    fn new(path: ConfigPath, subject: String) -> Self {
        Self { path, subject, fields: Vec::new() }
    }

    fn add(&mut self, field: ConfigField, value: Option<impl ToString>) {
        self.add_at(self.path.field(field), value);
    }

    fn add_at(&mut self, path: ConfigPath, value: Option<impl ToString>) {
        let value = FieldValue::Plain(value.map(|value| value.to_string()));
        self.fields.push((path, value));
    }
}

/// The fields of the configuration as a whole.
pub(super) fn of_config(config: &RawServing) -> ConfigItem {
    let mut item = ConfigItem::new(ConfigPath::default(), String::new());
    item.add(ConfigField::Version, Some(config.version));
    let keys_needed = config.organisations.is_some();
    let requirement = if keys_needed { "keys required" } else { "no keys required" };
    item.add(ConfigField::Organisations, Some(requirement));
    let limits = &config.limits;
    let path = item.path.field(ConfigField::Limits);
    item.add_at(path.field(ConfigField::MaxHeadBytes), limits.max_head_bytes);
    item.add_at(path.field(ConfigField::MaxBodyBytes), limits.max_body_bytes);
    item.add_at(path.field(ConfigField::HeadTimeout), limits.head_timeout_millis);
    item.add_at(path.field(ConfigField::IdleTimeout), limits.idle_timeout_millis);
    item
}

/// The items of a list: routes, services or organisations.
pub(super) fn of_list(config: &RawServing, list: ConfigField) -> Vec<ConfigItem> {
    let path = |index| ConfigPath::item(list, index);
    match list {
        ConfigField::Routes => {
            config.routes.iter().enumerate().map(|(at, route)| of_route(route, path(at))).collect()
        }
        ConfigField::Services => {
            let services = config.services.iter().enumerate();
            services.map(|(at, service)| of_service(service, path(at))).collect()
        }
        ConfigField::Organisations => {
            let all = config.organisations.iter().flatten().enumerate();
            all.map(|(at, organisation)| of_organisation(organisation, path(at))).collect()
        }
        _ => Vec::new(),
    }
}

fn of_route(route: &RawRoute, path: ConfigPath) -> ConfigItem {
    let mut item = ConfigItem::new(path, format!("route {}", route.name));
    item.add(ConfigField::Host, Some(route.host.to_ascii_lowercase()));
    item.add(ConfigField::Prefix, Some(&route.prefix));
    item.add(ConfigField::Kind, route.kind.map(kind_text));
    item.add(ConfigField::Timeout, Some(route.timeout_millis));
    item.add(ConfigField::Objective, route.objective_millis);
    item.add(ConfigField::Priority, Some(route.priority));
    item.add_at(route.destinations_path(&item.path), Some(destinations_text(route)));
    item.add(ConfigField::MaxAttempts, route.max_attempts);
    item.add(ConfigField::Public, Some(route.public));
    item.add(ConfigField::Regions, set_text(&route.regions));
    item
}

fn of_service(service: &RawService, path: ConfigPath) -> ConfigItem {
    let mut item = ConfigItem::new(path, format!("service {}", service.name));
    item.add(ConfigField::HealthPath, Some(&service.health_path));
    item.add(ConfigField::MaxConnections, Some(service.max_connections));
    item.add(ConfigField::ColdRate, Some(service.cold_limit.rate));
    item.add(ConfigField::ColdSeconds, Some(service.cold_limit.seconds));
    item.add(ConfigField::Origin, service.origin.as_ref().map(|origin| origin.address));
    item.add(ConfigField::Zone, service.origin.as_ref().map(|origin| &origin.zone));
    add_engine(&mut item, service.engine.as_ref());
    item
}

fn add_engine(item: &mut ConfigItem, engine: Option<&RawEngine>) {
    let path = item.path.field(ConfigField::Engine);
    let times = engine.map(|engine| engine.times).unwrap_or_default();
    let usual = path.field(ConfigField::Usual);
    item.add_at(path.field(ConfigField::Slots), engine.map(|engine| engine.slots));
    let models = engine.and_then(|engine| set_text(&engine.models));
    item.add_at(path.field(ConfigField::Models), models);
    item.add_at(path.field(ConfigField::Chunks), engine.map(|engine| engine.chunks));
    item.add_at(path.field(ConfigField::ChunkBytes), engine.map(|engine| engine.chunk_bytes));
    item.add_at(path.field(ConfigField::StepMillis), times.step_millis);
    item.add_at(path.field(ConfigField::StepMillisPerRequest), times.step_millis_per_request);
    item.add_at(path.field(ConfigField::PromptRate), times.prompt_tokens_per_second);
    item.add_at(usual.field(ConfigField::UsualPrompt), times.usual_prompt_tokens);
    item.add_at(usual.field(ConfigField::UsualOutput), times.usual_output_tokens);
}

fn of_organisation(organisation: &RawOrganisation, path: ConfigPath) -> ConfigItem {
    let mut item = ConfigItem::new(path, format!("organisation {}", organisation.name));
    let keys = FieldValue::Secret(organisation.keys.iter().cloned().collect());
    item.fields.push((item.path.field(ConfigField::Keys), keys));
    item.add(ConfigField::Priority, organisation.priority);
    item.add(ConfigField::Regions, set_text(&organisation.regions));
    item
}

fn kind_text(kind: RouteKind) -> &'static str {
    match kind {
        RouteKind::Idempotent => "idempotent",
        RouteKind::NonIdempotent => "non-idempotent",
        RouteKind::Stream { resumable: false } => "stream",
        RouteKind::Stream { resumable: true } => "resumable stream",
    }
}

/// Services with their weights; a weight alone means nothing.
fn destinations_text(route: &RawRoute) -> String {
    let one = |item: &egretseam_serving::RawDestination| match route.destinations.len() {
        1 => item.service.clone(),
        _ => format!("{} {}", item.service, item.weight),
    };
    route.destinations.iter().map(one).collect::<Vec<_>>().join(", ")
}

/// The items without duplicates in a fixed order, since order means nothing; `None` if there are
/// none.
fn set_text(items: &[String]) -> Option<String> {
    let mut distinct: IndexSet<&str> = items.iter().map(String::as_str).collect();
    distinct.sort_unstable();
    let texts: Vec<&str> = distinct.into_iter().collect();
    (!texts.is_empty()).then(|| texts.join(", "))
}

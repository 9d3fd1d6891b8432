//! Places in a configuration, in the words of the file that the operator wrote.

use std::fmt;

/// A field of a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ConfigField {
    /// [`crate::RawServing::version`].
    Version,
    /// [`crate::RawServing::routes`].
    Routes,
    /// [`crate::RawServing::services`].
    Services,
    /// [`crate::RawServing::limits`].
    Limits,
    /// [`crate::RawServing::organisations`].
    Organisations,
    /// Name of a route, service, organisation or model.
    Name,
    /// [`crate::RawRoute::host`].
    Host,
    /// [`crate::RawRoute::prefix`].
    Prefix,
    /// [`crate::RawRoute::kind`].
    Kind,
    /// [`crate::RawRoute::timeout_millis`].
    Timeout,
    /// [`crate::RawRoute::objective_millis`].
    Objective,
    /// Priority of a route or an organisation.
    Priority,
    /// [`crate::RawRoute::destinations`], if the route has a split.
    Split,
    /// The only destination of a route, or a destination's service.
    Service,
    /// [`crate::RawDestination::weight`].
    Weight,
    /// [`crate::RawRoute::max_attempts`].
    MaxAttempts,
    /// [`crate::RawRoute::public`].
    Public,
    /// Allowed regions of a route or an organisation.
    Regions,
    /// [`crate::RawService::health_path`].
    HealthPath,
    /// [`crate::RawService::max_connections`].
    MaxConnections,
    /// [`crate::RawService::engine`].
    Engine,
    /// [`crate::RawOrigin::address`].
    Origin,
    /// [`crate::RawOrigin::zone`].
    Zone,
    /// [`crate::RawColdLimit::rate`].
    ColdRate,
    /// [`crate::RawColdLimit::seconds`].
    ColdSeconds,
    /// [`crate::RawEngine::slots`].
    Slots,
    /// [`crate::RawEngine::models`].
    Models,
    /// [`crate::RawEngine::chunks`].
    Chunks,
    /// [`crate::RawEngine::chunk_bytes`].
    ChunkBytes,
    /// [`crate::RawEngineTimes::step_millis`].
    StepMillis,
    /// [`crate::RawEngineTimes::step_millis_per_request`].
    StepMillisPerRequest,
    /// [`crate::RawEngineTimes::prompt_tokens_per_second`].
    PromptRate,
    /// The usual request of an engine, which holds [`Self::UsualPrompt`] and [`Self::UsualOutput`].
    Usual,
    /// [`crate::RawEngineTimes::usual_prompt_tokens`].
    UsualPrompt,
    /// [`crate::RawEngineTimes::usual_output_tokens`].
    UsualOutput,
    /// [`crate::RawLimits::max_head_bytes`].
    MaxHeadBytes,
    /// [`crate::RawLimits::max_body_bytes`].
    MaxBodyBytes,
    /// [`crate::RawLimits::head_timeout_millis`].
    HeadTimeout,
    /// [`crate::RawLimits::idle_timeout_millis`].
    IdleTimeout,
    /// [`crate::RawOrganisation::keys`].
    Keys,
}

/// The names of the fields in the format in which operators write configurations.
pub trait FieldNames {
    /// The name of a field, as it stands in the file.
    fn field_name(&self, field: ConfigField) -> &'static str;
}

/// One step of a [`ConfigPath`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PathStep {
    Field(ConfigField),
    Index(usize),
}

/// The place of a field in a configuration, such as the prefix of the route at position 3. An empty
/// path is the configuration as a whole.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigPath(Vec<PathStep>);

impl ConfigPath {
    /// The item at `index` of a list at the top of a configuration.
    pub fn item(list: ConfigField, index: usize) -> Self {
        Self::default().field(list).index(index)
    }

    /// The field `field` of what this path names.
    pub fn field(&self, field: ConfigField) -> Self {
        self.with(PathStep::Field(field))
    }

    /// The item at `index`, from 0, of the list that this path names.
    pub fn index(&self, index: usize) -> Self {
        self.with(PathStep::Index(index))
    }

    /// The path in the words of a format, such as `routes[3].pathPrefix`.
    pub fn display<'a>(&'a self, names: &'a dyn FieldNames) -> impl fmt::Display + 'a {
        DisplayedPath { path: self, names }
    }

    fn with(&self, step: PathStep) -> Self {
        Self(self.0.iter().copied().chain([step]).collect())
    }
}

struct DisplayedPath<'a> {
    path: &'a ConfigPath,
    names: &'a dyn FieldNames,
}

impl fmt::Display for DisplayedPath<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, step) in self.path.0.iter().enumerate() {
            match step {
                PathStep::Index(index) => write!(f, "[{index}]")?,
                PathStep::Field(field) => {
                    let separator = if position == 0 { "" } else { "." };
                    write!(f, "{separator}{}", self.names.field_name(*field))?;
                }
            }
        }
        Ok(())
    }
}

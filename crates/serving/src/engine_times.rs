//! How long an engine takes for its work, as the configuration describes it.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Lowest speed that is believed; below it no prompt would ever be read.
const MIN_PROMPT_TOKENS_PER_SECOND: f64 = 1.0;

/// The description of an engine, not validated; absent fields are unknown.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RawEngineTimes {
    /// Milliseconds of a token step.
    pub step_millis: Option<f64>,
    /// Milliseconds that each generating request adds to a token step.
    pub step_millis_per_request: Option<f64>,
    /// Prompt tokens read in a second.
    pub prompt_tokens_per_second: Option<f64>,
    /// Prompt tokens of a usual request.
    pub usual_prompt_tokens: Option<f64>,
    /// Output tokens of a usual request.
    pub usual_output_tokens: Option<f64>,
}

/// How long an engine takes for its work.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineTimes {
    /// Time of a token step, which produces one token of each generating request.
    pub step: Duration,
    /// Time that each generating request adds to a token step.
    pub step_per_request: Duration,
    /// Prompt tokens read in a second; more than 0.
    pub prompt_tokens_per_second: f64,
    /// Prompt tokens of a usual request.
    pub usual_prompt_tokens: f64,
    /// Output tokens of a usual request.
    pub usual_output_tokens: f64,
}

impl EngineTimes {
    /// Checks a description; `None` if it does not say how long an engine takes, or says something
    /// impossible. A description serves predictions only, so an implausible one is not an error.
    pub fn check(raw: &RawEngineTimes) -> Option<Self> {
        let positive = |value: Option<f64>| value.filter(|value| value.is_finite() && *value > 0.0);
        let millis = |value: f64| Duration::try_from_secs_f64(value / 1_000.0).ok();
        let per_request = raw.step_millis_per_request.filter(|value| *value >= 0.0);
        Some(Self {
            step: millis(positive(raw.step_millis)?)?,
            step_per_request: millis(per_request.unwrap_or_default())?,
            prompt_tokens_per_second: positive(raw.prompt_tokens_per_second)
                .filter(|rate| *rate >= MIN_PROMPT_TOKENS_PER_SECOND)?,
            usual_prompt_tokens: positive(raw.usual_prompt_tokens).unwrap_or_default(),
            usual_output_tokens: positive(raw.usual_output_tokens).unwrap_or_default(),
        })
    }
}

//! How much of an engine's time a request is likely to take, learned from earlier requests.
//!
//! Load pattern: requests of one kind differ by an order of magnitude in what they read and write, and
//! a target with three long ones has more to do than one with six short ones. Placement therefore
//! counts an entry's own requests by what they are likely to cost, relative to a usual request of
//! the service. The prediction only weights targets against each other; it admits and rejects
//! nothing, so a wrong one starves nobody.

use crate::engine_times::EngineTimes;
use indexmap::IndexMap;
use std::time::Duration;

/// Weight of the newest request in a moving average.
const NEWEST_WEIGHT: f64 = 0.05;
/// Routes with averages of their own; all further ones share one.
const MAX_ROUTES: usize = 64;
/// Longest engine time of a prompt that is believed.
const MAX_PROMPT_SECONDS: f64 = 60.0;
/// Bounds of a request's cost relative to a usual one, so that a hint that is far off does not empty
/// or flood a target.
const MIN_RELATIVE_COST: f64 = 0.25;
const MAX_RELATIVE_COST: f64 = 4.0;

/// What a request states of its size.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestSize {
    /// Tokens of the prompt.
    pub prompt_tokens: Option<u32>,
    /// Most tokens of the answer.
    pub max_output_tokens: Option<u32>,
    /// The caller's estimate of the tokens of the answer, which may be far off.
    pub hinted_output_tokens: Option<u32>,
}

impl RequestSize {
    fn output_tokens(&self) -> Option<f64> {
        let stated = match (self.hinted_output_tokens, self.max_output_tokens) {
            (Some(hint), Some(most)) => Some(hint.min(most)),
            (hint, most) => hint.or(most),
        };
        stated.filter(|tokens| *tokens > 0).map(f64::from)
    }
}

/// What a request is predicted to cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PredictedCost {
    /// Index of the route's averages.
    route: usize,
    output_tokens: Option<f64>,
    /// Engine time that its prompt takes; zero if that is not known.
    pub prompt: Duration,
    /// Time for which it occupies a slot.
    pub occupancy: Duration,
    /// Engine time relative to that of a usual request of the service.
    pub relative: f64,
}

impl Default for PredictedCost {
    /// The cost of a usual request.
    fn default() -> Self {
        Self {
            route: 0,
            output_tokens: None,
            prompt: Duration::ZERO,
            occupancy: Duration::ZERO,
            relative: 1.0,
        }
    }
}

/// A moving average; `None` before the first value.
#[derive(Clone, Copy, Debug, Default)]
struct MovingAverage(Option<f64>);

impl MovingAverage {
    fn record(&mut self, value: f64) {
        let mean = self.0.map_or(value, |mean| mean + (value - mean) * NEWEST_WEIGHT);
        self.0 = Some(mean);
    }
}

/// Averages over the requests of one route.
#[derive(Clone, Copy, Debug, Default)]
struct RouteAverages {
    occupancy_seconds: MovingAverage,
    output_tokens: MovingAverage,
}

/// What requests of one service cost.
#[derive(Clone, Debug, Default)]
pub struct CostModel {
    routes: IndexMap<String, RouteAverages>,
    engine_seconds: MovingAverage,
}

impl CostModel {
    fn route_index(&mut self, route: &str) -> usize {
        if let Some(index) = self.routes.get_index_of(route) {
            return index;
        }
        if self.routes.len() >= MAX_ROUTES {
            return 0;
        }
        self.routes.insert_full(route.to_owned(), RouteAverages::default()).0
    }

    /// Predicts what a request of a route costs at an engine with `slots` slots, of which the
    /// configuration may say how long it takes for its work.
    pub fn predict(
        &mut self,
        route: &str,
        size: &RequestSize,
        slots: u32,
        times: Option<&EngineTimes>,
    ) -> PredictedCost {
        let route = self.route_index(route);
        let output_tokens = size.output_tokens();
        let averages = self.routes[route];
        let prompt_seconds = size.prompt_tokens.zip(times).map_or(0.0, |(tokens, times)| {
            (f64::from(tokens) / times.prompt_tokens_per_second).min(MAX_PROMPT_SECONDS)
        });
        let prompt = Duration::try_from_secs_f64(prompt_seconds).unwrap_or_default();
        let Some(mean_seconds) = averages.occupancy_seconds.0 else {
            return PredictedCost { route, output_tokens, prompt, ..PredictedCost::default() };
        };
        // Estimates are off by a factor in either direction, so they count with their square root.
        let ratio = output_tokens.zip(averages.output_tokens.0);
        let correction = ratio.map_or(1.0, |(tokens, mean)| (tokens / mean).sqrt());
        let occupancy_seconds = mean_seconds * correction;
        let engine_seconds = prompt_seconds + occupancy_seconds / f64::from(slots.max(1));
        let mean_engine_seconds = self.engine_seconds.0.unwrap_or(engine_seconds);
        self.engine_seconds.record(engine_seconds.min(mean_engine_seconds * MAX_RELATIVE_COST));
        let relative = engine_seconds / mean_engine_seconds;
        PredictedCost {
            route,
            output_tokens,
            prompt,
            occupancy: Duration::try_from_secs_f64(occupancy_seconds).unwrap_or_default(),
            relative: relative.clamp(MIN_RELATIVE_COST, MAX_RELATIVE_COST),
        }
    }

    /// Learns from a request that was answered after it had occupied a slot for `occupancy`.
    pub fn record(&mut self, predicted: &PredictedCost, occupancy: Duration) {
        let Some((_, averages)) = self.routes.get_index_mut(predicted.route) else { return };
        averages.occupancy_seconds.record(occupancy.as_secs_f64());
        if let Some(tokens) = predicted.output_tokens {
            let most = averages.output_tokens.0.map_or(tokens, |mean| mean * MAX_RELATIVE_COST);
            averages.output_tokens.record(tokens.min(most));
        }
    }
}

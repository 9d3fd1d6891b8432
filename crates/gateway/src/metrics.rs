//! Metrics of an entry.

use crate::error_response::ErrorKind;
use egretseam_http::DaemonMetrics;
use indexmap::IndexMap;
use prometheus::{Histogram, IntCounter, IntCounterVec, IntGauge};

/// Metrics of an entry.
pub(crate) struct GatewayMetrics {
    pub(crate) errors: IndexMap<&'static str, IntCounter>,
    pub(crate) retries: IndexMap<&'static str, IntCounter>,
    pub(crate) requests: IntCounter,
    pub(crate) responses_forwarded: IntCounter,
    pub(crate) streams_resumed: IntCounter,
    pub(crate) responses_broken: IntCounterVec,
    pub(crate) strays: IntCounterVec,
    pub(crate) attempts_superseded: IntCounter,
    pub(crate) responses_closed: IntCounter,
    pub(crate) unrequested_bytes: IntCounterVec,
    pub(crate) held_bytes: IntGauge,
    pub(crate) held_cut_off: IntCounterVec,
    pub(crate) callers_disconnected: IntCounter,
    pub(crate) requests_unanswered: IntCounterVec,
    pub(crate) connections_discarding: IntCounter,
    pub(crate) attempts_refused: IntCounterVec,
    pub(crate) silences: IntCounterVec,
    pub(crate) connections_opened: IntCounter,
    pub(crate) config_version: IntGauge,
    pub(crate) config_unusable: IntCounter,
    pub(crate) targets_ended: IntCounter,
    pub(crate) targets_limited: IntGauge,
    pub(crate) limits_invalid: IntCounter,
    pub(crate) rests_requested: IntCounter,
    pub(crate) rests_invalid: IntCounter,
    pub(crate) rests_rejected: IntCounter,
    pub(crate) requests_withheld: IntCounterVec,
    pub(crate) targets_leaving: IntCounter,
    pub(crate) targets_cold: IntGauge,
    pub(crate) cold_invalid: IntCounter,
    pub(crate) permits_asked: IntCounter,
    pub(crate) permits_granted: IntCounter,
    pub(crate) permits_refused: IntCounter,
    pub(crate) permits_expired: IntCounter,
    pub(crate) permitted_requests: IntCounter,
    pub(crate) limited_requests: IntCounter,
    pub(crate) limits_rejected: IntCounter,
    pub(crate) paces_changed: IntCounter,
    pub(crate) requests_restricted: IntCounter,
    pub(crate) regions_rejected: IntCounter,
    pub(crate) evacuated_zones: IntGauge,
    pub(crate) evacuation_changes: IntCounter,
    pub(crate) evacuation_unconfirmed_starts: IntCounter,
    pub(crate) end_checks: IntCounter,
    pub(crate) suspects_found: IntCounter,
    pub(crate) suspects_rejected: IntCounter,
    pub(crate) suspects_cleared: IntCounter,
    pub(crate) suspect_parts: IntCounterVec,
    pub(crate) quarantined_requests: IntCounterVec,
    pub(crate) careful_runs: IntCounter,
    pub(crate) claims_released: IntCounter,
    pub(crate) first_byte_seconds: Histogram,
    pub(crate) wait_seconds: Histogram,
    pub(crate) cost_error_seconds: Histogram,
}

/// Reasons for retrying a request, each with its own counter.
const RETRY_REASONS: [&str; 7] = [
    "no-memory",
    "unreachable",
    "target-full",
    "other-target",
    "broken-answer",
    "no-continuation",
    "no-answer",
];

impl GatewayMetrics {
    pub(crate) fn new(metrics: &DaemonMetrics) -> Self {
        let error = |kind: ErrorKind| {
            let name = format!("egretseam_gateway_refused_{}_total", kind.slug().replace('-', "_"));
            (kind.slug(), metrics.counter(&name, "Requests refused or failed for this reason."))
        };
        let retry = |reason: &'static str| {
            let name = format!("egretseam_gateway_retried_{}_total", reason.replace('-', "_"));
            (reason, metrics.counter(&name, "Requests sent again for this reason."))
        };
        Self {
            errors: ErrorKind::ALL.into_iter().map(error).collect(),
            retries: RETRY_REASONS.into_iter().map(retry).collect(),
            requests: metrics.counter("egretseam_gateway_requests_total", "Requests read."),
            responses_forwarded: metrics
                .counter("egretseam_gateway_answered_total", "Answers passed on."),
            streams_resumed: metrics
                .counter("egretseam_gateway_resumed_total", "Streams that went on elsewhere."),
            responses_broken: metrics.counter_by(
                "egretseam_gateway_responses_broken_total",
                "Responses of targets that broke off.",
                "reason",
            ),
            attempts_superseded: metrics.counter(
                "egretseam_gateway_attempts_superseded_total",
                "Attempts cancelled because their target's weights were superseded.",
            ),
            strays: metrics.counter_by(
                "egretseam_gateway_stray_responses_total",
                "Responses of targets that were discarded, by the request that they name.",
                "names",
            ),
            responses_closed: metrics.counter(
                "egretseam_gateway_responses_closed_total",
                "Responses of targets that ended with their connection, without a length or chunks.",
            ),
            unrequested_bytes: metrics.counter_by(
                "egretseam_gateway_unrequested_bytes_total",
                "Connections to targets that were reset because bytes arrived that belong to no response.",
                "place",
            ),
            held_bytes: metrics.gauge(
                "egretseam_gateway_held_bytes",
                "Bytes of requests and responses held for all callers.",
            ),
            held_cut_off: metrics.counter_by(
                "egretseam_gateway_held_cut_off_total",
                "Requests and responses cut off at the limit of held bytes.",
                "kind",
            ),
            callers_disconnected: metrics
                .counter("egretseam_gateway_callers_left_total", "Callers that left unanswered."),
            requests_unanswered: metrics.counter_by(
                "egretseam_gateway_unanswered_total",
                "Requests read whole that got neither a complete answer nor a rejection.",
                "reason",
            ),
            connections_discarding: metrics.counter(
                "egretseam_gateway_connections_discarding_total",
                "Connections closed after a response with bytes of a further request unserved.",
            ),
            attempts_refused: metrics.counter_by(
                "egretseam_gateway_attempts_refused_total",
                "Further attempts that were not allowed.",
                "reason",
            ),
            silences: metrics.counter_by(
                "egretseam_gateway_silences_total",
                "Silences of targets for which another one was searched for, by which delivered first.",
                "outcome",
            ),
            connections_opened: metrics
                .counter("egretseam_gateway_connections_total", "Connections opened to targets."),
            config_version: metrics.gauge(
                "egretseam_gateway_config_version",
                "Version of the configuration in force.",
            ),
            config_unusable: metrics.counter(
                "egretseam_gateway_config_unusable_total",
                "Configurations that could not be restored from what this entry holds.",
            ),
            targets_ended: metrics.counter(
                "egretseam_gateway_targets_ended_total",
                "Targets whose process ended with requests of this entry.",
            ),
            targets_limited: metrics.gauge(
                "egretseam_gateway_targets_limited",
                "Targets that name a limit of requests.",
            ),
            limits_invalid: metrics.counter(
                "egretseam_gateway_limits_invalid_total",
                "Responses with a limit that cannot be read.",
            ),
            rests_requested: metrics.counter(
                "egretseam_gateway_rests_requested_total",
                "Rejections with a time for which their target wants no request.",
            ),
            rests_invalid: metrics.counter(
                "egretseam_gateway_rests_invalid_total",
                "Rejections with such a time that cannot be read.",
            ),
            rests_rejected: metrics.counter(
                "egretseam_gateway_rests_rejected_total",
                "Requests rejected because all targets have asked for rest.",
            ),
            requests_withheld: metrics.counter_by(
                "egretseam_gateway_requests_withheld_total",
                "Requests not sent to the target that they were placed at, by what it had asked for since.",
                "reason",
            ),
            targets_leaving: metrics.counter(
                "egretseam_gateway_targets_leaving_total",
                "Targets that have said in a response that they leave.",
            ),
            targets_cold: metrics.gauge(
                "egretseam_gateway_targets_cold",
                "Targets to which requests need a permit because they are cold.",
            ),
            cold_invalid: metrics.counter(
                "egretseam_gateway_cold_invalid_total",
                "Responses with a time of being cold that cannot be read.",
            ),
            permits_asked: metrics.counter(
                "egretseam_gateway_permits_asked_total",
                "Permits for requests to cold targets that were asked for.",
            ),
            permits_granted: metrics.counter(
                "egretseam_gateway_permits_granted_total",
                "Permits for requests to cold targets that arrived in time.",
            ),
            permits_refused: metrics.counter(
                "egretseam_gateway_permits_refused_total",
                "Replies to calls for permits that granted none or came too late.",
            ),
            permits_expired: metrics.counter(
                "egretseam_gateway_permits_expired_total",
                "Permits that expired unused.",
            ),
            permitted_requests: metrics.counter(
                "egretseam_gateway_permitted_requests_total",
                "Requests placed at cold targets with a permit.",
            ),
            limited_requests: metrics.counter(
                "egretseam_gateway_limited_requests_total",
                "Requests sent to targets that name a limit.",
            ),
            limits_rejected: metrics.counter(
                "egretseam_gateway_limits_rejected_total",
                "Requests rejected because the limits of all targets left no room in time.",
            ),
            paces_changed: metrics.counter(
                "egretseam_gateway_paces_changed_total",
                "Changes of the pace of targets that this entry was the first to hear.",
            ),
            requests_restricted: metrics.counter(
                "egretseam_gateway_requests_restricted_total",
                "Requests that may be handled in some regions only.",
            ),
            regions_rejected: metrics.counter(
                "egretseam_gateway_regions_rejected_total",
                "Such requests for which no target in these regions had room in time.",
            ),
            evacuated_zones: metrics.gauge(
                "egretseam_gateway_evacuated_zones",
                "Availability zones whose targets get no requests.",
            ),
            evacuation_changes: metrics.counter(
                "egretseam_gateway_evacuation_changes_total",
                "Availability zones that were evacuated or returned, as seen here.",
            ),
            evacuation_unconfirmed_starts: metrics.counter(
                "egretseam_gateway_evacuation_unconfirmed_starts_total",
                "Starts after which no control member confirmed the evacuations in time.",
            ),
            end_checks: metrics.counter(
                "egretseam_gateway_end_checks_total",
                "Connections opened to find out whether a target's process has ended.",
            ),
            suspects_found: metrics.counter(
                "egretseam_gateway_suspects_found_total",
                "Requests under which several targets ended.",
            ),
            suspects_rejected: metrics.counter(
                "egretseam_gateway_suspects_rejected_total",
                "Requests that end the targets that run them, rejected from then on.",
            ),
            suspects_cleared: metrics.counter(
                "egretseam_gateway_suspects_cleared_total",
                "Such requests that were served whole later.",
            ),
            suspect_parts: metrics.counter_by(
                "egretseam_gateway_suspect_parts_total",
                "Parts of prompts under which several targets ended, by what was decided.",
                "status",
            ),
            quarantined_requests: metrics.counter_by(
                "egretseam_gateway_quarantined_requests_total",
                "Requests rejected because targets ended under a feature, by its kind.",
                "feature",
            ),
            careful_runs: metrics.counter(
                "egretseam_gateway_careful_runs_total",
                "Runs of such requests, one at a time and apart from each other.",
            ),
            claims_released: metrics.counter(
                "egretseam_gateway_claims_released_total",
                "Claims of such runs that were released because no target ran the request.",
            ),
            first_byte_seconds: metrics
                .seconds("egretseam_gateway_first_byte_seconds", "Time to an answer's first byte."),
            cost_error_seconds: metrics.seconds(
                "egretseam_gateway_cost_error_seconds",
                "Difference between the predicted and the actual time in a slot.",
            ),
            wait_seconds: metrics.seconds(
                "egretseam_gateway_wait_seconds",
                "Time that requests waited for a place.",
            ),
        }
    }

    pub(crate) fn count_error(&self, kind: ErrorKind) {
        if let Some(counter) = self.errors.get(kind.slug()) {
            counter.inc();
        }
    }

    pub(crate) fn count_retry(&self, reason: &str) {
        if let Some(counter) = self.retries.get(reason) {
            counter.inc();
        }
    }
}

//! What the entries, control and agents of a fleet without gates believe, and what they decide.
//!
//! Free of I/O; time comes in as an argument. The tables:
//!
//! - [`ServingConfig`]: the configuration that operators replace as a whole, checked once by
//!   [`ServingConfig::try_from`]; [`RouteTable`] finds the route and the organisation of a request.
//! - [`ConfigHolder`]: the configuration in force at an entry, and what it asks control for.
//! - [`TargetRegistry`]: at control, what targets announce of themselves, with numbered changes so
//!   that readers fetch only news.
//! - [`TargetTable`]: at an entry, the merged news of all control members, beside what the entry's
//!   own requests showed; [`TargetTable::choose`] places a request.
//! - [`WaitQueue`]: where requests wait for a place, and when they are rejected instead.
//! - [`PeerList`]: at control, the agents that exchange chunks, with numbered changes.
//! - [`RetryDetector`]: how long a caller has been trying.
//! - [`AttemptLimits`]: how long attempts and waits may take before the caller leaves.
//! - [`RetryBudget`]: the entry's part of the repeats that a service may get.
//! - [`EntryRoster`]: which entries callers may be sent to.
//! - [`SwitchSchedule`]: when an instance may take new weights, so that not all do so at once.

mod attempt_limits;
mod config;
mod config_holder;
mod entries;
mod health;
mod peer_list;
mod placement;
mod raw;
mod registry;
mod retry_budget;
mod retry_detector;
mod roster_batcher;
mod route_table;
mod status;
mod switch_schedule;
mod target_table;
mod wait_queue;

pub use crate::{
    attempt_limits::{AttemptLimits, DEFAULT_STREAM_IDLE_TIMEOUT},
    config::{
        CallerLimits, Destination, EngineRecord, OrganisationRecord, OriginRecord, RouteKind,
        RouteRecord, ServiceRecord, ServingConfig,
    },
    config_holder::{ConfigApplyError, ConfigHolder, ConfigRequest},
    entries::{EntryObservation, EntryRoster},
    health::{AttemptOutcome, TargetHealth},
    peer_list::{PeerList, PeerMap, PeerUpdate, SwarmPeer, apply_peer_updates},
    placement::{PlacementOutcome, PlacementPolicy, PlacementQuery},
    raw::{
        ConfigError, RawDestination, RawEngine, RawLimits, RawOrganisation, RawOrigin, RawRoute,
        RawService, RawServing,
    },
    registry::{AnnounceOutcome, LeaveOutcome, TargetRegistry},
    retry_budget::{RetryBudget, RetryPolicy},
    retry_detector::RetryDetector,
    roster_batcher::RosterBatcher,
    route_table::{AccessError, KeyHolder, RouteTable},
    status::{
        EngineStatus, EntryRecord, HeldModel, Incarnation, PublishedVersion, TargetId,
        TargetRecord, TargetState, TargetStatus,
    },
    switch_schedule::{OlderVersionPolicy, OlderVersionState, SwitchSchedule, SwitchTiming},
    target_table::{LoadSample, TargetTable},
    wait_queue::{WaitPolicy, WaitQueue, WaitTicket, WaitUrgency},
};

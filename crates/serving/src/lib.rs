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
mod news;
mod peer_list;
mod placement;
mod raw;
mod registry;
mod retry_budget;
mod retry_detector;
mod roster_pace;
mod route_table;
mod switch_schedule;
mod target_table;
mod wait_queue;

pub use crate::{
    attempt_limits::{AttemptLimits, USUAL_STAY},
    config::{
        CallerLimits, Destination, EngineRecord, OrganisationRecord, OriginRecord, RouteKind,
        RouteRecord, ServiceRecord, ServingConfig,
    },
    config_holder::{ConfigHolder, ConfigWish, TakeError},
    entries::{EntryRoster, EntrySighting},
    health::{AttemptOutcome, TargetHealth},
    news::{
        EngineNews, EntryRecord, HeldModel, Incarnation, NamedVersion, TargetId, TargetNews,
        TargetRecord, TargetState,
    },
    peer_list::{PeerList, PeerMap, PeerUpdate, SwarmPeer, apply_peers},
    placement::{PlacementOutcome, PlacementPolicy, PlacementQuery},
    raw::{
        ConfigError, RawDestination, RawEngine, RawLimits, RawOrganisation, RawOrigin, RawRoute,
        RawService, RawServing,
    },
    registry::{AnnounceOutcome, LeaveOutcome, TargetRegistry},
    retry_budget::{RetryBudget, RetryPolicy},
    retry_detector::RetryDetector,
    roster_pace::RosterPace,
    route_table::{AccessError, KeyHolder, RouteTable},
    switch_schedule::{OlderVersionUse, OlderVersionView, SwitchSchedule, SwitchTiming},
    target_table::{LoadSample, TargetTable},
    wait_queue::{WaitPolicy, WaitQueue, WaitTicket, WaitUrgency},
};

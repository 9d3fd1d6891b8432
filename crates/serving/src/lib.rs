//! State and decision logic of the entries, control members and agents of a fleet without gates.
//!
//! Free of I/O; the current time is passed in as an argument. The main types:
//!
//! - [`ServingConfig`]: the configuration, which operators replace as a whole and which
//!   [`ServingConfig::try_from`] validates once ([`ServingConfig::validate`] returns every error);
//!   [`RouteTable`] looks up the route and the organisation of a request.
//! - [`ConfigHolder`]: the configuration in force at an entry, and what the entry requests from
//!   control.
//! - [`TargetRegistry`]: at control, the announcements of targets, with numbered changes so that
//!   readers fetch only what they have not seen.
//! - [`TargetTable`]: at an entry, the merged updates of all control members and the outcomes of
//!   the entry's own requests; [`TargetTable::choose`] places a request.
//! - [`AdmissionShares`]: the slots that requests of lower priority yield to others under overload.
//! - [`WaitQueue`]: requests that wait for a slot, and when they are rejected instead.
//! - [`PeerList`]: at control, the agents that exchange chunks, with numbered changes.
//! - [`RetryDetector`]: how long a caller has been trying.
//! - [`AttemptLimits`]: deadlines of attempts and waits, set before the caller disconnects.
//! - [`AttemptRace`]: the attempts of one request at the same time; silence of a target starts the
//!   search for another one.
//! - [`RetryBudget`]: the entry's share of a service's retry budget, among [`EntryCount`] entries.
//! - [`RequestRate`]: the limit of requests that a target names; [`TargetTable`] paces them, and
//!   [`PacedRoom`] tells what is left where all targets name limits.
//! - [`RequestedRest`]: the time for which a target wants no request of this entry; [`TargetTable`]
//!   heeds it, and tells why a request is withheld.
//! - [`PermitAllocator`]: in an agent or control member, grants permits for requests to cold
//!   targets; [`PermitRequests`] is what an entry holds and asks for.
//! - [`RosterBatcher`]: when a changed list of entries is sent.
//! - [`EvacuationView`]: the evacuated availability zones; [`TargetTable::set_evacuated`] merges the
//!   tables of all control members.
//! - [`EntryRoster`]: which entries callers may be sent to.
//! - [`SwitchSchedule`]: when an instance may load new weights, so that not all do so at once.
//! - [`OlderVersionPolicy`]: when an instance loads a superseded version.
//! - [`OriginTurnPolicy`]: which of two published versions the next chunk of the origin serves.

mod admission_shares;
mod attempt_limits;
mod attempt_race;
mod backpressure;
mod cold_limit;
mod config;
mod config_codec;
mod config_holder;
mod config_path;
mod engine_times;
mod entries;
mod evacuations;
mod health;
mod origin_turn;
mod peer_list;
mod permit_allocator;
mod permit_requests;
mod placement;
mod raw;
mod regions;
mod registry;
mod request_cost;
mod request_pacer;
mod request_rate;
mod requested_rest;
mod retry_budget;
mod retry_detector;
mod roster_batcher;
mod route_table;
mod status;
mod switch_schedule;
mod target_pace;
mod target_table;
mod validation;
mod version_history;
mod wait_queue;

pub use crate::{
    admission_shares::{AdmissionPosition, AdmissionShares},
    attempt_limits::{AttemptLimits, DEFAULT_STREAM_IDLE_TIMEOUT},
    attempt_race::{AttemptId, AttemptRace, RaceStep, RaceTerms},
    backpressure::WithholdReason,
    cold_limit::{ColdLimit, ColdLimitError, ColdTolerance, RawColdLimit},
    config::{
        CallerLimits, Destination, EngineRecord, OrganisationRecord, OriginRecord, RouteKind,
        RouteRecord, ServiceRecord, ServingConfig,
    },
    config_codec::{decode_config, encode_config},
    config_holder::{ConfigApplyError, ConfigHolder, ConfigRequest},
    config_path::{ConfigField, ConfigPath, FieldNames},
    engine_times::{EngineTimes, RawEngineTimes},
    entries::{AddressQuery, EntryObservation, EntryRoster},
    evacuations::{EvacuationChange, EvacuationView, ZoneEvacuation},
    health::{AttemptOutcome, TargetHealth},
    origin_turn::{OriginBacklog, OriginTurn, OriginTurnPolicy},
    peer_list::{PeerList, PeerMap, PeerUpdate, SwarmPeer, apply_peer_updates},
    permit_allocator::{
        NETWORK_MARGIN, PERMIT_LIFETIME, PermitAllocator, PermitGrant, PermitTerms, ReportedRates,
    },
    permit_requests::{PermitAnswer, PermitRequest, PermitRequests},
    placement::{PlacementChoice, PlacementOutcome, PlacementPolicy, PlacementQuery},
    raw::{
        ConfigError, RawDestination, RawEngine, RawLimits, RawOrganisation, RawOrigin, RawRoute,
        RawService, RawServing,
    },
    regions::{AllowedRegions, RegionFilter, ZoneRegions},
    registry::{AnnounceOutcome, LeaveOutcome, TargetRegistry},
    request_cost::{CostModel, PredictedCost, RequestSize},
    request_pacer::PacedRoom,
    request_rate::{HeardLimit, NamedLimit, RateError, RequestRate},
    requested_rest::RequestedRest,
    retry_budget::{EntryCount, RetryBudget, RetryPolicy, RetryUsage},
    retry_detector::RetryDetector,
    roster_batcher::RosterBatcher,
    route_table::{AccessError, KeyHolder, RouteTable},
    status::{
        EngineStatus, EntryRecord, HeldModel, Incarnation, PublishedVersion, TargetId,
        TargetRecord, TargetState, TargetStatus,
    },
    switch_schedule::{OlderVersionPolicy, OlderVersionState, SwitchSchedule, SwitchTiming},
    target_pace::PaceFactor,
    target_table::{
        BelievedWeights, ColdTarget, LimitChange, LoadSample, TargetLifetime, TargetTable,
    },
    validation::{DEFAULT_OBJECTIVE, LocatedError},
    version_history::{VersionHistory, VersionRecord},
    wait_queue::{RequestPriority, WaitPolicy, WaitQueue, WaitTicket, WaitUrgency},
};

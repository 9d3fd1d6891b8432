//! Reads the feeds of all control members, with one task for each member.
//!
//! Every member is read, since each forwards only the announcements that targets sent to it; if a
//! member is lost, the others still report the targets. If all members are lost, the entry keeps
//! its state and continues to serve with it.

use crate::{dispatch, evacuations, evidence, permits, shared::GatewayShared, weights_log};
use egretseam_delta::PackedDocument;
use egretseam_rpc::{FeedCall, FeedLink, FeedReader, FeedReply, FeedRoster, LinkOptions};
use egretseam_serving::{RouteTable, ServingConfig};
use indexmap::IndexMap;
use std::{
    cell::RefCell,
    rc::{Rc, Weak},
    time::Duration,
};
use tokio::{sync::watch, time::Instant};

/// How long a control member may hold a feed call until something changes. Bounds the time for
/// which a crashed entry is still listed.
const LONG_POLL_WAIT: Duration = Duration::from_millis(1_000);
/// Time allowed for connecting to a control member: a dozen round trips between regions. After a
/// power failure entries start before control does, and the SYN packets that they send to members
/// that are not up yet are lost: with 400 ms an entry had its configuration 0.3 s after control was
/// up, on average.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Time beyond [`LONG_POLL_WAIT`] after which a feed call has failed.
const CALL_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);
/// Delay before the first retries of a feed call: a member that restarts is back within a second.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Number of retries in a row after [`FIRST_RETRY_DELAY`].
const FIRST_RETRIES: u32 = 8;
/// Delay before further retries.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Interval at which tasks are started for newly listed members.
const MEMBER_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How long an unreachable member is still called after a seed or another member last listed it.
const UNLISTED_RETENTION: Duration = Duration::from_secs(30);
/// Failed feed calls in a row after which a control member counts as lost.
const LOST_AFTER_FAILURES: u32 = 2;

/// Control members that are listed, with the sources of those whose feeds are read.
#[derive(Default)]
pub(crate) struct FollowedMembers {
    /// Source number and time of the last listing, by feed address. The source number identifies
    /// the member in the target table; it is [`Self::UNSTARTED`] until a task reads the feed.
    members: RefCell<IndexMap<String, (u32, Instant)>>,
}

/// Starts a task for each member that a seed or another member lists.
pub(crate) async fn follow_members(shared: Weak<GatewayShared>, leaving: watch::Receiver<bool>) {
    let followed = Rc::new(FollowedMembers::default());
    let mut next_source = 0;
    loop {
        {
            let Some(shared) = shared.upgrade() else { return };
            let seeds = shared.options.seeds.borrow().clone();
            for seed in seeds {
                followed.record_listed(&seed);
            }
            for address in followed.unstarted() {
                let source = next_source;
                next_source += 1;
                followed.set_source(&address, source);
                tracing::info!(member = %address, "reading the feed of a control member");
                let follower = FeedFollower {
                    link: feed_link(&shared, &address),
                    source,
                    followed: followed.clone(),
                    position: FeedPosition::default(),
                    failures: 0,
                };
                let link = feed_link(&shared, &address);
                let evacuation_link = feed_link(&shared, &address);
                let follows_evacuations = shared.options.evacuation_limit.is_some();
                let (shared, leaving) = (Rc::downgrade(&shared), leaving.clone());
                let members = followed.clone();
                let is_followed = move || members.is_followed(&address, source);
                if follows_evacuations {
                    let is_followed = is_followed.clone();
                    let follow = evacuations::follow(shared.clone(), evacuation_link, is_followed);
                    actix_rt::spawn(follow);
                }
                actix_rt::spawn(evidence::exchange(shared.clone(), link, is_followed));
                actix_rt::spawn(follower.run(shared, leaving));
            }
        }
        tokio::time::sleep(MEMBER_CHECK_INTERVAL).await;
    }
}

fn feed_link(shared: &GatewayShared, address: &str) -> FeedLink {
    let options = LinkOptions {
        connect_timeout: CONNECT_TIMEOUT,
        call_timeout: CALL_TIMEOUT_MARGIN,
        ..LinkOptions::default()
    };
    FeedLink::new(address, shared.options.secret, options)
}

impl FollowedMembers {
    const UNSTARTED: u32 = u32::MAX;

    fn record_listed(&self, address: &str) {
        let now = Instant::now();
        let mut members = self.members.borrow_mut();
        members.entry(address.to_owned()).or_insert((Self::UNSTARTED, now)).1 = now;
    }

    fn unstarted(&self) -> Vec<String> {
        let members = self.members.borrow();
        let unstarted = members.iter().filter(|(_, (source, _))| *source == Self::UNSTARTED);
        unstarted.map(|(address, _)| address.clone()).collect()
    }

    fn set_source(&self, address: &str, source: u32) {
        if let Some(member) = self.members.borrow_mut().get_mut(address) {
            member.0 = source;
        }
    }

    fn is_followed(&self, address: &str, source: u32) -> bool {
        self.members.borrow().get(address).is_some_and(|(held, _)| *held == source)
    }

    /// Whether a seed or another member listed an unreachable member recently; if not, it is
    /// removed.
    fn is_listed(&self, address: &str) -> bool {
        let mut members = self.members.borrow_mut();
        let listed = members.get(address).is_some_and(|(_, at)| at.elapsed() < UNLISTED_RETENTION);
        if !listed {
            members.shift_remove(address);
        }
        listed
    }
}

/// Position up to which a member's feed has been read.
#[derive(Clone, Copy, Debug, Default)]
struct FeedPosition {
    /// The member's incarnation that the numbers belong to.
    incarnation: u64,
    targets_seen: u64,
    roster_seen: u64,
    /// Version of the configuration that the member has applied.
    config_version: u64,
}

struct FeedFollower {
    link: FeedLink,
    source: u32,
    followed: Rc<FollowedMembers>,
    position: FeedPosition,
    failures: u32,
}

impl FeedFollower {
    async fn run(mut self, shared: Weak<GatewayShared>, mut leaving: watch::Receiver<bool>) {
        loop {
            let call = {
                let Some(shared) = shared.upgrade() else { return };
                self.next_call(&shared)
            };
            let config_held = call.config_held;
            let was_leaving = *leaving.borrow();
            let link = &self.link;
            let outcome = tokio::select! {
                outcome = link.feed(call) => Some(outcome),
                // Cancels the call so that the next one reports the stop without waiting.
                _ = leaving.wait_for(|now| *now != was_leaving) => None,
            };
            let Some(shared) = shared.upgrade() else { return };
            match outcome {
                None => {}
                Some(Ok(reply)) => self.apply_reply(&shared, config_held, reply),
                Some(Err(error)) => {
                    self.record_failure(&shared, &error);
                    drop(shared);
                    if !self.followed.is_listed(self.link.address()) {
                        tracing::info!(
                            member = self.link.address(),
                            "no longer reading the feed of an unlisted control member"
                        );
                        return;
                    }
                    tokio::time::sleep(self.retry_delay()).await;
                }
            }
        }
    }

    fn retry_delay(&self) -> Duration {
        if self.failures <= FIRST_RETRIES { FIRST_RETRY_DELAY } else { RETRY_DELAY }
    }

    fn next_call(&self, shared: &GatewayShared) -> FeedCall {
        FeedCall {
            reader: FeedReader::Entry(shared.record()),
            run: self.position.incarnation,
            targets_seen: self.position.targets_seen,
            roster_seen: self.position.roster_seen,
            config_held: shared.config_version(),
            config_wish: shared.config.borrow().next_request(self.position.config_version),
            wait_millis: LONG_POLL_WAIT.as_millis() as u64,
        }
    }

    fn record_failure(&mut self, shared: &GatewayShared, error: &egretseam_rpc::CallError) {
        self.failures += 1;
        if self.failures == LOST_AFTER_FAILURES {
            let member = self.link.address();
            tracing::warn!(member, %error, "control member lost: consecutive feed calls failed");
            shared.dispatch.borrow_mut().targets.source_lost(self.source, Instant::now());
            shared.apply_roster(self.source, None);
            // When the member replies again, its complete state is requested.
            self.position = FeedPosition::default();
        }
    }

    fn apply_reply(&mut self, shared: &Rc<GatewayShared>, config_held: u64, reply: FeedReply) {
        if self.failures >= LOST_AFTER_FAILURES {
            tracing::info!(member = self.link.address(), "control member replies again");
        }
        self.failures = 0;
        let now = Instant::now();
        {
            let mut dispatch = shared.dispatch.borrow_mut();
            if self.position.incarnation != reply.run && self.position.incarnation != 0 {
                dispatch.targets.source_restarted(self.source, now);
            }
            for id in &reply.gone {
                dispatch.targets.remove_target(id, now);
            }
            for status in &reply.targets {
                log_target(status);
                weights_log::apply_target(&mut dispatch.targets, self.source, status, now);
            }
            for status in &reply.engines {
                weights_log::apply_engine(&mut dispatch.targets, status, now);
            }
        }
        for id in &reply.gone {
            tracing::info!(target_id = %id, "target removed");
            shared.pool.borrow_mut().remove_target(id);
        }
        let has_changes = !reply.targets.is_empty() || !reply.engines.is_empty();
        if let Some(roster) = reply.roster {
            self.apply_roster(shared, roster, now);
        }
        self.position.incarnation = reply.run;
        self.position.targets_seen = reply.targets_seen;
        if let Some(config) = reply.config {
            apply_config(shared, config_held, reply.config_version, &config);
        }
        // The next call requests a newer configuration from this member, unless one from another
        // member has been applied by then.
        self.position.config_version = reply.config_version;
        if has_changes {
            dispatch::dispatch_all(shared);
        }
    }

    fn apply_roster(&mut self, shared: &GatewayShared, roster: FeedRoster, now: Instant) {
        self.position.roster_seen = roster.number;
        for member in &roster.members {
            self.followed.record_listed(member);
        }
        shared.control_members.borrow_mut().clone_from(&roster.members);
        {
            let mut dispatch = shared.dispatch.borrow_mut();
            for published in &roster.versions {
                dispatch.targets.apply_version(published, shared.options.staleness_bound, now);
            }
        }
        shared.apply_roster(self.source, Some(roster.entries));
    }
}

fn log_target(status: &egretseam_serving::TargetStatus) {
    tracing::info!(
        target_id = %status.record.id,
        service = %status.record.service,
        address = %status.record.address,
        state = ?status.record.state,
        silent = status.silent,
        models = ?status.record.models,
        sequence = status.record.sequence,
        age_millis = status.age_millis,
        "target status changed"
    );
}

/// Number of organisations whose priority overrides those of routes.
fn prioritised_organisations(config: &ServingConfig) -> usize {
    let organisations = config.organisations.iter().flatten();
    organisations.filter(|(_, record)| record.priority.is_some()).count()
}

/// Applies a configuration if it is newer than the one in force.
fn apply_config(shared: &GatewayShared, base: u64, version: u64, packed: &PackedDocument) {
    let applied = shared.config.borrow_mut().apply(base, version, packed);
    let config = match applied {
        Ok(Some(config)) => config,
        Ok(None) => return,
        Err(error) => {
            tracing::info!(
                base,
                version,
                %error,
                "configuration could not be applied; requesting it again"
            );
            shared.metrics.config_unusable.inc();
            return;
        }
    };
    tracing::info!(
        version,
        routes = config.routes.len(),
        restricted_routes = config.routes.iter().filter(|route| route.regions.is_some()).count(),
        prioritised_organisations = prioritised_organisations(&config),
        bytes = packed.size(),
        whole = packed.is_full(),
        "configuration applied"
    );
    shared.metrics.config_version.set(config.version as i64);
    shared.retry_detector.borrow_mut().retain(|name| config.routes.iter().any(|r| r.name == name));
    permits::apply_limits(shared, &config);
    shared.set_routes(RouteTable::new(config));
}

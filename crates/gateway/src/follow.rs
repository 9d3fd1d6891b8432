//! Following control: one task for each control member reads its feed.
//!
//! Every member is read, since each passes on only what targets told it; the word of one that is
//! lost then still stands at the others. All of them may be lost: what is known is kept and served
//! by, and nothing is taken back.

use crate::{dispatch, shared::GatewayShared};
use egretseam_delta::PackedDocument;
use egretseam_rpc::{FeedCall, FeedLink, FeedReader, FeedReply, FeedRoster, LinkOptions};
use egretseam_serving::RouteTable;
use indexmap::IndexMap;
use std::{
    cell::RefCell,
    rc::{Rc, Weak},
    time::Duration,
};
use tokio::{sync::watch, time::Instant};

/// How long a reading may wait for news. Bounds how long an entry that died is still listed.
const READING_WAIT: Duration = Duration::from_millis(1_000);
/// How long a connection to a control member may take: a dozen round trips between regions. After a
/// loss of power an entry starts before control does, and the opening packets that it sent to dark
/// members are lost: with 400 ms it had its configuration 0.3 s after control was up, on average.
const CONNECT_LIMIT: Duration = Duration::from_millis(150);
/// Time beyond the wait after which a reading has failed.
const READING_SLACK: Duration = Duration::from_millis(700);
/// Pause after the first failed readings: a member that restarts is back within a second.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// How many failures in a row count as first ones.
const FIRST_FAILURES: u32 = 8;
/// Pause after further ones.
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(200);
/// How often the list of members to follow is compared with what is known.
const MEMBERS_INTERVAL: Duration = Duration::from_millis(250);
/// How long a member that nobody names any more is still followed.
const FORGET_AFTER: Duration = Duration::from_secs(30);
/// Readings that fail in a row before a member's word about targets counts as lost.
const LOST_AFTER: u32 = 2;

/// Members being followed.
#[derive(Default)]
pub(crate) struct Followed {
    /// By feed address: number of the source and when somebody last named it.
    rows: RefCell<IndexMap<String, (u32, Instant)>>,
}

/// Starts a task for each member that seeds or other members name, for as long as they do.
pub(crate) async fn follow_all(shared: Weak<GatewayShared>, leaving: watch::Receiver<bool>) {
    let followed = Rc::new(Followed::default());
    let mut next_source = 0;
    loop {
        {
            let Some(shared) = shared.upgrade() else { return };
            let seeds = shared.options.seeds.borrow().clone();
            for seed in seeds {
                followed.name(&seed);
            }
            for address in followed.unstarted() {
                let source = next_source;
                next_source += 1;
                followed.start(&address, source);
                tracing::info!(member = %address, "following a control member");
                let follower = Follower {
                    link: feed_link(&shared, &address),
                    source,
                    followed: followed.clone(),
                    position: FeedPosition::default(),
                    failures: 0,
                };
                let (shared, leaving) = (Rc::downgrade(&shared), leaving.clone());
                actix_rt::spawn(follower.run(shared, leaving));
            }
        }
        tokio::time::sleep(MEMBERS_INTERVAL).await;
    }
}

fn feed_link(shared: &GatewayShared, address: &str) -> FeedLink {
    let options = LinkOptions {
        connect_timeout: CONNECT_LIMIT,
        call_timeout: READING_SLACK,
        ..LinkOptions::default()
    };
    FeedLink::new(address, shared.options.secret, options)
}

impl Followed {
    const UNSTARTED: u32 = u32::MAX;

    fn name(&self, address: &str) {
        let now = Instant::now();
        let mut rows = self.rows.borrow_mut();
        rows.entry(address.to_owned()).or_insert((Self::UNSTARTED, now)).1 = now;
    }

    fn unstarted(&self) -> Vec<String> {
        let rows = self.rows.borrow();
        let fresh = rows.iter().filter(|(_, (source, _))| *source == Self::UNSTARTED);
        fresh.map(|(address, _)| address.clone()).collect()
    }

    fn start(&self, address: &str, source: u32) {
        if let Some(row) = self.rows.borrow_mut().get_mut(address) {
            row.0 = source;
        }
    }

    /// Whether a member that does not answer is worth following on.
    fn is_named(&self, address: &str) -> bool {
        let mut rows = self.rows.borrow_mut();
        let named = rows.get(address).is_some_and(|(_, at)| at.elapsed() < FORGET_AFTER);
        if !named {
            rows.shift_remove(address);
        }
        named
    }
}

/// How far a member's feed has been read.
#[derive(Clone, Copy, Debug, Default)]
struct FeedPosition {
    run: u64,
    targets_seen: u64,
    roster_seen: u64,
    /// Version of the configuration that the member has applied.
    config_version: u64,
}

struct Follower {
    link: FeedLink,
    source: u32,
    followed: Rc<Followed>,
    position: FeedPosition,
    failures: u32,
}

impl Follower {
    async fn run(mut self, shared: Weak<GatewayShared>, mut leaving: watch::Receiver<bool>) {
        loop {
            let call = {
                let Some(shared) = shared.upgrade() else { return };
                self.call(&shared)
            };
            let config_held = call.config_held;
            let was_leaving = *leaving.borrow();
            let link = &self.link;
            let reading = tokio::select! {
                reading = link.feed(call) => Some(reading),
                // Stopping is told at once, not when the present reading has ended.
                _ = leaving.wait_for(|now| *now != was_leaving) => None,
            };
            let Some(shared) = shared.upgrade() else { return };
            match reading {
                None => {}
                Some(Ok(reply)) => self.take(&shared, config_held, reply),
                Some(Err(error)) => {
                    self.note_failure(&shared, &error);
                    drop(shared);
                    if !self.followed.is_named(self.link.address()) {
                        tracing::info!(member = self.link.address(), "no longer followed");
                        return;
                    }
                    tokio::time::sleep(self.pause()).await;
                }
            }
        }
    }

    fn pause(&self) -> Duration {
        if self.failures <= FIRST_FAILURES { FIRST_PAUSE } else { PAUSE_AFTER_FAILURE }
    }

    fn call(&self, shared: &GatewayShared) -> FeedCall {
        FeedCall {
            reader: FeedReader::Entry(shared.record()),
            run: self.position.run,
            targets_seen: self.position.targets_seen,
            roster_seen: self.position.roster_seen,
            config_held: shared.config_version(),
            config_wish: shared.config.borrow().next_request(self.position.config_version),
            wait_millis: READING_WAIT.as_millis() as u64,
        }
    }

    fn note_failure(&mut self, shared: &GatewayShared, error: &egretseam_rpc::CallError) {
        self.failures += 1;
        if self.failures == LOST_AFTER {
            let member = self.link.address();
            tracing::warn!(member, %error, "a control member does not answer");
            shared.dispatch.borrow_mut().targets.source_lost(self.source);
            shared.apply_roster(self.source, None);
            // What it knew is asked for again from the start when it is back.
            self.position = FeedPosition::default();
        }
    }

    fn take(&mut self, shared: &Rc<GatewayShared>, config_held: u64, reply: FeedReply) {
        if self.failures >= LOST_AFTER {
            tracing::info!(member = self.link.address(), "a control member answers again");
        }
        self.failures = 0;
        let now = Instant::now();
        {
            let mut dispatch = shared.dispatch.borrow_mut();
            if self.position.run != reply.run && self.position.run != 0 {
                dispatch.targets.source_restarted(self.source, now);
            }
            for id in &reply.gone {
                dispatch.targets.remove_target(id, now);
            }
            for news in &reply.targets {
                log_target(news);
                dispatch.targets.apply_target(self.source, news, now);
            }
            for news in &reply.engines {
                dispatch.targets.apply_engine(news, now);
            }
        }
        for id in &reply.gone {
            tracing::info!(target_id = %id, "a target left");
            shared.pool.borrow_mut().remove_target(id);
        }
        let has_news = !reply.targets.is_empty() || !reply.engines.is_empty();
        if let Some(roster) = reply.roster {
            self.take_roster(shared, roster, now);
        }
        self.position.run = reply.run;
        self.position.targets_seen = reply.targets_seen;
        if let Some(config) = reply.config {
            take_config(shared, config_held, reply.config_version, &config);
        }
        // Whoever says that there is a newer one is asked for it, unless another was quicker.
        self.position.config_version = reply.config_version;
        if has_news {
            dispatch::dispatch_all(shared);
        }
    }

    fn take_roster(&mut self, shared: &GatewayShared, roster: FeedRoster, now: Instant) {
        self.position.roster_seen = roster.number;
        for member in &roster.members {
            self.followed.name(member);
        }
        {
            let mut dispatch = shared.dispatch.borrow_mut();
            for named in &roster.versions {
                dispatch.targets.apply_version(named, shared.options.staleness_bound, now);
            }
        }
        shared.apply_roster(self.source, Some(roster.entries));
    }
}

fn log_target(news: &egretseam_serving::TargetStatus) {
    tracing::info!(
        target_id = %news.record.id,
        service = %news.record.service,
        address = %news.record.address,
        state = ?news.record.state,
        silent = news.silent,
        models = ?news.record.models,
        sequence = news.record.sequence,
        age_millis = news.age_millis,
        "target changed"
    );
}

/// Puts a configuration in force if it is newer than the one in force.
fn take_config(shared: &GatewayShared, base: u64, version: u64, packed: &PackedDocument) {
    let taken = shared.config.borrow_mut().apply(base, version, packed);
    let config = match taken {
        Ok(Some(config)) => config,
        Ok(None) => return,
        Err(error) => {
            tracing::info!(base, version, %error, "a configuration is asked for again");
            shared.metrics.config_unusable.inc();
            return;
        }
    };
    tracing::info!(
        version,
        routes = config.routes.len(),
        bytes = packed.size(),
        whole = packed.is_whole(),
        "configuration in force"
    );
    shared.metrics.config_version.set(config.version as i64);
    shared.retry_detector.borrow_mut().retain(|name| config.routes.iter().any(|r| r.name == name));
    shared.set_routes(RouteTable::new(config));
}

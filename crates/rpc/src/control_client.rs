//! Client of the control group: finds a member that can serve a call, and retries until it replies.

use crate::{
    link::{CallError, ControlLink, LinkOptions},
    preface::PeerSecret,
    wire::{MemberCall, MemberReply, MembersReply, SubmitReply, WatchCall, WatchReply},
};
use egretseam_catalog::{CatalogCommand, CatalogReply, HistoryRecord};
use egretseam_proto::ProfileName;
use futures::{StreamExt, stream::FuturesUnordered};
use indexmap::IndexMap;
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};
use thiserror::Error;
use tokio::time::Instant;

/// Pause after the first round over all members; doubles with each round up to [`MAX_ROUND_PAUSE`].
const INITIAL_ROUND_PAUSE: Duration = Duration::from_millis(20);
const MAX_ROUND_PAUSE: Duration = Duration::from_millis(200);
/// Time beyond the wait of a watch after which another member is asked too. Longer than a confirmed
/// read takes between regions, and short enough for several members to be asked within a lease.
const WATCH_REPLY_MARGIN: Duration = Duration::from_millis(500);
/// How often each member is asked at most in one watch.
const MAX_WATCH_ROUNDS: usize = 2;

/// Why a command has no reply.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum SubmitError {
    /// No member executed the command; nothing was changed.
    #[error("no control member could take the command: {0}")]
    NotRun(String),
    /// A member may have executed the command.
    #[error("the command's outcome is unknown: {0}")]
    Unknown(String),
}

/// Outcome of one attempt at one member.
enum AttemptOutcome<T> {
    Answered(T),
    /// The member is not the leader; holds the leader's address, if known.
    Redirect(Option<String>),
    /// The member cannot serve the call now.
    RetryLater,
}

/// Client of the control group.
///
/// All commands of the catalog can be retried safely: edits carry their operation id, claims and
/// announcements are compared with the current state, and a repeated grant only uses up another
/// fencing number. The client therefore retries until its deadline, also after an unknown outcome.
#[derive(Debug)]
pub struct ControlClient {
    secret: PeerSecret,
    options: LinkOptions,
    seeds: Vec<String>,
    links: RefCell<IndexMap<String, Rc<ControlLink>>>,
    /// Address tried first: the leader, if known.
    preferred: RefCell<Option<String>>,
    /// Selects the seed that watches use, modulo their number; advances when that member does not
    /// confirm.
    watch_seed: Cell<usize>,
}

impl ControlClient {
    /// A client that initially knows the members at these `host:port`. `spread` selects the one
    /// that watches start with; different values distribute clients over the members.
    pub fn new(seeds: &[String], secret: PeerSecret, options: LinkOptions, spread: u64) -> Self {
        let start = if seeds.is_empty() { 0 } else { spread as usize % seeds.len() };
        Self {
            secret,
            options,
            seeds: seeds.to_vec(),
            links: RefCell::new(IndexMap::new()),
            preferred: RefCell::new(None),
            watch_seed: Cell::new(start),
        }
    }

    /// Sends a command, with retries, until a member replies or `timeout` has passed.
    ///
    /// # Errors
    /// The variant says whether a member may have executed the command.
    pub async fn submit(
        &self,
        command: &CatalogCommand,
        timeout: Duration,
    ) -> Result<CatalogReply, SubmitError> {
        let attempt = |link: Rc<ControlLink>| {
            let command = command.clone();
            async move {
                Ok(match link.submit(command).await? {
                    SubmitReply::Applied(reply) => (AttemptOutcome::Answered(reply), false),
                    SubmitReply::NotLeader { leader } => (AttemptOutcome::Redirect(leader), false),
                    SubmitReply::Busy => (AttemptOutcome::RetryLater, false),
                    SubmitReply::Unknown => (AttemptOutcome::RetryLater, true),
                })
            }
        };
        self.retry_until_answered(timeout, attempt).await
    }

    /// Changes the membership of the group by one step.
    ///
    /// # Errors
    /// The variant says whether the change may have been made.
    pub async fn change_members(
        &self,
        call: &MemberCall,
        timeout: Duration,
    ) -> Result<MemberReply, SubmitError> {
        let attempt = |link: Rc<ControlLink>| {
            let call = call.clone();
            async move {
                Ok(match link.change_members(call).await? {
                    MemberReply::NotLeader { leader } => (AttemptOutcome::Redirect(leader), false),
                    reply => (AttemptOutcome::Answered(reply), false),
                })
            }
        };
        self.retry_until_answered(timeout, attempt).await
    }

    /// Describes the group as the first member to answer sees it; the leader is tried first, if
    /// known.
    ///
    /// # Errors
    /// Fails if no member answers.
    pub async fn members(&self, timeout: Duration) -> Result<MembersReply, SubmitError> {
        let attempt = |link: Rc<ControlLink>| async move {
            Ok((AttemptOutcome::Answered(link.members().await?), false))
        };
        self.retry_until_answered(timeout, attempt).await
    }

    /// Committed changes of a profile, oldest first.
    ///
    /// # Errors
    /// Fails if no member answers.
    pub async fn history(
        &self,
        profile: &ProfileName,
        timeout: Duration,
    ) -> Result<Vec<HistoryRecord>, SubmitError> {
        let attempt = |link: Rc<ControlLink>| {
            let profile = profile.clone();
            async move { Ok((AttemptOutcome::Answered(link.history(profile).await?), false)) }
        };
        self.retry_until_answered(timeout, attempt).await
    }

    /// Watches the configuration at one member. While no reply arrives in time, the other members
    /// are asked one after the other, without a wait; the first confirmed reply counts. The next
    /// watch starts with the member that confirmed, or with one that was not asked last.
    ///
    /// # Errors
    /// See [`CallError`].
    pub async fn watch(&self, call: WatchCall) -> Result<WatchReply, CallError> {
        let first_seed = self.watch_seed.get();
        let max_asked = self.seeds.len() * MAX_WATCH_ROUNDS;
        let wait = Duration::from_millis(call.wait_millis);
        let mut overdue_at = Instant::now() + wait + WATCH_REPLY_MARGIN;
        let mut calls = FuturesUnordered::new();
        calls.push(self.watch_at(first_seed, call.clone()));
        let mut asked = 1;
        loop {
            let (seed, reply) = tokio::select! {
                Some(answer) = calls.next() => answer,
                () = tokio::time::sleep_until(overdue_at), if asked < max_asked => {
                    let urgent_call = WatchCall { wait_millis: 0, ..call.clone() };
                    calls.push(self.watch_at(first_seed + asked, urgent_call));
                    asked += 1;
                    overdue_at = Instant::now() + WATCH_REPLY_MARGIN;
                    continue;
                }
            };
            let is_confirmed = matches!(reply, Ok(WatchReply::Confirmed { .. }));
            if is_confirmed || calls.is_empty() {
                self.watch_seed.set(if is_confirmed { seed } else { first_seed + asked });
                return reply;
            }
        }
    }

    /// Watches at the member that `seed` selects, and returns `seed` with the reply.
    async fn watch_at(
        &self,
        seed: usize,
        call: WatchCall,
    ) -> (usize, Result<WatchReply, CallError>) {
        let address = self.seeds.get(seed % self.seeds.len().max(1)).cloned().unwrap_or_default();
        (seed, self.link(&address).watch(call).await)
    }

    async fn retry_until_answered<T, F, Fut>(
        &self,
        timeout: Duration,
        attempt: F,
    ) -> Result<T, SubmitError>
    where
        F: Fn(Rc<ControlLink>) -> Fut,
        Fut: Future<Output = Result<(AttemptOutcome<T>, bool), CallError>>,
    {
        let deadline = Instant::now() + timeout;
        let mut may_have_run = false;
        let mut last_error = String::from("no member answered in time");
        let mut pause = INITIAL_ROUND_PAUSE;
        loop {
            for address in self.attempt_order() {
                let outcome = tokio::time::timeout_at(deadline, attempt(self.link(&address))).await;
                match outcome {
                    Ok(Ok((AttemptOutcome::Answered(reply), _))) => {
                        *self.preferred.borrow_mut() = Some(address);
                        return Ok(reply);
                    }
                    Ok(Ok((AttemptOutcome::Redirect(leader), _))) => {
                        last_error = format!("{address} does not lead");
                        let is_known = leader.is_some();
                        *self.preferred.borrow_mut() = leader;
                        if is_known {
                            break;
                        }
                    }
                    Ok(Ok((AttemptOutcome::RetryLater, unknown))) => {
                        may_have_run |= unknown;
                        last_error = format!("{address} is not ready");
                    }
                    Ok(Err(error)) => {
                        may_have_run |= error.may_have_run();
                        last_error = error.to_string();
                        self.preferred.borrow_mut().take();
                    }
                    Err(_) => return Err(submit_error(true, last_error)),
                }
            }
            if Instant::now() + pause >= deadline {
                return Err(submit_error(may_have_run, last_error));
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(MAX_ROUND_PAUSE);
        }
    }

    /// Addresses in the order of attempts: the preferred one, then the other seeds.
    fn attempt_order(&self) -> Vec<String> {
        let mut order: Vec<String> = self.preferred.borrow().iter().cloned().collect();
        for seed in &self.seeds {
            if !order.contains(seed) {
                order.push(seed.clone());
            }
        }
        order
    }

    fn link(&self, address: &str) -> Rc<ControlLink> {
        let mut links = self.links.borrow_mut();
        let create = || Rc::new(ControlLink::new(address, self.secret, self.options));
        links.entry(address.to_owned()).or_insert_with(create).clone()
    }
}

fn submit_error(may_have_run: bool, detail: String) -> SubmitError {
    if may_have_run { SubmitError::Unknown(detail) } else { SubmitError::NotRun(detail) }
}

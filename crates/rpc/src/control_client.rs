//! Client of the control group: finds a member that can serve a call, and retries until it replies.

use crate::{
    link::{CallError, ControlLink, LinkOptions},
    preface::PeerSecret,
    wire::{MemberCall, MemberReply, MembersReply, SubmitReply, WatchCall, WatchReply},
};
use egretseam_catalog::{CatalogCommand, CatalogReply, HistoryRecord};
use egretseam_proto::ProfileName;
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
    /// Index of the seed that watches use; advances when that member does not confirm.
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

    /// Watches the configuration at one member. Unless it confirms, the next call goes to the next
    /// seed.
    ///
    /// # Errors
    /// See [`CallError`].
    pub async fn watch(&self, call: WatchCall) -> Result<WatchReply, CallError> {
        let seed = self.watch_seed.get();
        let address = self.seeds.get(seed).cloned().unwrap_or_default();
        let reply = self.link(&address).watch(call).await;
        if !matches!(reply, Ok(WatchReply::Confirmed { .. })) {
            self.watch_seed.set((seed + 1) % self.seeds.len().max(1));
        }
        reply
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

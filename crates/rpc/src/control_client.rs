//! Finding the member that can answer, and resending until it has.

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

/// Shortest pause between rounds over all members.
const FIRST_PAUSE: Duration = Duration::from_millis(20);
/// Longest pause between rounds over all members.
const LONGEST_PAUSE: Duration = Duration::from_millis(200);

/// Why a command has no reply.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum SubmitError {
    /// No member took it; nothing was changed.
    #[error("no control member could take the command: {0}")]
    NotRun(String),
    /// A member may have taken it.
    #[error("the command's outcome is unknown: {0}")]
    Unknown(String),
}

/// What one try at one member came to.
enum TryOutcome<T> {
    Answered(T),
    /// Ask this address next.
    Redirect(Option<String>),
    /// Ask again later.
    Later,
}

/// A client of the whole control group.
///
/// Every command of the catalog may be sent again: edits carry their operation, claims and
/// announcements compare with what is there, a grant asked for twice only takes a further number.
/// The client therefore resends freely until its deadline.
#[derive(Debug)]
pub struct ControlClient {
    secret: PeerSecret,
    options: LinkOptions,
    seeds: Vec<String>,
    links: RefCell<IndexMap<String, Rc<ControlLink>>>,
    /// Address tried first: the leader, where known.
    preferred: RefCell<Option<String>>,
    /// Which seed a watch uses; moves on when that member cannot confirm.
    watch_at: Cell<usize>,
}

impl ControlClient {
    /// A client that knows these members' `host:port`. `spread` decides which one watches begin
    /// with, so that many clients spread over the members.
    pub fn new(seeds: &[String], secret: PeerSecret, options: LinkOptions, spread: u64) -> Self {
        let start = if seeds.is_empty() { 0 } else { spread as usize % seeds.len() };
        Self {
            secret,
            options,
            seeds: seeds.to_vec(),
            links: RefCell::new(IndexMap::new()),
            preferred: RefCell::new(None),
            watch_at: Cell::new(start),
        }
    }

    /// Sends a command until it is answered or `limit` has passed.
    ///
    /// # Errors
    /// Says whether a member may have carried the command out.
    pub async fn submit(
        &self,
        command: &CatalogCommand,
        limit: Duration,
    ) -> Result<CatalogReply, SubmitError> {
        let attempt = |link: Rc<ControlLink>| {
            let command = command.clone();
            async move {
                Ok(match link.submit(command).await? {
                    SubmitReply::Applied(reply) => (TryOutcome::Answered(reply), false),
                    SubmitReply::NotLeader { leader } => (TryOutcome::Redirect(leader), false),
                    SubmitReply::Busy => (TryOutcome::Later, false),
                    SubmitReply::Unknown => (TryOutcome::Later, true),
                })
            }
        };
        self.until_answered(limit, attempt).await
    }

    /// Changes the group by one step.
    ///
    /// # Errors
    /// Says whether the change may have been made.
    pub async fn change_members(
        &self,
        call: &MemberCall,
        limit: Duration,
    ) -> Result<MemberReply, SubmitError> {
        let attempt = |link: Rc<ControlLink>| {
            let call = call.clone();
            async move {
                Ok(match link.change_members(call).await? {
                    MemberReply::NotLeader { leader } => (TryOutcome::Redirect(leader), false),
                    reply => (TryOutcome::Answered(reply), false),
                })
            }
        };
        self.until_answered(limit, attempt).await
    }

    /// Describes the group, as its leader sees it where one can be reached.
    ///
    /// # Errors
    /// Fails if no member answers.
    pub async fn members(&self, limit: Duration) -> Result<MembersReply, SubmitError> {
        let attempt = |link: Rc<ControlLink>| async move {
            Ok((TryOutcome::Answered(link.members().await?), false))
        };
        self.until_answered(limit, attempt).await
    }

    /// Accepted changes of a profile.
    ///
    /// # Errors
    /// Fails if no member answers.
    pub async fn history(
        &self,
        profile: &ProfileName,
        limit: Duration,
    ) -> Result<Vec<HistoryRecord>, SubmitError> {
        let attempt = |link: Rc<ControlLink>| {
            let profile = profile.clone();
            async move { Ok((TryOutcome::Answered(link.history(profile).await?), false)) }
        };
        self.until_answered(limit, attempt).await
    }

    /// Watches at one member; on failure the next call goes to the next one.
    ///
    /// # Errors
    /// See [`CallError`].
    pub async fn watch(&self, call: WatchCall) -> Result<WatchReply, CallError> {
        let at = self.watch_at.get();
        let address = self.seeds.get(at).cloned().unwrap_or_default();
        let reply = self.link(&address).watch(call).await;
        if !matches!(reply, Ok(WatchReply::Confirmed { .. })) {
            self.watch_at.set((at + 1) % self.seeds.len().max(1));
        }
        reply
    }

    async fn until_answered<T, F, Fut>(&self, limit: Duration, attempt: F) -> Result<T, SubmitError>
    where
        F: Fn(Rc<ControlLink>) -> Fut,
        Fut: Future<Output = Result<(TryOutcome<T>, bool), CallError>>,
    {
        let deadline = Instant::now() + limit;
        let mut may_have_run = false;
        let mut last = String::from("no member answered in time");
        let mut pause = FIRST_PAUSE;
        loop {
            for address in self.order() {
                let tried = tokio::time::timeout_at(deadline, attempt(self.link(&address))).await;
                match tried {
                    Ok(Ok((TryOutcome::Answered(reply), _))) => {
                        *self.preferred.borrow_mut() = Some(address);
                        return Ok(reply);
                    }
                    Ok(Ok((TryOutcome::Redirect(leader), _))) => {
                        last = format!("{address} does not lead");
                        let named = leader.is_some();
                        *self.preferred.borrow_mut() = leader;
                        if named {
                            break;
                        }
                    }
                    Ok(Ok((TryOutcome::Later, unknown))) => {
                        may_have_run |= unknown;
                        last = format!("{address} is not ready");
                    }
                    Ok(Err(error)) => {
                        may_have_run |= error.may_have_run();
                        last = error.to_string();
                        self.preferred.borrow_mut().take();
                    }
                    Err(_) => return Err(failure(true, last)),
                }
            }
            if Instant::now() + pause >= deadline {
                return Err(failure(may_have_run, last));
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }

    /// The preferred member first, then the others.
    fn order(&self) -> Vec<String> {
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

fn failure(may_have_run: bool, detail: String) -> SubmitError {
    if may_have_run { SubmitError::Unknown(detail) } else { SubmitError::NotRun(detail) }
}

//! State shared by the tasks of one registrar, which all run on one thread.

use crate::{
    dialect::ControlDialect,
    evacuations::EvacuationState,
    mirror::MirrorTable,
    options::RegistrarOptions,
    plans::{self, PlanTable},
};
use egretseam_control::ControlHandler;
use egretseam_delta::DocumentHistory;
use egretseam_http::DaemonMetrics;
use egretseam_quarantine::{EvidenceLog, EvidenceRecord};
use egretseam_rpc::{ControlClient, LinkOptions};
use egretseam_serving::{
    EntryRoster, RosterBatcher, ServingConfig, TargetRegistry, VersionHistory,
};
use prometheus::{IntCounter, IntGauge};
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};
use tokio::{
    sync::{Mutex, watch},
    time::Instant,
};

/// Announcement intervals after which a target without announcements counts as silent: two missed
/// announcements, and a margin of some seconds for late ones.
const SILENCE_LIMIT_INTERVALS: f64 = 2.9;
/// Timeout of a call to a member; short enough that callers do not fail over to another member
/// while the call is in progress.
const MEMBER_CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Timeout for connecting to a member.
const MEMBER_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Metrics of a registrar.
pub(crate) struct RegistrarMetrics {
    pub(crate) announcements: IntCounter,
    pub(crate) stale_announcements: IntCounter,
    pub(crate) refused_isolated: IntCounter,
    pub(crate) refused_malformed: IntCounter,
    pub(crate) changes: IntCounter,
    pub(crate) changes_invalid: IntCounter,
    pub(crate) changes_other_base: IntCounter,
    pub(crate) configs_whole: IntCounter,
    pub(crate) configs_difference: IntCounter,
    pub(crate) changes_unavailable: IntCounter,
    pub(crate) reads_unavailable: IntCounter,
    pub(crate) targets: IntGauge,
    pub(crate) entries: IntGauge,
    pub(crate) config_version: IntGauge,
    pub(crate) evidence_records: IntCounter,
    pub(crate) evidence_dropped: IntCounter,
    pub(crate) permits_granted: IntCounter,
    pub(crate) permits_refused: IntCounter,
}

impl RegistrarMetrics {
    fn new(metrics: &DaemonMetrics) -> Self {
        let counter = |name: &str, help: &str| {
            metrics.counter(&format!("egretseam_registrar_{name}_total"), help)
        };
        let gauge =
            |name: &str, help: &str| metrics.gauge(&format!("egretseam_registrar_{name}"), help);
        Self {
            announcements: counter("announcements", "Announcements of targets taken in."),
            stale_announcements: counter("stale_announcements", "Announcements that were stale."),
            refused_isolated: counter(
                "refused_isolated",
                "Announcements refused because no entry reads this member's feed.",
            ),
            refused_malformed: counter(
                "refused_malformed",
                "Calls refused because they cannot be read or contradict what is known.",
            ),
            changes: counter("changes", "Operators' changes acknowledged."),
            changes_invalid: counter("changes_invalid", "Operators' changes refused for good."),
            changes_other_base: counter(
                "changes_other_base",
                "Changes sent whole because another change came before their difference.",
            ),
            configs_whole: counter("configs_whole", "Configurations sent whole to entries."),
            configs_difference: counter(
                "configs_difference",
                "Configurations sent to entries as the difference from the one they hold.",
            ),
            changes_unavailable: counter(
                "changes_unavailable",
                "Changes without a quorum in time.",
            ),
            reads_unavailable: counter("reads_unavailable", "Reads that could not be confirmed."),
            targets: gauge("targets", "Targets that announce themselves here."),
            entries: gauge("entries", "Entries that read this member's feed."),
            config_version: gauge("config_version", "Version of the configuration applied here."),
            evidence_records: counter(
                "evidence_records",
                "New records of requests that ended targets, or of their being served.",
            ),
            evidence_dropped: counter(
                "evidence_dropped",
                "Such records that were known, or too many at a time.",
            ),
            permits_granted: counter(
                "permits_granted",
                "Permits granted for requests to cold targets without an agent.",
            ),
            permits_refused: counter(
                "permits_refused",
                "Such permits that entries asked for and did not get.",
            ),
        }
    }
}

pub(crate) struct RegistrarShared {
    pub(crate) options: RegistrarOptions,
    pub(crate) dialect: Rc<dyn ControlDialect>,
    pub(crate) control: ControlHandler,
    pub(crate) metrics: RegistrarMetrics,
    /// Random number by which feed readers tell this process from an earlier one.
    pub(crate) incarnation: u64,
    pub(crate) registry: RefCell<TargetRegistry>,
    pub(crate) mirrors: RefCell<MirrorTable>,
    pub(crate) entries: RefCell<EntryRoster>,
    /// The serving configuration that this member has applied.
    pub(crate) applied: RefCell<Option<Rc<ServingConfig>>>,
    /// The same configuration as sent to entries, encoded and packed once for all of them.
    pub(crate) documents: RefCell<DocumentHistory>,
    /// Plans and peer lists for agents.
    pub(crate) plans: RefCell<PlanTable>,
    /// Whether targets may have changed since the peer lists were computed.
    pub(crate) peers_outdated: Cell<bool>,
    /// The published versions of each model, with the time at which the first member learned of it.
    pub(crate) versions: RefCell<VersionHistory>,
    /// Held while the content digest of a version is committed to the log.
    pub(crate) content_lock: Mutex<()>,
    /// `host:port` of the feeds of all known members.
    pub(crate) members: RefCell<Vec<String>>,
    pub(crate) roster_number: Cell<u64>,
    /// Collects changes of the entries before the roster is published.
    pub(crate) roster_batcher: RefCell<RosterBatcher>,
    /// Records of requests that end targets, for all entries.
    pub(crate) evidence: RefCell<EvidenceLog>,
    /// Number of the latest record in [`Self::evidence`].
    pub(crate) evidence_number: watch::Sender<u64>,
    pub(crate) evacuations: EvacuationState,
    /// Incremented by every change that a reader may wait for.
    pub(crate) change_signal: watch::Sender<u64>,
    client: RefCell<Option<(Vec<String>, Rc<ControlClient>)>>,
}

impl RegistrarShared {
    pub(crate) fn new(
        options: RegistrarOptions,
        dialect: Rc<dyn ControlDialect>,
        control: ControlHandler,
        metrics: &DaemonMetrics,
    ) -> Self {
        let silence_limit = options.announce_interval.mul_f64(SILENCE_LIMIT_INTERVALS);
        let members = options.feed_seeds.borrow().clone();
        Self {
            dialect,
            control,
            metrics: RegistrarMetrics::new(metrics),
            incarnation: rand::random(),
            registry: RefCell::new(TargetRegistry::new(silence_limit)),
            mirrors: RefCell::default(),
            entries: RefCell::default(),
            applied: RefCell::new(None),
            documents: RefCell::default(),
            plans: RefCell::default(),
            peers_outdated: Cell::new(false),
            versions: RefCell::default(),
            content_lock: Mutex::default(),
            members: RefCell::new(members),
            roster_number: Cell::new(1),
            roster_batcher: RefCell::default(),
            evidence: RefCell::new(EvidenceLog::new(Instant::now())),
            evidence_number: watch::Sender::new(0),
            evacuations: EvacuationState::new(metrics),
            change_signal: watch::Sender::new(0),
            client: RefCell::new(None),
            options,
        }
    }

    /// Wakes all waiting readers, after recomputing the peer lists if that is due.
    pub(crate) fn publish(&self) {
        let now = Instant::now();
        let peers_due = plans::are_peers_due(self, now);
        if peers_due {
            plans::refresh_peers(self, now);
        }
        self.peers_outdated.set(!peers_due);
        self.change_signal.send_modify(|number| *number += 1);
    }

    /// Takes in what an entry has seen of requests that end targets.
    pub(crate) fn apply_evidence(&self, records: &[EvidenceRecord]) {
        let now = Instant::now();
        let mut evidence = self.evidence.borrow_mut();
        for record in records {
            let added = evidence.add(record, now);
            let metrics = &self.metrics;
            if added { metrics.evidence_records.inc() } else { metrics.evidence_dropped.inc() }
        }
        let last_number = evidence.last_number();
        drop(evidence);
        if *self.evidence_number.borrow() != last_number {
            self.evidence_number.send_replace(last_number);
        }
    }

    /// Publishes a change of the roster.
    pub(crate) fn publish_roster(&self) {
        self.roster_number.set(self.roster_number.get() + 1);
        self.publish();
    }

    /// A client of all members of the group that this member knows, with its own listener first.
    pub(crate) fn client(&self) -> Rc<ControlClient> {
        let own_address = self.options.control.peer_address.clone();
        let mut addresses = vec![own_address];
        let status = self.control.status();
        let members = status.iter().flat_map(|status| status.membership.members());
        addresses.extend(members.map(|member| member.address.clone()));
        let mut seen = indexmap::IndexSet::new();
        addresses.retain(|address| seen.insert(address.clone()));
        let mut cached = self.client.borrow_mut();
        if let Some((cached_addresses, client)) = cached.as_ref()
            && *cached_addresses == addresses
        {
            return client.clone();
        }
        let options = LinkOptions {
            connect_timeout: MEMBER_CONNECT_TIMEOUT,
            call_timeout: MEMBER_CALL_TIMEOUT,
            ..LinkOptions::default()
        };
        let secret = self.options.control.secret;
        let client = Rc::new(ControlClient::new(&addresses, secret, options, 0));
        *cached = Some((addresses, client.clone()));
        client
    }
}

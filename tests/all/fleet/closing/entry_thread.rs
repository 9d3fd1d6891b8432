//! An entry on its own thread, whose sockets close when it has stopped, as those of a process do.

use super::{
    super::bed::{FleetBed, WAIT_TIMEOUT, dialects},
    callers::pause_up_to,
};
use egretseam_config::FleetSettings;
use egretseam_daemon::FleetRuntime;
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::JoinHandle,
    time::{Duration, Instant},
};

/// How often the state of the entry is looked at.
const POLL: Duration = Duration::from_millis(5);

pub(super) struct EntryThread {
    pub(super) address: SocketAddr,
    version: Arc<AtomicU64>,
    stopping: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl EntryThread {
    /// Starts an entry of `bed` that knows the target `target`. If it stalls, its thread is blocked
    /// now and then, as on a busy machine.
    pub(super) async fn start(bed: &mut FleetBed, target: &str, stalls: bool) -> Self {
        let (address, settings) = bed.further_entry("entry-thread");
        let (version, stopping) = (Arc::<AtomicU64>::default(), Arc::<AtomicBool>::default());
        let started = Self {
            address,
            version: version.clone(),
            stopping: stopping.clone(),
            thread: {
                let target = target.to_owned();
                std::thread::spawn(move || {
                    let run = serve(settings, target, version, stopping, stalls);
                    actix_rt::System::new().block_on(run);
                })
            },
        };
        bed.wait_until(|| started.version() > 0).await;
        started
    }

    /// Version of the configuration in force; 0 until the target is known.
    pub(super) fn version(&self) -> u64 {
        self.version.load(Ordering::SeqCst)
    }

    pub(super) fn begin_stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
    }

    /// Waits until the entry has stopped and its sockets are closed.
    pub(super) async fn join(self) {
        self.begin_stop();
        let give_up_at = Instant::now() + WAIT_TIMEOUT;
        while !self.thread.is_finished() {
            assert!(Instant::now() < give_up_at, "the entry stops in time");
            tokio::time::sleep(POLL).await;
        }
        self.thread.join().expect("the entry ends in peace");
    }
}

async fn serve(
    settings: FleetSettings,
    target: String,
    version: Arc<AtomicU64>,
    stopping: Arc<AtomicBool>,
    stalls: bool,
) {
    let entry = FleetRuntime::start(settings, &dialects()).expect("the entry starts");
    if stalls {
        actix_rt::spawn(stall());
    }
    while !stopping.load(Ordering::SeqCst) {
        let known = if entry.is_target_ready(&target) { entry.config_version() } else { 0 };
        version.store(known, Ordering::SeqCst);
        tokio::time::sleep(POLL).await;
    }
    entry.stop().await;
}

async fn stall() {
    const GAP: Duration = Duration::from_millis(40);
    const STALL: Duration = Duration::from_millis(20);
    loop {
        tokio::time::sleep(GAP.mul_f64(rand::random())).await;
        pause_up_to(STALL);
    }
}

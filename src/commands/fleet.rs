//! `egretseam fleet`: one process of a fleet without gates, placed by a platform.

use anyhow::Context;
use clap::Args;
use egretseam_config::FleetSettings;
use egretseam_daemon::{FleetDialects, FleetRuntime};
use egretseam_platform::{PlatformCallers, PlatformControl, PlatformEngine, SETTINGS_VARIABLE};
use std::{
    path::{Path, PathBuf},
    rc::Rc,
    time::Duration,
};
use tokio::signal::unix::{SignalKind, signal};

/// How often the settings are looked at: they may change without a signal.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(1);

/// Run the roles whose sections the settings hold, as a platform placed them, until SIGTERM.
#[derive(Args, Debug)]
pub(super) struct FleetCommand {
    /// Settings, see `platform/settings.json`.
    #[arg(long, env = SETTINGS_VARIABLE)]
    settings: PathBuf,
}

impl FleetCommand {
    pub(super) fn execute(self) -> anyhow::Result<()> {
        let settings = read(&self.settings)?;
        start_log();
        actix_rt::System::new().block_on(run(self.settings, settings))
    }
}

fn read(path: &Path) -> anyhow::Result<FleetSettings> {
    let shown = path.display();
    let text = std::fs::read_to_string(path).with_context(|| format!("read {shown}"))?;
    FleetSettings::parse(&text).with_context(|| format!("settings {shown}"))
}

fn start_log() {
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_writer(std::io::stdout)
        .init();
}

async fn run(path: PathBuf, settings: FleetSettings) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let dialects = FleetDialects {
        callers: Rc::new(PlatformCallers),
        control: Rc::new(PlatformControl),
        engine: Rc::new(PlatformEngine),
    };
    tracing::info!(instance = %settings.instance, zone = %settings.zone, "starting");
    let mut runtime = FleetRuntime::start(settings, &dialects)?;
    tracing::info!("started");
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => tracing::info!("told that the settings changed"),
            () = tokio::time::sleep(SETTINGS_INTERVAL) => {}
        }
        match read(&path) {
            Ok(settings) => runtime.reload(settings),
            Err(error) => {
                tracing::warn!(error = format!("{error:#}"), "changed settings cannot be used")
            }
        }
    }
    tracing::info!("stopping");
    runtime.stop().await;
    tracing::info!("stopped");
    Ok(())
}

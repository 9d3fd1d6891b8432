//! `egretseam fleet`: one process of a fleet without gates, placed by a platform.

use anyhow::Context;
use clap::Args;
use egretseam_config::FleetSettings;
use egretseam_daemon::{FleetDialects, FleetRuntime, LogRateLimit};
use egretseam_platform::{PlatformCallers, PlatformControl, PlatformEngine, SETTINGS_VARIABLE};
use std::{
    path::{Path, PathBuf},
    rc::Rc,
    time::Duration,
};
use tokio::signal::unix::{SignalKind, signal};
use tracing_appender::non_blocking::NonBlocking;
use tracing_subscriber::{filter::LevelFilter, layer::SubscriberExt, util::SubscriberInitExt};

/// How often lines that the budget left out are counted in the log.
const LEFT_OUT_INTERVAL: Duration = Duration::from_secs(1);
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
        let (writer, _flush) = tracing_appender::non_blocking(std::io::stdout());
        let budget = start_log(writer);
        actix_rt::System::new().block_on(run(self.settings, settings, budget))
    }
}

fn read(path: &Path) -> anyhow::Result<FleetSettings> {
    let shown = path.display();
    let text = std::fs::read_to_string(path).with_context(|| format!("read {shown}"))?;
    FleetSettings::parse(&text).with_context(|| format!("settings {shown}"))
}

/// Sends log lines to standard output, one JSON object a line. A reader that falls behind costs
/// lines, never time.
fn start_log(writer: NonBlocking) -> LogRateLimit {
    let budget = LogRateLimit::default();
    let lines = tracing_subscriber::fmt::layer()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_target(false)
        .with_writer(writer);
    tracing_subscriber::registry().with(LevelFilter::INFO).with(budget.clone()).with(lines).init();
    budget
}

/// Says what the budget left out.
async fn report_left_out(budget: LogRateLimit) {
    loop {
        tokio::time::sleep(LEFT_OUT_INTERVAL).await;
        for (kind, lines) in budget.take_dropped() {
            tracing::warn!(kind, lines, "log lines were left out");
        }
    }
}

async fn run(path: PathBuf, settings: FleetSettings, budget: LogRateLimit) -> anyhow::Result<()> {
    actix_rt::spawn(report_left_out(budget));
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

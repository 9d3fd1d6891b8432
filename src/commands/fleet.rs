//! `egretseam fleet`: one process of a fleet whose agents run no gate, placed by a platform.

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

/// Interval at which the numbers of dropped log lines are logged.
const DROPPED_LINES_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which the settings file is read again: it may change without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Run the roles that have a section in the settings, as placed by a platform, until SIGTERM or
/// SIGINT.
#[derive(Args, Debug)]
pub(super) struct FleetCommand {
    /// Settings file, see `platform/settings.json`.
    #[arg(long, env = SETTINGS_VARIABLE)]
    settings: PathBuf,
}

impl FleetCommand {
    pub(super) fn execute(self) -> anyhow::Result<()> {
        let settings = read_settings(&self.settings)?;
        let (writer, _flush) = tracing_appender::non_blocking(std::io::stdout());
        let rate_limit = init_log(writer);
        actix_rt::System::new().block_on(run(self.settings, settings, rate_limit))
    }
}

fn read_settings(path: &Path) -> anyhow::Result<FleetSettings> {
    let shown = path.display();
    let text = std::fs::read_to_string(path).with_context(|| format!("read {shown}"))?;
    FleetSettings::parse(&text).with_context(|| format!("invalid settings in {shown}"))
}

/// Writes log events to standard output, one JSON object per line. If the reader of standard output
/// falls behind, lines are lost but no thread blocks.
fn init_log(writer: NonBlocking) -> LogRateLimit {
    let rate_limit = LogRateLimit::default();
    let lines = tracing_subscriber::fmt::layer()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_target(false)
        .with_writer(writer);
    tracing_subscriber::registry()
        .with(LevelFilter::INFO)
        .with(rate_limit.clone())
        .with(lines)
        .init();
    rate_limit
}

/// Logs how many lines the rate limit dropped, by call site.
async fn log_dropped_lines(rate_limit: LogRateLimit) {
    loop {
        tokio::time::sleep(DROPPED_LINES_INTERVAL).await;
        for (callsite, lines) in rate_limit.take_dropped() {
            tracing::warn!(kind = callsite, lines, "log lines dropped by the rate limit");
        }
    }
}

async fn run(
    path: PathBuf,
    settings: FleetSettings,
    rate_limit: LogRateLimit,
) -> anyhow::Result<()> {
    actix_rt::spawn(log_dropped_lines(rate_limit));
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
            _ = hangup.recv() => tracing::info!("received SIGHUP, reading the settings again"),
            () = tokio::time::sleep(SETTINGS_POLL_INTERVAL) => {}
        }
        match read_settings(&path) {
            Ok(settings) => runtime.reload(settings),
            Err(error) => {
                tracing::warn!(
                    error = format!("{error:#}"),
                    "invalid or unreadable settings, keeping those in force"
                )
            }
        }
    }
    tracing::info!("stopping");
    runtime.stop().await;
    tracing::info!("stopped");
    Ok(())
}

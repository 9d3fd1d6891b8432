//! `egretseam serve`: runs one process with the roles that its settings configure.

use anyhow::Context;
use clap::Args;
use egretseam_config::{DaemonSettings, LogFormat, LogSettings};
use egretseam_daemon::{DaemonListeners, DaemonRuntime, DaemonTokens};
use std::path::PathBuf;
use tokio::signal::unix::{SignalKind, signal};
use tracing_subscriber::EnvFilter;

/// Run the roles that have a section in the settings, until SIGTERM or SIGINT.
#[derive(Args, Debug)]
pub(super) struct ServeCommand {
    /// Settings file, see `examples/*.json`.
    #[arg(long)]
    config: PathBuf,
}

impl ServeCommand {
    pub(super) fn execute(self) -> anyhow::Result<()> {
        let shown = self.config.display();
        let text =
            std::fs::read_to_string(&self.config).with_context(|| format!("read {shown}"))?;
        let settings = DaemonSettings::parse(&text)?;
        init_log(&settings.log)?;
        let tokens = DaemonTokens::read(&settings)?;
        let listeners = DaemonListeners::bind(&settings)?;
        actix_rt::System::new().block_on(run(settings, tokens, listeners))
    }
}

async fn run(
    settings: DaemonSettings,
    tokens: DaemonTokens,
    listeners: DaemonListeners,
) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let runtime = DaemonRuntime::start(&settings, &tokens, listeners)?;
    tracing::info!(instance = %settings.instance, zone = %settings.zone, "serving");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    tracing::info!("stopping; requests in progress finish first");
    runtime.stop().await;
    tracing::info!("stopped");
    Ok(())
}

/// Initialises logging to standard error.
pub(super) fn init_log(settings: &LogSettings) -> anyhow::Result<()> {
    let filter = EnvFilter::try_new(&settings.filter)
        .with_context(|| format!("$.log.filter: {:?}", settings.filter))?;
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    match settings.format {
        LogFormat::Human => builder.init(),
        LogFormat::Json => builder.json().init(),
    }
    Ok(())
}

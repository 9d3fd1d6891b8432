//! A process of ours on a thread of its own, for `egretseam local`, tests and measurements.

use crate::runtime::{DaemonListeners, DaemonRuntime, DaemonTokens};
use anyhow::Context;
use egretseam_config::DaemonSettings;
use std::{
    sync::mpsc as std_mpsc,
    thread::{self, JoinHandle},
};
use tokio::sync::oneshot;

/// How a daemon's thread is to end.
enum StopKind {
    Graceful,
    Abrupt,
}

/// A daemon on its own thread.
pub struct DaemonThread {
    stop: Option<oneshot::Sender<StopKind>>,
    thread: Option<JoinHandle<()>>,
}

impl DaemonThread {
    /// Starts a daemon and waits until its roles have started.
    ///
    /// # Errors
    /// As [`DaemonRuntime::start`].
    pub fn spawn(
        settings: DaemonSettings,
        tokens: DaemonTokens,
        listeners: DaemonListeners,
    ) -> anyhow::Result<Self> {
        let (stop, stopped) = oneshot::channel();
        let (started, start) = std_mpsc::channel();
        let name = settings.instance.to_string();
        let body = move || {
            actix_rt::System::new().block_on(async move {
                match DaemonRuntime::start(&settings, &tokens, listeners) {
                    Ok(runtime) => {
                        started.send(Ok(())).ok();
                        match stopped.await {
                            Ok(StopKind::Graceful) => runtime.stop().await,
                            Ok(StopKind::Abrupt) | Err(_) => drop(runtime),
                        }
                    }
                    Err(error) => {
                        started.send(Err(error)).ok();
                    }
                }
            });
        };
        let thread = thread::Builder::new().name(name).spawn(body).context("start a thread")?;
        start.recv().context("the daemon's thread ended early")??;
        Ok(Self { stop: Some(stop), thread: Some(thread) })
    }

    /// Stops gracefully and waits for the end.
    pub fn stop(mut self) {
        self.end(StopKind::Graceful);
    }

    /// Asks for a graceful stop without waiting; the returned thread ends with it.
    pub fn begin_stop(mut self) -> Option<JoinHandle<()>> {
        if let Some(stop) = self.stop.take() {
            stop.send(StopKind::Graceful).ok();
        }
        self.thread.take()
    }

    /// Stops at once, as a crash would: sockets close, nothing is finished.
    pub fn kill(mut self) {
        self.end(StopKind::Abrupt);
    }

    fn end(&mut self, kind: StopKind) {
        if let Some(stop) = self.stop.take() {
            stop.send(kind).ok();
        }
        if let Some(thread) = self.thread.take() {
            thread.join().ok();
        }
    }
}

impl Drop for DaemonThread {
    fn drop(&mut self) {
        self.end(StopKind::Abrupt);
    }
}

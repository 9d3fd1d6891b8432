//! A daemon on its own thread, for `egretseam local`, tests and benchmarks.

use crate::runtime::{DaemonListeners, DaemonRuntime, DaemonTokens};
use anyhow::Context;
use egretseam_config::DaemonSettings;
use std::{
    sync::mpsc as std_mpsc,
    thread::{self, JoinHandle},
};
use tokio::sync::oneshot;

/// How a daemon's thread ends.
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
        let (stop, stop_request) = oneshot::channel();
        let (start_sender, start_result) = std_mpsc::channel();
        let name = settings.instance.to_string();
        let body = move || {
            actix_rt::System::new().block_on(async move {
                match DaemonRuntime::start(&settings, &tokens, listeners) {
                    Ok(runtime) => {
                        start_sender.send(Ok(())).ok();
                        match stop_request.await {
                            Ok(StopKind::Graceful) => runtime.stop().await,
                            Ok(StopKind::Abrupt) | Err(_) => drop(runtime),
                        }
                    }
                    Err(error) => {
                        start_sender.send(Err(error)).ok();
                    }
                }
            });
        };
        let thread = thread::Builder::new().name(name).spawn(body).context("start a thread")?;
        start_result.recv().context("the daemon's thread ended before its roles started")??;
        Ok(Self { stop: Some(stop), thread: Some(thread) })
    }

    /// Stops gracefully and waits until the thread has ended.
    pub fn stop(mut self) {
        self.end(StopKind::Graceful);
    }

    /// Requests a graceful stop without waiting; the returned thread ends when the daemon has
    /// stopped.
    pub fn begin_stop(mut self) -> Option<JoinHandle<()>> {
        if let Some(stop) = self.stop.take() {
            stop.send(StopKind::Graceful).ok();
        }
        self.thread.take()
    }

    /// Stops at once, as in a crash: sockets close and requests in progress are aborted.
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

//! A thread with a runtime of its own for whatever a closure starts there.

use anyhow::Context;
use std::{
    sync::mpsc,
    thread::{self, JoinHandle},
};
use tokio::sync::oneshot;

/// A thread that keeps what its closure returned until it is dropped.
pub struct SystemThread {
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl SystemThread {
    /// Runs `start` on a new thread and keeps its result alive there.
    ///
    /// # Errors
    /// Returns what `start` returned.
    pub fn spawn<T, F>(name: &str, start: F) -> anyhow::Result<Self>
    where
        F: FnOnce() -> anyhow::Result<T> + Send + 'static,
        T: 'static,
    {
        let (stop, stopped) = oneshot::channel::<()>();
        let (started, start_result) = mpsc::channel();
        let body = move || {
            actix_rt::System::new().block_on(async move {
                match start() {
                    Ok(kept) => {
                        started.send(Ok(())).ok();
                        stopped.await.ok();
                        drop(kept);
                    }
                    Err(error) => {
                        started.send(Err(error)).ok();
                    }
                }
            });
        };
        let thread = thread::Builder::new().name(name.to_owned()).spawn(body)?;
        start_result.recv().context("the thread ended early")??;
        Ok(Self { stop: Some(stop), thread: Some(thread) })
    }
}

impl Drop for SystemThread {
    fn drop(&mut self) {
        if let Some(stop) = self.stop.take() {
            stop.send(()).ok();
        }
        if let Some(thread) = self.thread.take() {
            thread.join().ok();
        }
    }
}

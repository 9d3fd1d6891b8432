//! A thread with its own actix runtime, which runs a fake or another server until it is dropped.

use anyhow::Context;
use std::{
    sync::mpsc,
    thread::{self, JoinHandle},
};
use tokio::sync::oneshot;

/// A thread that owns the value its start closure returned. Dropping this handle drops the value
/// on that thread and joins the thread.
pub struct SystemThread {
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl SystemThread {
    /// Runs `start` on a new thread, keeps its result alive there, and waits until `start` returns.
    ///
    /// # Errors
    /// Returns the error of `start`, or fails if the thread cannot be spawned or panics in `start`.
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
                    Ok(value) => {
                        started.send(Ok(())).ok();
                        stopped.await.ok();
                        drop(value);
                    }
                    Err(error) => {
                        started.send(Err(error)).ok();
                    }
                }
            });
        };
        let thread = thread::Builder::new().name(name.to_owned()).spawn(body)?;
        start_result.recv().context("thread ended before its start closure returned")??;
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

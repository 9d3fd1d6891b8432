//! Starting and stopping a registrar.

use crate::{
    dialect::ControlDialect,
    feed::FeedHandler,
    front, loads, mirror,
    options::{RegistrarListeners, RegistrarOptions},
    publish,
    shared::RegistrarShared,
};
use egretseam_control::ControlRuntime;
use egretseam_h1::spawn_accept;
use egretseam_http::DaemonMetrics;
use egretseam_rpc::{RpcOptions, RpcServer, serve_feed};
use std::{io, rc::Rc};
use thiserror::Error;

/// Why a registrar could not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The control member could not start.
    #[error(transparent)]
    Control(#[from] egretseam_control::StartError),
    /// A listener cannot be used.
    #[error("listener: {0}")]
    Listener(#[from] io::Error),
}

/// A running registrar.
pub struct RegistrarRuntime {
    control: ControlRuntime,
    _feeds: RpcServer,
    _shared: Rc<RegistrarShared>,
}

impl RegistrarRuntime {
    /// Starts serving on the current thread.
    ///
    /// # Errors
    /// See [`StartError`].
    pub fn start(
        options: RegistrarOptions,
        dialect: Rc<dyn ControlDialect>,
        listeners: RegistrarListeners,
        metrics: &DaemonMetrics,
    ) -> Result<Self, StartError> {
        let control = ControlRuntime::start(options.control.clone(), listeners.peers, metrics)?;
        let secret = options.control.secret;
        let handler = control.handler().clone();
        let shared = Rc::new(RegistrarShared::new(options, dialect, handler, metrics));
        let feed = FeedHandler::new(shared.clone());
        let feeds = serve_feed(listeners.feeds, secret, RpcOptions::default(), feed)?;
        let serving = Rc::downgrade(&shared);
        spawn_accept(listeners.http, move |stream| Some(front::serve(serving.upgrade()?, stream)))?;
        actix_rt::spawn(publish::watch_log(Rc::downgrade(&shared)));
        actix_rt::spawn(publish::expire(Rc::downgrade(&shared)));
        actix_rt::spawn(mirror::mirror_all(Rc::downgrade(&shared)));
        listeners.loads.set_nonblocking(true)?;
        let datagrams = tokio::net::UdpSocket::from_std(listeners.loads)?;
        actix_rt::spawn(publish::pace_roster(Rc::downgrade(&shared)));
        actix_rt::spawn(loads::pass_on(Rc::downgrade(&shared), datagrams));
        Ok(Self { control, _feeds: feeds, _shared: shared })
    }

    /// Hands leadership over and stops. What was acknowledged is on disk.
    pub async fn stop(self) {
        self.control.stop().await;
    }
}

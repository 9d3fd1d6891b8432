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
    /// A listener or socket could not be set up.
    #[error("failed to set up a listener or socket: {0}")]
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
        let weak_shared = Rc::downgrade(&shared);
        spawn_accept(listeners.http, move |stream| {
            Some(front::serve(weak_shared.upgrade()?, stream))
        })?;
        actix_rt::spawn(publish::watch_log(Rc::downgrade(&shared)));
        actix_rt::spawn(publish::expire(Rc::downgrade(&shared)));
        actix_rt::spawn(mirror::mirror_all(Rc::downgrade(&shared)));
        listeners.loads.set_nonblocking(true)?;
        let load_socket = tokio::net::UdpSocket::from_std(listeners.loads)?;
        actix_rt::spawn(publish::publish_roster_batches(Rc::downgrade(&shared)));
        actix_rt::spawn(loads::forward(Rc::downgrade(&shared), load_socket));
        Ok(Self { control, _feeds: feeds, _shared: shared })
    }

    /// Transfers leadership and stops. Acknowledged changes are on disk.
    pub async fn stop(self) {
        self.control.stop().await;
    }
}

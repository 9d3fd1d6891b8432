//! Starting an agent.

use crate::{
    chunks::ChunkHandler,
    dialect::EngineDialect,
    engine, follow, load_check, loads, older,
    options::{StagerListeners, StagerOptions},
    permits, probe, reconcile,
    shared::StagerShared,
    switch,
};
use egretseam_http::DaemonMetrics;
use egretseam_rpc::{RpcOptions, RpcServer, serve_chunks};
use std::{io, rc::Rc};
use thiserror::Error;

/// Why an agent could not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// A listener cannot be used.
    #[error("listener: {0}")]
    Listener(#[from] io::Error),
}

/// A running agent. It keeps no state that would be lost when it stops.
pub struct StagerRuntime {
    _shared: Rc<StagerShared>,
    _chunks: RpcServer,
}

impl StagerRuntime {
    /// Starts on the current thread.
    ///
    /// # Errors
    /// See [`StartError`].
    pub fn start(
        options: StagerOptions,
        dialect: Rc<dyn EngineDialect>,
        listeners: StagerListeners,
        metrics: &DaemonMetrics,
    ) -> Result<Self, StartError> {
        let secret = options.secret;
        let shared = Rc::new(StagerShared::new(options, dialect, metrics));
        let handler = ChunkHandler::new(shared.clone());
        let chunks = serve_chunks(listeners.chunks, secret, RpcOptions::default(), handler)?;
        actix_rt::spawn(engine::watch(Rc::downgrade(&shared)));
        actix_rt::spawn(follow::follow(Rc::downgrade(&shared)));
        actix_rt::spawn(loads::send(Rc::downgrade(&shared)));
        if let Some(socket) = listeners.permits {
            actix_rt::spawn(permits::serve(Rc::downgrade(&shared), socket));
        }
        actix_rt::spawn(probe::run(Rc::downgrade(&shared)));
        actix_rt::spawn(older::watch(Rc::downgrade(&shared)));
        actix_rt::spawn(load_check::run(Rc::downgrade(&shared)));
        actix_rt::spawn(switch::resend_outstanding_orders(Rc::downgrade(&shared)));
        actix_rt::spawn(reconcile::run(Rc::downgrade(&shared)));
        Ok(Self { _shared: shared, _chunks: chunks })
    }
}

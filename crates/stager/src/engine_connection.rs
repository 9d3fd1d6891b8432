//! The connection to the engine for staging and orders.

use crate::{dialect::EngineRequest, shared::request};
use egretseam_h1::{CallResponse, ExchangeError, PersistentClient};
use std::time::Duration;
use tokio::sync::MutexGuard;

/// Timeout of a call to the engine, which runs on the same machine.
pub(crate) const ENGINE_CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Timeout of the reply to an order, which the engine sends before it loads anything. While the
/// agent waits, the engine serves no requests, and resending the order does no harm.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);

/// Exclusive use of the connection for staging and orders.
pub(crate) struct EngineConnection<'a> {
    client: MutexGuard<'a, PersistentClient>,
}

impl<'a> EngineConnection<'a> {
    pub(crate) fn new(client: MutexGuard<'a, PersistentClient>) -> Self {
        Self { client }
    }

    pub(crate) async fn call(
        &mut self,
        call: &EngineRequest,
    ) -> Result<CallResponse, ExchangeError> {
        self.client.call(&request(call, ENGINE_CALL_TIMEOUT)).await
    }

    /// Sends an order.
    pub(crate) async fn order(
        &mut self,
        call: &EngineRequest,
    ) -> Result<CallResponse, ExchangeError> {
        self.client.call(&request(call, ORDER_TIMEOUT)).await
    }

    /// Sends an order on the connection that the last call left open; fails if there is none. The
    /// order can only reach the incarnation of the engine that answered that call.
    pub(crate) async fn order_on_same_connection(
        &mut self,
        call: &EngineRequest,
    ) -> Result<CallResponse, ExchangeError> {
        self.client.call_reused(&request(call, ORDER_TIMEOUT)).await
    }
}

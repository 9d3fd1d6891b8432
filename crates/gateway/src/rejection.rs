//! Reads the rest of a rejection, so that its connection can carry another request.

use crate::shared::GatewayShared;
use egretseam_h1::{BodyReader, HttpConnection, ReadError};
use egretseam_serving::TargetId;
use std::{rc::Rc, time::Duration};

/// Largest body of a rejection that is read and discarded so that its connection can be reused.
const MAX_REJECTION_BODY_BYTES: usize = 16 * 1024;
/// How long the rest of a rejection is waited for. A new connection costs less than one that is held
/// open longer.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Reads the rest of a response that states that a request did not run, beside the request's next
/// attempt, and returns its connection to the pool. A rest that is too large or comes too late resets
/// the connection, and one that is too large or malformed counts as a failure of the target.
pub(crate) fn drain(
    shared: &Rc<GatewayShared>,
    target: &TargetId,
    mut connection: HttpConnection,
    reader: BodyReader,
    idle_timeout: Option<Duration>,
) {
    let (shared, target) = (shared.clone(), target.clone());
    actix_rt::spawn(async move {
        let body = connection.read_body(reader, MAX_REJECTION_BODY_BYTES);
        match tokio::time::timeout(DRAIN_TIMEOUT, body).await {
            Ok(Ok(_)) => return shared.keep_connection(&target, connection, idle_timeout),
            Ok(Err(ReadError::BodyTooLarge | ReadError::Head(_))) => {
                shared.record_unrequested(&target, "rejection");
            }
            Ok(Err(_)) | Err(_) => {}
        }
        connection.abort();
    });
}

//! HTTP/1.1 client and server connections that expose the state of the underlying TCP connection.
//!
//! An entry needs information that HTTP libraries hide: whether any byte of a request was sent,
//! whether a response without a length ended by a close or by a reset, whether bytes follow a
//! complete response, and whether the caller is still connected while it waits for its response.
//! Heads are parsed by `httparse`. Framing follows RFC 9112 strictly, because a message whose end
//! is ambiguous can smuggle another one.
//!
//! [`HttpConnection`] reads and writes messages; [`RequestHead`] and [`ResponseHead`] are parsed
//! heads whose header fields share one buffer; [`BodyReader`] reads a body incrementally;
//! [`ResponseCheck`] checks responses that another reader decodes;
//! [`HeadWriter`] encodes heads; [`exchange`] makes one call on a new connection;
//! [`PersistentClient`] reuses its connection between calls; [`spawn_accept`] and
//! [`spawn_accept_until`] accept connections on a listener.

mod accept;
mod beyond;
mod body;
mod chunk_line;
mod connection;
mod exchange;
mod head;
mod response_check;
mod writer;

pub use crate::{
    accept::{spawn_accept, spawn_accept_until, waiting_connections},
    body::{BodyFraming, BodyReader},
    connection::{
        ConnectionOptions, HttpConnection, MAX_PEEKED_BYTES, ReadError, bind_listener,
        has_unread_bytes,
    },
    exchange::{CallRequest, CallResponse, ExchangeError, PersistentClient, exchange},
    head::{HeadError, HeaderField, HeaderList, RequestHead, ResponseHead},
    response_check::ResponseCheck,
    writer::{HeadWriter, chunk_frame, last_chunk},
};

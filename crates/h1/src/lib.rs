//! HTTP/1.1 messages on a connection, for the paths where what happened to the bytes matters.
//!
//! An entry must know things that HTTP libraries hide: whether any byte of a request has left,
//! whether an answer without a length ended by a close or by a reset, whether bytes follow a
//! complete answer, and whether the caller is still there while its answer is awaited. This crate
//! shows them. Heads are parsed by `httparse`; framing follows RFC 9112 strictly, because every
//! message whose end could be read in two ways can smuggle another one.
//!
//! [`HttpConnection`] reads and writes; [`RequestHead`] and [`ResponseHead`] are parsed heads whose
//! headers share one buffer; [`BodyReader`] hands out a body piece by piece; [`HeadWriter`] builds
//! heads; [`exchange`] makes one call on a connection of its own; [`spawn_accept`] serves a
//! listener.

mod accept;
mod body;
mod connection;
mod exchange;
mod head;
mod writer;

pub use crate::{
    accept::spawn_accept,
    body::{BodyFraming, BodyReader},
    connection::{ConnectionOptions, HttpConnection, ReadError, bind_listener},
    exchange::{CallRequest, CallResponse, ExchangeError, PersistentClient, exchange},
    head::{HeadError, HeaderField, HeaderList, RequestHead, ResponseHead},
    writer::{HeadWriter, chunk_frame, last_chunk},
};

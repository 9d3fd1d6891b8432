//! HTTP server and client support shared by the daemons: an accept loop on the daemon's own thread,
//! limits on bodies and connections, problem documents (RFC 9457) with the verdict, token checks in
//! constant time, and the metrics registry behind `/metrics`.
//!
//! HTTP itself is implemented by `actix-http` and `awc`. `actix-server` is not used: it moves
//! connections to worker threads, whereas a daemon is a single thread that owns its tables without
//! locks.

mod body;
mod client;
mod connection;
mod events;
mod headers;
mod metrics;
mod reply;
mod server;
mod token;

pub use crate::{
    body::{read_body, read_json},
    client::{ClientOptions, check_framing, classify_send_error, http_client},
    events::EventScanner,
    headers::{forwarded_headers, header_text},
    metrics::DaemonMetrics,
    reply::{failure_from_headers, failure_reply, json_reply, text_reply},
    server::{HttpHandler, HttpReply, ServerHandle, ServerOptions, spawn_server},
    token::{SecretToken, TokenError, bearer_token},
};

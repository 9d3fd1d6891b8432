//! The first bytes of a connection, which prove knowledge of the shared peer token.

use std::{fmt, io, time::Duration};
use subtle::ConstantTimeEq;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Key derivation context: separates the preface from other values derived from the token.
const PREFACE_CONTEXT: &str = "egretseam peer connection preface v1";
/// Length of the preface in bytes.
const PREFACE_BYTES: usize = 32;
/// Timeout for the connecting process to send the preface.
const PREFACE_TIMEOUT: Duration = Duration::from_secs(5);

/// Value derived from the peer token with which every connection between peers starts.
///
/// It keeps out unknown and misdirected processes. It does not encrypt traffic: run the peer
/// listeners on a private network or in a tunnel.
#[derive(Clone, Copy)]
pub struct PeerSecret([u8; PREFACE_BYTES]);

impl PeerSecret {
    /// Derives the preface from a token.
    pub fn derive(token: &str) -> Self {
        Self(blake3::derive_key(PREFACE_CONTEXT, token.as_bytes()))
    }

    /// The token that peers present for chunks over HTTP. It is derived from the preface, so that
    /// it reveals neither the preface nor the peer token.
    pub fn chunk_token(&self) -> String {
        const CONTEXT: &str = "egretseam chunk token v1";
        blake3::Hash::from(blake3::derive_key(CONTEXT, &self.0)).to_hex().to_string()
    }

    /// The tag of datagrams between peers. It keeps out misdirected datagrams. Anyone who can read
    /// the network can copy it, as with the preface.
    pub(crate) fn datagram_tag(&self) -> u64 {
        const CONTEXT: &str = "egretseam datagram tag v1";
        let key = blake3::derive_key(CONTEXT, &self.0);
        u64::from_le_bytes(key[..8].try_into().expect("eight bytes"))
    }

    pub(crate) async fn send_preface(&self, stream: &mut TcpStream) -> io::Result<()> {
        stream.write_all(&self.0).await
    }

    /// Reads and verifies the other end's preface.
    pub(crate) async fn verify_preface(&self, stream: &mut TcpStream) -> io::Result<()> {
        let mut received = [0; PREFACE_BYTES];
        let read = stream.read_exact(&mut received);
        tokio::time::timeout(PREFACE_TIMEOUT, read).await.map_err(io::Error::other)??;
        if bool::from(self.0.ct_eq(&received)) {
            return Ok(());
        }
        Err(io::Error::new(io::ErrorKind::PermissionDenied, "wrong peer token"))
    }
}

impl fmt::Debug for PeerSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerSecret(..)")
    }
}

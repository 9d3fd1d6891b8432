//! The first bytes of a connection: proof of the shared peer token.

use std::{fmt, io, time::Duration};
use subtle::ConstantTimeEq;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Separates this use of the token from every other.
const CONTEXT: &str = "egretseam peer connection preface v1";
/// Length of the preface.
const PREFACE_BYTES: usize = 32;
/// How long a connecting process may take to send the preface.
const PREFACE_TIMEOUT: Duration = Duration::from_secs(5);

/// Value derived from the peer token that opens every connection between our processes.
///
/// It keeps strangers and misdirected processes out. It does not hide traffic: run the peer
/// listeners on a private network or a tunnel.
#[derive(Clone, Copy)]
pub struct PeerSecret([u8; PREFACE_BYTES]);

impl PeerSecret {
    /// Derives the preface from a token.
    pub fn derive(token: &str) -> Self {
        Self(blake3::derive_key(CONTEXT, token.as_bytes()))
    }

    /// The token that peers present for chunks over HTTP: derived too, so that neither it nor the
    /// preface gives the other or the peer token away.
    pub fn chunk_token(&self) -> String {
        const CONTEXT: &str = "egretseam chunk token v1";
        blake3::Hash::from(blake3::derive_key(CONTEXT, &self.0)).to_hex().to_string()
    }

    /// The mark of our datagrams. It keeps misdirected ones out; whoever can read the network can
    /// copy it, as with the preface.
    pub(crate) fn datagram_tag(&self) -> u64 {
        const CONTEXT: &str = "egretseam datagram tag v1";
        let key = blake3::derive_key(CONTEXT, &self.0);
        u64::from_le_bytes(key[..8].try_into().expect("eight bytes"))
    }

    pub(crate) async fn offer(&self, stream: &mut TcpStream) -> io::Result<()> {
        stream.write_all(&self.0).await
    }

    /// Reads the other side's preface; an error means it is not one of ours.
    pub(crate) async fn expect(&self, stream: &mut TcpStream) -> io::Result<()> {
        let mut offered = [0; PREFACE_BYTES];
        let read = stream.read_exact(&mut offered);
        tokio::time::timeout(PREFACE_TIMEOUT, read).await.map_err(io::Error::other)??;
        if bool::from(self.0.ct_eq(&offered)) {
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

//! Calls for permits for requests to cold targets, and the replies, in datagrams. A permit is valid
//! for a fraction of a second, so there are no connections, acknowledgements or retransmissions: a
//! lost call is sent anew by the next request, and a lost reply is a lost permit.

use crate::preface::PeerSecret;
use egretseam_proto::ServiceName;
use egretseam_serving::TargetId;
use serde::{Deserialize, Serialize};

/// Differs between the datagrams at the same port, so that a datagram of one kind is not read as one
/// of another; earlier releases drop these.
const CALL_TAG: u64 = 0x9e37_79b9_7f4a_7c15;
const REPLY_TAG: u64 = 0xc2b2_ae3d_27d4_eb4f;

/// An entry asks for permits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitCall {
    /// Identifies the sender as a peer, and the datagram as one of this kind.
    tag: u64,
    /// Number that the reply repeats.
    pub number: u64,
    /// The cold target.
    pub target: TargetId,
    /// Its service.
    pub service: ServiceName,
    /// Number of permits.
    pub wanted: u32,
    /// Requests a second that a cold target of the service takes, as the entry knows it. It counts
    /// only where the granting process has no better source.
    pub rate: f64,
}

/// A granting process grants permits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitReply {
    /// As in [`PermitCall`].
    tag: u64,
    /// Number of the call.
    pub number: u64,
    /// The cold target.
    pub target: TargetId,
    /// Number of permits.
    pub granted: u32,
    /// Milliseconds after which the entry may ask this process again for the target.
    pub ask_after_millis: u32,
}

impl PermitCall {
    /// Encodes a call.
    pub fn encode(
        secret: &PeerSecret,
        number: u64,
        target: &TargetId,
        service: &ServiceName,
        wanted: u32,
        rate: f64,
    ) -> Vec<u8> {
        let (target, service) = (target.clone(), service.clone());
        let call = Self { tag: call_tag(secret), number, target, service, wanted, rate };
        postcard::to_stdvec(&call).expect("in-memory encoding does not fail")
    }

    /// Decodes a call; `None` if it is malformed or carries another tag.
    pub fn decode(secret: &PeerSecret, bytes: &[u8]) -> Option<Self> {
        let call: Self = postcard::from_bytes(bytes).ok()?;
        (call.tag == call_tag(secret)).then_some(call)
    }

    /// Encodes the reply to this call.
    pub fn encode_reply(
        &self,
        secret: &PeerSecret,
        granted: u32,
        ask_after_millis: u32,
    ) -> Vec<u8> {
        let (number, target) = (self.number, self.target.clone());
        let reply =
            PermitReply { tag: reply_tag(secret), number, target, granted, ask_after_millis };
        postcard::to_stdvec(&reply).expect("in-memory encoding does not fail")
    }
}

impl PermitReply {
    /// Decodes a reply; `None` if it is malformed or carries another tag.
    pub fn decode(secret: &PeerSecret, bytes: &[u8]) -> Option<Self> {
        let reply: Self = postcard::from_bytes(bytes).ok()?;
        (reply.tag == reply_tag(secret)).then_some(reply)
    }
}

fn call_tag(secret: &PeerSecret) -> u64 {
    secret.datagram_tag() ^ CALL_TAG
}

fn reply_tag(secret: &PeerSecret) -> u64 {
    secret.datagram_tag() ^ REPLY_TAG
}

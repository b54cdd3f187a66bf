//! Mutual authentication with a pre-shared key; the key itself is never sent.

use std::net::SocketAddr;

use figglade::{Incarnation, InstanceId};
use subtle::ConstantTimeEq;

use super::options::VersionRange;
use crate::settings::KeySet;

/// The length of a nonce and of a proof, in bytes.
pub(super) const PROOF_BYTES: usize = 32;

/// The key of links between instances without key files; such links exist on loopback only.
const OPEN_LINK_KEY: [u8; PROOF_BYTES] = [0; PROOF_BYTES];

/// The identity that one side declares in the handshake.
#[derive(Clone, Debug)]
pub(super) struct PeerIdentity {
    /// The id of the instance.
    pub(super) id: InstanceId,
    /// The incarnation of the instance, one per process start.
    pub(super) incarnation: Incarnation,
    /// The address on which it listens for peers.
    pub(super) address: SocketAddr,
    /// Random bytes, new for each handshake.
    pub(super) nonce: [u8; PROOF_BYTES],
}

/// The side that makes a proof. It is part of the hash, which prevents reflecting a proof back to
/// its sender.
#[derive(Clone, Copy, Debug)]
pub(super) enum ProofSide {
    /// The side that connected.
    Dialer,
    /// The side that listens.
    Acceptor,
}

/// The transcript of a handshake, which every proof authenticates.
#[derive(Debug)]
pub(super) struct HandshakeTranscript<'a> {
    /// The versions the dialer offered, included to prevent a version downgrade.
    pub(super) offered: VersionRange,
    /// The negotiated version.
    pub(super) version: u16,
    /// The side that connected.
    pub(super) dialer: &'a PeerIdentity,
    /// The side that listens.
    pub(super) acceptor: &'a PeerIdentity,
}

/// A key that authenticates handshakes.
#[derive(Clone, Copy)]
pub(super) struct PeerKey([u8; PROOF_BYTES]);

impl PeerKey {
    /// Computes the proof that `side` holds the key, a keyed hash of the transcript.
    pub(super) fn prove(
        &self,
        side: ProofSide,
        transcript: &HandshakeTranscript<'_>,
    ) -> [u8; PROOF_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(match side {
            ProofSide::Dialer => b"figglade dialer  ",
            ProofSide::Acceptor => b"figglade acceptor",
        });
        for number in [transcript.offered.min, transcript.offered.max, transcript.version] {
            hasher.update(&number.to_le_bytes());
        }
        for identity in [transcript.dialer, transcript.acceptor] {
            hash_identity(&mut hasher, identity);
        }
        *hasher.finalize().as_bytes()
    }

    /// Returns whether `proof` was computed with this key; the comparison takes constant time.
    pub(super) fn verify(
        &self,
        side: ProofSide,
        transcript: &HandshakeTranscript<'_>,
        proof: &[u8],
    ) -> bool {
        self.prove(side, transcript).ct_eq(proof).into()
    }
}

/// Adds the identity of one side to the hash, with length prefixes before the texts.
fn hash_identity(hasher: &mut blake3::Hasher, identity: &PeerIdentity) {
    let address = identity.address.to_string();
    for text in [identity.id.as_str(), &address] {
        hasher.update(&(text.len() as u64).to_le_bytes());
        hasher.update(text.as_bytes());
    }
    hasher.update(&identity.incarnation.get().to_le_bytes());
    hasher.update(&identity.nonce);
}

/// The keys of this side; the first one authenticates outgoing connections.
#[derive(Clone)]
pub(super) struct PeerKeys(Vec<PeerKey>);

impl PeerKeys {
    /// Builds the list from the keys of the peer role; without keys, links are open to instances
    /// that have none either.
    pub(super) fn new(keys: Option<&KeySet>) -> Self {
        let keys = match keys {
            Some(keys) => keys.link_keys().copied().map(PeerKey).collect(),
            None => vec![PeerKey(OPEN_LINK_KEY)],
        };
        Self(keys)
    }

    /// Returns the key for outgoing connections.
    pub(super) fn dial_key(&self) -> PeerKey {
        self.0[0]
    }

    /// Returns the key with which the dialer made `proof`. The acceptor answers with the same key,
    /// which keeps links working during a key rotation.
    pub(super) fn find_by_proof(
        &self,
        transcript: &HandshakeTranscript<'_>,
        proof: &[u8],
    ) -> Option<PeerKey> {
        self.0.iter().copied().find(|key| key.verify(ProofSide::Dialer, transcript, proof))
    }
}

//! Proofs that both sides of a connection hold the same key; the key itself is never sent.

use std::net::SocketAddr;

use figglade::{Incarnation, InstanceId};
use subtle::ConstantTimeEq;

use super::options::VersionRange;
use crate::settings::KeySet;

/// The length of a nonce and of a proof, in bytes.
pub(super) const PROOF_BYTES: usize = 32;

/// The key of links between instances that have no key files; such links exist on loopback only.
const OPEN_LINK_KEY: [u8; PROOF_BYTES] = [0; PROOF_BYTES];

/// What one side says of itself in a handshake.
#[derive(Clone, Debug)]
pub(super) struct PeerIdentity {
    /// The name of the instance.
    pub(super) id: InstanceId,
    /// The start of the instance.
    pub(super) incarnation: Incarnation,
    /// Where it listens for peers.
    pub(super) address: SocketAddr,
    /// Random bytes, new for each connection.
    pub(super) nonce: [u8; PROOF_BYTES],
}

/// The side that makes a proof, so that one side's proof cannot be sent back as the other's.
#[derive(Clone, Copy, Debug)]
pub(super) enum ProofSide {
    /// The side that connected.
    Dialer,
    /// The side that listens.
    Acceptor,
}

/// Everything that a proof covers.
#[derive(Debug)]
pub(super) struct HandshakeRecord<'a> {
    /// The versions the dialer offered, so that nobody can lower the agreed one.
    pub(super) offered: VersionRange,
    /// The version agreed.
    pub(super) version: u16,
    /// The side that connected.
    pub(super) dialer: &'a PeerIdentity,
    /// The side that listens.
    pub(super) acceptor: &'a PeerIdentity,
}

/// A key that signs handshakes.
#[derive(Clone, Copy)]
pub(super) struct LinkKey([u8; PROOF_BYTES]);

impl LinkKey {
    /// Proves to the other side that this side holds the key.
    pub(super) fn prove(&self, side: ProofSide, record: &HandshakeRecord<'_>) -> [u8; PROOF_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(match side {
            ProofSide::Dialer => b"figglade dialer  ",
            ProofSide::Acceptor => b"figglade acceptor",
        });
        for number in [record.offered.min, record.offered.max, record.version] {
            hasher.update(&number.to_le_bytes());
        }
        for identity in [record.dialer, record.acceptor] {
            update_identity(&mut hasher, identity);
        }
        *hasher.finalize().as_bytes()
    }

    /// Returns whether `proof` was made with this key.
    pub(super) fn verify(
        &self,
        side: ProofSide,
        record: &HandshakeRecord<'_>,
        proof: &[u8],
    ) -> bool {
        self.prove(side, record).ct_eq(proof).into()
    }
}

/// Adds what one side says of itself.
fn update_identity(hasher: &mut blake3::Hasher, identity: &PeerIdentity) {
    let address = identity.address.to_string();
    for text in [identity.id.as_str(), &address] {
        hasher.update(&(text.len() as u64).to_le_bytes());
        hasher.update(text.as_bytes());
    }
    hasher.update(&identity.incarnation.get().to_le_bytes());
    hasher.update(&identity.nonce);
}

/// The keys of this side, the one it proves with first.
#[derive(Clone)]
pub(super) struct LinkKeys(Vec<LinkKey>);

impl LinkKeys {
    /// Takes the keys of the peer role; none leaves links open to instances without keys.
    pub(super) fn new(keys: Option<&KeySet>) -> Self {
        let keys = match keys {
            Some(keys) => keys.link_keys().copied().map(LinkKey).collect(),
            None => vec![LinkKey(OPEN_LINK_KEY)],
        };
        Self(keys)
    }

    /// Returns the key that this side proves with when it connects.
    pub(super) fn first(&self) -> LinkKey {
        self.0[0]
    }

    /// Returns the key that the dialer proved, so that the acceptor answers with the same one
    /// while keys are being replaced.
    pub(super) fn find_proved(
        &self,
        record: &HandshakeRecord<'_>,
        proof: &[u8],
    ) -> Option<LinkKey> {
        self.0.iter().copied().find(|key| key.verify(ProofSide::Dialer, record, proof))
    }
}

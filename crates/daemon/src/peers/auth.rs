//! Authenticates daemons to each other: each side answers a random challenge with an HMAC under the
//! cluster key.

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// The size of a challenge.
pub(super) const NONCE_BYTES: usize = 32;

/// The key shared by all daemons.
#[derive(Clone)]
pub(crate) struct ClusterKey(std::sync::Arc<[u8]>);

/// The side that makes a proof. The proof includes it, so that a proof of one side cannot be
/// replayed as one of the other side.
#[derive(Clone, Copy)]
pub(super) enum ProofSide {
    Client,
    Server,
}

impl ClusterKey {
    pub(crate) fn new(key: &str) -> Self {
        Self(key.as_bytes().into())
    }

    fn mac(&self, side: ProofSide, nonce: &[u8], instance: &str) -> Hmac<Sha256> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC accepts keys of any length");
        mac.update(match side {
            ProofSide::Client => b"oriolepass client",
            ProofSide::Server => b"oriolepass server",
        });
        mac.update(nonce);
        mac.update(instance.as_bytes());
        mac
    }

    /// Returns the proof that this side knows the cluster key.
    pub(super) fn prove(&self, side: ProofSide, nonce: &[u8], instance: &str) -> Vec<u8> {
        self.mac(side, nonce, instance).finalize().into_bytes().to_vec()
    }

    /// Checks a proof in constant time.
    pub(super) fn verify(
        &self,
        side: ProofSide,
        nonce: &[u8],
        instance: &str,
        proof: &[u8],
    ) -> bool {
        self.mac(side, nonce, instance).verify_slice(proof).is_ok()
    }
}

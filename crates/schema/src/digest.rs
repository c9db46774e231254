//! Incremental SHA-256 digests of answers.

use sha2::{Digest, Sha256};

/// An incremental digest of an answer's bytes.
///
/// The endpoint and the entry instance, which is the instance that received the request, each
/// compute a digest. The two are compared at the explicit end of the answer. A difference means
/// that a piece was lost, duplicated or belonged to another request.
#[derive(Debug, Clone, Default)]
pub struct AnswerDigest(Sha256);

impl AnswerDigest {
    /// Adds `bytes` to the digest.
    pub fn update(&mut self, bytes: &[u8]) {
        self.0.update(bytes);
    }

    /// Returns the digest of all bytes added so far, in lower-case hexadecimal.
    pub fn finish(&self) -> String {
        hex(&self.0.clone().finalize())
    }
}

/// Returns the SHA-256 of `bytes` in lower-case hexadecimal.
pub fn sha256_hex(bytes: &[u8]) -> String {
    hex(&Sha256::digest(bytes))
}

/// Encodes `bytes` in lower-case hexadecimal.
pub fn hex(bytes: &[u8]) -> String {
    use std::fmt::Write;

    bytes.iter().fold(String::with_capacity(bytes.len() * 2), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

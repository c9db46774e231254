//! The running digest of an answer.

use sha2::{Digest, Sha256};

/// Digests an answer's bytes as they pass.
///
/// Endpoint and entry instance each keep one. They are compared at the explicit end of the
/// answer; a difference means that a piece was lost, doubled or not the request's own.
#[derive(Debug, Clone, Default)]
pub struct AnswerDigest(Sha256);

impl AnswerDigest {
    /// Adds the next bytes.
    pub fn update(&mut self, bytes: &[u8]) {
        self.0.update(bytes);
    }

    /// Returns the digest of all bytes so far, in lower-case hexadecimal.
    pub fn finish(&self) -> String {
        hex(&self.0.clone().finalize())
    }
}

/// Returns the SHA-256 of `bytes` in lower-case hexadecimal.
pub fn sha256_hex(bytes: &[u8]) -> String {
    hex(&Sha256::digest(bytes))
}

/// Writes bytes in lower-case hexadecimal.
pub fn hex(bytes: &[u8]) -> String {
    use std::fmt::Write;

    bytes.iter().fold(String::with_capacity(bytes.len() * 2), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

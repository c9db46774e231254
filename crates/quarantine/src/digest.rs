//! Computes the digest that identifies a request across its attempts.

use std::fmt;
use std::str::FromStr;

use oriolepass_units::AccountId;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

/// Size of a digest in bytes. The part after the account's tag is long enough to resist deliberate
/// collisions.
const DIGEST_BYTES: usize = 20;

/// Size of the digest's prefix that depends only on the client account.
const TAG_BYTES: usize = 4;

/// The parts of a request that identify it across its attempts.
///
/// The request id and the headers are not included, since they differ between attempts. The client
/// account is included, so that no caller can incriminate another account's request.
#[derive(Debug, Clone, Copy)]
pub struct RequestIdentity<'a> {
    /// The client account that the caller's key belongs to, if any.
    pub account: Option<&'a AccountId>,
    /// The HTTP method.
    pub method: &'a str,
    /// The host that the request names.
    pub host: &'a str,
    /// The path with its query.
    pub path: &'a str,
    /// The body.
    pub body: &'a [u8],
}

impl RequestIdentity<'_> {
    /// Computes the digest. The cost is a few nanoseconds per byte.
    pub fn digest(&self) -> RequestDigest {
        let account = self.account.map_or("", |account| account.as_str());
        let mut hasher = Sha256::new();
        for part in [account, self.method, self.host, self.path] {
            // Length prefixes prevent collisions by moving bytes between adjacent parts.
            hasher.update(u64::try_from(part.len()).unwrap_or(u64::MAX).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(self.body);
        let mut bytes = [0; DIGEST_BYTES];
        bytes[..TAG_BYTES].copy_from_slice(&Sha256::digest(account)[..TAG_BYTES]);
        bytes[TAG_BYTES..].copy_from_slice(&hasher.finalize()[..DIGEST_BYTES - TAG_BYTES]);
        RequestDigest(bytes)
    }
}

/// Identifies a request across its attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestDigest([u8; DIGEST_BYTES]);

/// A short hash of a client account. Different accounts may have the same tag.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AccountTag([u8; TAG_BYTES]);

impl RequestDigest {
    /// Returns the tag of the client account.
    pub fn account(&self) -> AccountTag {
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&self.0[..TAG_BYTES]);
        AccountTag(tag)
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// A text is not a valid digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a request's digest has 40 hexadecimal digits; copy it whole from a log line")]
pub struct DigestError;

impl FromStr for RequestDigest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, DigestError> {
        let is_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if text.len() != 2 * DIGEST_BYTES || !is_hex {
            return Err(DigestError);
        }
        let mut bytes = [0; DIGEST_BYTES];
        for (at, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * at..2 * at + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| DigestError)?;
        }
        Ok(Self(bytes))
    }
}

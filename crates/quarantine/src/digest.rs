//! Computes the digests that identify a request across its attempts, and a part of prompts across
//! requests.

use std::fmt;
use std::str::FromStr;

use oriolepass_units::{AccountId, PromptPartId, ServiceName};
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
        self.digest_with_body(std::iter::empty())
    }

    /// Computes the digest of a request whose body is `body` followed by the pieces in `rest`.
    pub fn digest_with_body<'b>(&'b self, rest: impl Iterator<Item = &'b [u8]>) -> RequestDigest {
        let fields = [self.method, self.host, self.path];
        let pieces = std::iter::once(self.body).chain(rest);
        RequestDigest(digest_bytes(self.account, &fields, pieces))
    }
}

/// What identifies a part of prompts.
///
/// A part may be fatal to the model of one service only. The client account is included, so that no
/// caller can incriminate a part of another account's prompts.
#[derive(Debug, Clone, Copy)]
pub struct PartIdentity<'a> {
    /// The client account that the caller's key belongs to, if any.
    pub account: Option<&'a AccountId>,
    /// The service that the prompt is for.
    pub service: &'a ServiceName,
    /// The part's id, as given by the caller.
    pub part: &'a PromptPartId,
}

impl PartIdentity<'_> {
    /// Computes the digest.
    pub fn digest(&self) -> PartDigest {
        let fields = [self.service.as_str(), self.part.as_str()];
        PartDigest(digest_bytes(self.account, &fields, std::iter::empty()))
    }
}

fn digest_bytes<'b>(
    account: Option<&AccountId>,
    fields: &[&str],
    body: impl Iterator<Item = &'b [u8]>,
) -> [u8; DIGEST_BYTES] {
    let account = account.map_or("", |account| account.as_str());
    let mut hasher = Sha256::new();
    for field in std::iter::once(&account).chain(fields) {
        // Length prefixes prevent collisions by moving bytes between adjacent fields.
        hasher.update(u64::try_from(field.len()).unwrap_or(u64::MAX).to_le_bytes());
        hasher.update(field.as_bytes());
    }
    body.for_each(|piece| hasher.update(piece));
    let mut bytes = [0; DIGEST_BYTES];
    bytes[..TAG_BYTES].copy_from_slice(&Sha256::digest(account)[..TAG_BYTES]);
    bytes[TAG_BYTES..].copy_from_slice(&hasher.finalize()[..DIGEST_BYTES - TAG_BYTES]);
    bytes
}

/// A short hash of a client account. Different accounts may have the same tag.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AccountTag([u8; TAG_BYTES]);

/// A text is not a valid digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a digest has 40 hexadecimal digits; copy it whole from a log line")]
pub struct DigestError;

macro_rules! digests {
    ($(#[$doc:meta] $name:ident;)*) => {$(
        #[$doc]
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name([u8; DIGEST_BYTES]);

        impl $name {
            /// Returns the tag of the client account.
            pub fn account(&self) -> AccountTag {
                let mut tag = [0; TAG_BYTES];
                tag.copy_from_slice(&self.0[..TAG_BYTES]);
                AccountTag(tag)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
            }
        }

        impl FromStr for $name {
            type Err = DigestError;

            fn from_str(text: &str) -> Result<Self, DigestError> {
                parse_digest(text).map(Self)
            }
        }
    )*};
}

digests! {
    /// Identifies a request across its attempts.
    RequestDigest;
    /// Identifies a part of prompts across the requests of a client account to a service.
    PartDigest;
}

fn parse_digest(text: &str) -> Result<[u8; DIGEST_BYTES], DigestError> {
    let is_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
    if text.len() != 2 * DIGEST_BYTES || !is_hex {
        return Err(DigestError);
    }
    let mut bytes = [0; DIGEST_BYTES];
    for (at, byte) in bytes.iter_mut().enumerate() {
        let digits = &text[2 * at..2 * at + 2];
        *byte = u8::from_str_radix(digits, 16).map_err(|_| DigestError)?;
    }
    Ok(bytes)
}

/// What may have terminated an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SuspectId {
    /// A request.
    Request(RequestDigest),
    /// A part of prompts.
    Part(PartDigest),
}

impl SuspectId {
    /// Returns the tag of the client account.
    pub fn account(&self) -> AccountTag {
        match self {
            Self::Request(digest) => digest.account(),
            Self::Part(digest) => digest.account(),
        }
    }

    /// Returns whether both are requests or both are parts.
    pub(crate) fn is_same_kind(&self, other: &Self) -> bool {
        matches!(self, Self::Request(_)) == matches!(other, Self::Request(_))
    }
}

impl From<RequestDigest> for SuspectId {
    fn from(digest: RequestDigest) -> Self {
        Self::Request(digest)
    }
}

impl From<PartDigest> for SuspectId {
    fn from(digest: PartDigest) -> Self {
        Self::Part(digest)
    }
}

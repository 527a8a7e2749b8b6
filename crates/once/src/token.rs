//! Bound tokens, each a permission to run one request at one instance.
//!
//! A token names the instance that issued it, and only that instance runs a request with it. So
//! at-most-once execution needs no agreement: the ledger in that instance's memory decides, and
//! once that memory is lost no request runs with the token. Tokens are signed with HMAC-SHA-256
//! under a key of the fleet's settings, so any entry VM can detect a forged one; two keys are
//! accepted while keys are rotated. The times in a token are readings of the issuer's monotonic
//! clock and are only compared with that clock, so clock differences between instances do not
//! matter. See docs/AT-MOST-ONCE.md.

use std::fmt;

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, Mac};
use oleander_base::prelude::*;
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use thiserror::Error;

/// The version of the token layout, stored in the first byte; every other layout must have its own
/// number.
const TOKEN_VERSION: u8 = 1;
/// The length of the truncated signature in a token, in bytes.
const SIGNATURE_BYTES: usize = 16;
/// The length of the version and the key id, in bytes.
const HEAD_BYTES: usize = 2;
/// The maximum length of a token's text, in bytes; a longer text is rejected undecoded.
const TEXT_LIMIT_BYTES: usize = 200;
/// The minimum length of a signing secret, in bytes.
const SECRET_MINIMUM_BYTES: usize = 16;

/// Holds the content of a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BoundToken {
    /// The customer that may use it.
    pub customer: CustomerId,
    /// The instance that issued it, the only one that runs a request with it.
    pub issuer: InstanceId,
    /// The data centre of that instance.
    pub centre: CentreId,
    /// The serial number of the token at that instance.
    pub serial: u64,
    /// When it was issued, on the issuer's monotonic clock, in microseconds.
    pub issued: u64,
    /// When it expires, on the same clock, in microseconds.
    pub expires: u64,
}

/// Lists the reasons why every instance rejects a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum TokenError {
    /// The text is not a token.
    #[error("the text is not a token")]
    Malformed,
    /// The signature matches none of the configured keys.
    #[error("the token's signature does not match")]
    Forged,
    /// The token was issued to another customer.
    #[error("the token belongs to another customer")]
    ForeignCustomer,
}

/// Holds a signing key and its id.
#[derive(Clone)]
pub struct TokenKey {
    id: u8,
    secret: Vec<u8>,
}

/// Reports a secret that is too short for a signing key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a token secret has {length} bytes; at least {SECRET_MINIMUM_BYTES} are needed")]
pub struct ShortSecret {
    length: usize,
}

impl TokenKey {
    /// Returns the key with the given id, which tokens carry, or an error if the secret is short.
    pub fn new(id: u8, secret: &[u8]) -> Result<Self, ShortSecret> {
        if secret.len() < SECRET_MINIMUM_BYTES {
            let length = secret.len();
            return Err(ShortSecret { length });
        }
        Ok(Self {
            id,
            secret: secret.to_vec(),
        })
    }

    fn signature(&self, bytes: &[u8]) -> Option<Hmac<Sha256>> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.secret).ok()?;
        mac.update(bytes);
        Some(mac)
    }
}

impl fmt::Debug for TokenKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "TokenKey({}, secret hidden)", self.id)
    }
}

/// Writes and reads the text form of tokens.
///
/// A key rotation takes three steps, each of which must be in force at every instance before the
/// next: the new key as `also`, then the new key as `current` with the old one as `also`, then the
/// new key alone.
#[derive(Debug, Clone)]
pub struct TokenIssuer {
    current: TokenKey,
    also: Option<TokenKey>,
}

impl TokenIssuer {
    /// Returns an issuer that signs with `current` and accepts signatures of `current` and `also`.
    pub fn new(current: TokenKey, also: Option<TokenKey>) -> Self {
        Self { current, also }
    }

    /// Returns a token's text form for a header.
    pub fn write(&self, token: &BoundToken) -> String {
        let head = vec![TOKEN_VERSION, self.current.id];
        let mut bytes = postcard::to_extend(token, head).unwrap_or_default();
        if let Some(mac) = self.current.signature(&bytes) {
            let signature = mac.finalize().into_bytes();
            bytes.extend_from_slice(&signature[..SIGNATURE_BYTES]);
        }
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Verifies and decodes a token that a customer sent.
    ///
    /// The expiry is not checked, since only the issuing instance can judge it.
    pub fn read(&self, text: &str, customer: CustomerId) -> Result<BoundToken, TokenError> {
        if text.len() > TEXT_LIMIT_BYTES {
            return Err(TokenError::Malformed);
        }
        let decoded = URL_SAFE_NO_PAD.decode(text);
        let bytes = decoded.map_err(|_| TokenError::Malformed)?;
        if bytes.len() < HEAD_BYTES + SIGNATURE_BYTES || bytes[0] != TOKEN_VERSION {
            return Err(TokenError::Malformed);
        }
        let (signed, signature) = bytes.split_at(bytes.len() - SIGNATURE_BYTES);
        self.check_signature(signed, signature)?;
        let (token, rest) = postcard::take_from_bytes::<BoundToken>(&signed[HEAD_BYTES..])
            .map_err(|_| TokenError::Malformed)?;
        if !rest.is_empty() {
            return Err(TokenError::Malformed);
        }
        if token.customer != customer {
            return Err(TokenError::ForeignCustomer);
        }
        Ok(token)
    }

    fn check_signature(&self, signed: &[u8], signature: &[u8]) -> Result<(), TokenError> {
        let keys = [Some(&self.current), self.also.as_ref()];
        let is_genuine = keys
            .into_iter()
            .flatten()
            .filter(|key| key.id == signed[1])
            .filter_map(|key| key.signature(signed))
            .any(|mac| mac.verify_truncated_left(signature).is_ok());
        if is_genuine {
            Ok(())
        } else {
            Err(TokenError::Forged)
        }
    }
}

//! Authentication of operators by the operators' key.
//!
//! Programs send the key as a bearer token. A browser sends it once to the login path and gets a
//! cookie with a hash of the key, which every entry VM recognises without shared sessions.

use ntex::http::HeaderMap;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// The name of the login cookie.
const COOKIE_NAME: &str = "oleander_operator";
/// The prefix of the hashed text, so that the cookie differs from other hashes of the same key.
const COOKIE_HASH_PREFIX: &[u8] = b"oleanderplank operator cookie";

/// Checks whether requests carry the operators' key or the login cookie.
#[derive(Clone)]
pub struct OperatorAccess {
    key_hash: [u8; 32],
    cookie: String,
}

impl std::fmt::Debug for OperatorAccess {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("OperatorAccess").finish_non_exhaustive()
    }
}

impl OperatorAccess {
    /// Stores the hashes of a key.
    pub fn new(key: &str) -> Self {
        let key_hash = Sha256::digest(key.as_bytes()).into();
        let cookie_hash = Sha256::new()
            .chain_update(COOKIE_HASH_PREFIX)
            .chain_update(key)
            .finalize();
        let cookie = cookie_hash
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect();
        Self { key_hash, cookie }
    }

    /// Returns whether `key` is the operators' key.
    pub fn is_key(&self, key: &str) -> bool {
        let hash: [u8; 32] = Sha256::digest(key.as_bytes()).into();
        hash.ct_eq(&self.key_hash).into()
    }

    /// Returns whether a request carries the key or the cookie.
    pub fn is_operator(&self, headers: &HeaderMap) -> bool {
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let bearer = text("authorization").and_then(|value| value.strip_prefix("Bearer "));
        if let Some(key) = bearer {
            return self.is_key(key.trim());
        }
        let cookies = text("cookie").unwrap_or_default();
        cookies
            .split(';')
            .filter_map(|cookie| cookie.trim().split_once('='))
            .any(|(name, value)| {
                name == COOKIE_NAME && bool::from(value.as_bytes().ct_eq(self.cookie.as_bytes()))
            })
    }

    /// Returns the value of the `set-cookie` header for a browser.
    pub fn cookie_header(&self) -> String {
        format!(
            "{COOKIE_NAME}={}; Path=/; HttpOnly; SameSite=Strict",
            self.cookie
        )
    }
}

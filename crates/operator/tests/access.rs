//! Authentication of operators by key and cookie.

use ntex::http::HeaderMap;
use ntex::http::header::{HeaderName, HeaderValue};
use oleander_operator::OperatorAccess;

const KEY: &str = "the-operators-key";

fn headers(name: &str, value: &str) -> HeaderMap {
    let mut headers = HeaderMap::new();
    let name = HeaderName::try_from(name).unwrap();
    headers.insert(name, HeaderValue::from_str(value).unwrap());
    headers
}

#[test]
fn only_the_key_and_its_cookie_are_accepted() {
    let access = OperatorAccess::new(KEY);
    assert!(access.is_operator(&headers("authorization", &format!("Bearer {KEY}"))));
    assert!(!access.is_operator(&headers("authorization", "Bearer key-radio-regina")));
    assert!(!access.is_operator(&headers("authorization", KEY)));
    assert!(!access.is_operator(&HeaderMap::new()));
    let header = access.cookie_header();
    let cookie = header.split(';').next().unwrap();
    assert!(access.is_operator(&headers("cookie", &format!("theme=dark; {cookie}"))));
    assert!(!access.is_operator(&headers("cookie", &cookie[..cookie.len() - 1])));
    assert!(!access.is_operator(&headers("cookie", &format!("oleander_operator={KEY}"))));
    assert!(header.contains("HttpOnly") && header.contains("SameSite=Strict"));
    let wrong_key = format!("Bearer wrong{KEY}");
    assert!(!access.is_operator(&headers("authorization", &wrong_key)));
}

#[test]
fn debug_output_contains_no_secrets() {
    let access = OperatorAccess::new(KEY);
    let cookie = access.cookie_header();
    let hash = cookie.split(['=', ';']).nth(1).unwrap();
    let shown = format!("{access:?}");
    assert!(!shown.contains(KEY) && !shown.contains(hash), "{shown}");
}

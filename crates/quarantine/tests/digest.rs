//! The parts of a request that its digest depends on, and the text form of digests.

use oriolepass_quarantine::{RequestDigest, RequestIdentity};
use oriolepass_units::AccountId;

const PLAIN: RequestIdentity<'_> =
    RequestIdentity { account: None, method: "POST", host: "h", path: "/a/b?c=1", body: b"hi" };

#[test]
fn equal_requests_have_equal_digests_and_different_requests_do_not() {
    let (one, two): (AccountId, AccountId) = ("one".parse().unwrap(), "two".parse().unwrap());
    let all = [
        PLAIN,
        RequestIdentity { account: Some(&one), ..PLAIN },
        RequestIdentity { account: Some(&two), ..PLAIN },
        RequestIdentity { method: "PUT", ..PLAIN },
        RequestIdentity { host: "i", ..PLAIN },
        RequestIdentity { path: "/a/b?c=2", ..PLAIN },
        RequestIdentity { body: b"ho", ..PLAIN },
        // Bytes moved between adjacent parts must change the digest.
        RequestIdentity { host: "h/", path: "a/b?c=1", ..PLAIN },
        RequestIdentity { path: "/a/b?c=1h", body: b"i", ..PLAIN },
    ];
    for (at, left) in all.iter().enumerate() {
        assert_eq!(left.digest(), left.digest());
        for right in &all[at + 1..] {
            assert_ne!(left.digest(), right.digest(), "{left:?} {right:?}");
        }
    }
}

#[test]
fn the_tag_depends_on_the_account_only() {
    let (one, two): (AccountId, AccountId) = ("one".parse().unwrap(), "two".parse().unwrap());
    let of = |account, body| {
        RequestIdentity { account: Some(account), body, ..PLAIN }.digest().account()
    };
    assert_eq!(of(&one, b"a"), of(&one, b"b"));
    assert_ne!(of(&one, b"a"), of(&two, b"a"));
}

#[test]
fn digests_round_trip_through_text_and_invalid_texts_are_rejected() {
    let digest = PLAIN.digest();
    assert_eq!(digest.to_string().parse::<RequestDigest>(), Ok(digest));
    for invalid in ["", "12", &"é".repeat(20), &"zz".repeat(20), &"+1".repeat(20)] {
        assert!(invalid.parse::<RequestDigest>().is_err(), "{invalid}");
    }
}

/// Guards against a fatal request that is not recognised because its body arrived in other pieces.
#[test]
fn the_digest_does_not_depend_on_the_pieces_of_the_body() {
    let whole = RequestIdentity { body: b"one two three", ..PLAIN }.digest();
    let first = RequestIdentity { body: b"one ", ..PLAIN };
    let rest: [&[u8]; 3] = [b"two", b"", b" three"];
    assert_eq!(first.digest_with_body(rest.into_iter()), whole);
    assert_ne!(first.digest_with_body(rest[..1].iter().copied()), whole);
}

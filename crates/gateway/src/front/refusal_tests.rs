//! Tests the headers of the gateway's own responses.

use std::time::Duration;

use hyper::header::RETRY_AFTER;

use super::refusal::Refusal;

/// Guards against a refusal that asks its caller to come back at once.
#[test]
fn the_time_to_come_back_is_rounded_up() {
    let header = |micros| {
        let response = Refusal::not_run("busy", Duration::from_micros(micros)).response();
        response.headers()[RETRY_AFTER].to_str().expect("a number").to_owned()
    };
    assert_eq!(header(2_000), "0.01");
    assert_eq!(header(0), "0.01");
    assert_eq!(header(1_250_000), "1.25");
    assert_eq!(header(1_251_000), "1.26");
}

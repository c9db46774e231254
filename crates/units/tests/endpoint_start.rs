//! Tests the textual form and the ordering of endpoint starts.

use oriolepass_units::{EndpointStart, EndpointStartError, StartTime};

fn start(text: &str) -> EndpointStart {
    text.parse().expect("a valid endpoint start")
}

#[test]
fn display_and_from_str_round_trip() {
    for text in ["i-1", "i-1@1779526258471", "10.1.0.2:8080@7"] {
        assert_eq!(start(text).to_string(), text);
    }
    assert_eq!(start("i-1@0"), start("i-1"), "time 0 means that the start time is unknown");
    assert!(matches!("i-1@soon".parse::<EndpointStart>(), Err(EndpointStartError::Time(_))));
    assert!(matches!("@7".parse::<EndpointStart>(), Err(EndpointStartError::Id(_))));
}

#[test]
fn starts_of_one_endpoint_are_ordered_by_time() {
    assert!(start("i-1") < start("i-1@9"));
    assert!(start("i-1@9") < start("i-1@10"));
    assert_eq!(start("i-1@9").time(), StartTime(9));
}

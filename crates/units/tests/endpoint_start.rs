//! Starts of endpoints: their text and their order.

use oriolepass_units::{EndpointStart, StartError, StartTime};

fn start(text: &str) -> EndpointStart {
    text.parse().expect("a start")
}

#[test]
fn a_start_is_read_as_it_is_written() {
    for text in ["i-1", "i-1@1779526258471", "10.1.0.2:8080@7"] {
        assert_eq!(start(text).to_string(), text);
    }
    assert_eq!(start("i-1@0"), start("i-1"), "a time that is not known");
    assert!(matches!("i-1@soon".parse::<EndpointStart>(), Err(StartError::Time(_))));
    assert!(matches!("@7".parse::<EndpointStart>(), Err(StartError::Id(_))));
}

#[test]
fn starts_of_one_id_are_ordered_by_their_time() {
    assert!(start("i-1") < start("i-1@9"));
    assert!(start("i-1@9") < start("i-1@10"));
    assert_eq!(start("i-1@9").time(), StartTime(9));
}

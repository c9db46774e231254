//! Property tests of the splitting of event streams.

use oriolepass_gateway::EventSplitter;
use proptest::prelude::*;

/// A part of a stream: its text, and its id if it is an event with one.
fn part() -> impl Strategy<Value = (String, Option<u64>)> {
    let event = |(id, text, end): (u64, String, &str)| {
        (format!("id: {id}{end}data: {text}{end}{end}"), Some(id))
    };
    let ends = || prop_oneof![Just("\n"), Just("\r\n")];
    prop_oneof![
        4 => (0..40_u64, "[a-z:\\\\ ]{0,40}", ends()).prop_map(event),
        1 => "[a-z ]{0,20}".prop_map(|text| (format!(": {text}\n\n"), None)),
        1 => "[a-z ]{0,20}".prop_map(|text| (format!("data: {text}\n\n"), None)),
        1 => Just(("\n".to_owned(), None)),
    ]
}

/// Returns what a caller gets of a stream of parts, without what follows the last new event, and the
/// rest.
fn expected(parts: &[(String, Option<u64>)]) -> (String, String) {
    let (mut whole, mut rest, mut last) = (String::new(), String::new(), None);
    for (text, id) in parts {
        match id {
            None => rest += text,
            id if *id <= last => rest.clear(),
            id => {
                last = *id;
                whole += &std::mem::take(&mut rest);
                whole += text;
            }
        }
    }
    (whole, rest)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against events that are lost, repeated or cut because of where a read ends.
    #[test]
    fn events_do_not_depend_on_the_sizes_of_reads(
        parts in prop::collection::vec(part(), 0..30),
        sizes in prop::collection::vec(1..60_usize, 1..20),
    ) {
        let stream: String = parts.iter().map(|(text, _)| text.as_str()).collect();
        let mut splitter = EventSplitter::new(None);
        let (mut rest, mut whole) = (stream.as_bytes(), Vec::new());
        for size in sizes.iter().cycle() {
            let (read, later) = rest.split_at((*size).min(rest.len()));
            whole.extend_from_slice(&splitter.push(read));
            prop_assert!(splitter.held_bytes() <= stream.len());
            rest = later;
            if rest.is_empty() {
                break;
            }
        }
        let (events, unnumbered) = expected(&parts);
        prop_assert!(!splitter.has_partial());
        prop_assert_eq!(String::from_utf8(whole).unwrap(), events);
        prop_assert_eq!(&splitter.take_unnumbered()[..], unnumbered.as_bytes());
    }

    /// Guards against a parser that panics, or that holds more than it was given.
    #[test]
    fn any_bytes_are_split(
        reads in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..200), 0..20),
    ) {
        let mut splitter = EventSplitter::new(Some(3));
        let mut pushed = 0;
        for read in &reads {
            pushed += read.len();
            let events = splitter.push(read);
            prop_assert!(events.len() + splitter.held_bytes() <= pushed);
        }
    }
}

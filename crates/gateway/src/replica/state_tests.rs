//! Tests the decoding of log entries and snapshots, including those written before drains of data
//! centres were replicated. A daemon that cannot decode them fails to start after an upgrade.

use oriolepass_routing::{
    DrainCommand, DrainRevision, RoutingRegister, RoutingRevision, RoutingText,
};

use super::state::{LogCommand, ReplicatedState};

fn text() -> RoutingText {
    RoutingText::pack(RoutingRevision(u64::MAX), b"{}")
}

fn drain() -> LogCommand {
    let data_centre = "north".parse().expect("a data centre");
    LogCommand::Drain(DrainCommand {
        data_centre,
        is_drained: true,
        base_revision: DrainRevision(0),
    })
}

#[test]
fn commands_round_trip() {
    for command in [LogCommand::Document(text()), drain()] {
        assert_eq!(LogCommand::decode(&command.encode()), Ok(command));
    }
}

#[test]
fn an_untagged_entry_decodes_as_a_document() {
    let bytes = postcard::to_stdvec(&text()).expect("bytes");
    assert_eq!(LogCommand::decode(&bytes), Ok(LogCommand::Document(text())));
}

#[test]
fn a_snapshot_without_drains_decodes_with_no_drained_data_centre() {
    let mut register = RoutingRegister::default();
    register.apply(text());
    let bytes = postcard::to_stdvec(&register).expect("bytes");
    let state = ReplicatedState::decode(&bytes).expect("a state");
    assert_eq!(state.newest_document(), Some(&text()));
    assert_eq!(state.drains().drained().count(), 0);
}

#[test]
fn a_snapshot_round_trips_with_document_and_drains() {
    let mut state = ReplicatedState::default();
    state.apply(LogCommand::Document(text()));
    state.apply(drain());
    let decoded = ReplicatedState::decode(&state.encode()).expect("a state");
    assert_eq!(decoded, state);
    assert_eq!(decoded.drains().drained().count(), 1);
}

//! Messages stay readable between this version and the one before. The texts below are messages as
//! the version before encodes them.

use std::time::Duration;

use oriolepass_limits::{PermitWaiter, RequestRank, WaiterId};
use oriolepass_placement::{
    EngineCell, PlacementRefusal, PromptAsk, PromptKey, RefusalReason, ReturnTurn,
};
use oriolepass_units::LeaderTerm;

use super::{PeerMessage, ProtocolLevel, TrailingField};
use crate::roster::{DaemonNote, DaemonPhase, ReplicaNote};

const EARLIER_GREETING: &str = "000d31302e302e302e313a373030300267314d027a31000a0000015001010001030\
    10d31302e302e302e323a37303030010d31302e302e302e313a37303030050009";

const EARLIER_PLACE_ASK: &str = "100804050777726974657273b81764c801008099a48a010080c6868f01008084af\
    5f09000080a9bc1f0103692d310700010103";

fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<u8> = hex.bytes().filter(u8::is_ascii_hexdigit).collect();
    let byte = |pair: &[u8]| {
        let text = std::str::from_utf8(pair).expect("digits");
        u8::from_str_radix(text, 16).expect("a byte")
    };
    digits.chunks(2).map(byte).collect()
}

fn greeting(protocol: ProtocolLevel) -> PeerMessage {
    PeerMessage::Greeting(DaemonNote {
        instance: "10.0.0.1:7000".parse().expect("an instance"),
        name: "g1".parse().expect("a name"),
        boot: 77,
        data_centre: "z1".parse().expect("a data centre"),
        callers: "10.0.0.1:80".parse().expect("an address"),
        phase: DaemonPhase::Ready,
        has_disk: true,
        may_found: false,
        replica: Some(ReplicaNote {
            term: LeaderTerm(3),
            leader: Some("10.0.0.2:7000".parse().expect("an instance")),
            voters: vec!["10.0.0.1:7000".parse().expect("an instance")],
        }),
        known: 5,
        is_tiered: false,
        edition: 9,
        protocol: TrailingField(protocol),
        is_cut_off: TrailingField::default(),
        is_founding: TrailingField::default(),
    })
}

fn place_ask(waiter: Option<PermitWaiter>, resting: &[&str]) -> PeerMessage {
    PeerMessage::PlaceAsk {
        token: 8,
        ask: PromptAsk {
            key: PromptKey { entry: 4, number: 5 },
            service: "writers".parse().expect("a service"),
            prompt_tokens: 3_000,
            answer_tokens: 100,
            max_answer_tokens: 200,
            objective: Duration::from_millis(290),
            whole_objective: Duration::from_millis(300),
            pause: Duration::from_millis(200),
            deadline: Duration::from_secs(9),
            patience: Duration::from_millis(66),
            avoid: vec!["i-1@7".parse().expect("a start")],
            resting: Vec::new(),
            is_suspect: false,
            waiter: None,
            appointment: None,
            second: None,
        },
        cell: Some(EngineCell { index: 1, count: 3 }),
        waiter: TrailingField(waiter),
        resting: TrailingField(resting.iter().map(|name| name.parse().expect("a start")).collect()),
        appointment: TrailingField(None),
        second: TrailingField(None),
    }
}

fn waiter() -> PermitWaiter {
    let account = Some("forro".parse().expect("an account"));
    PermitWaiter {
        id: WaiterId { entry: 4, number: 9 },
        rank: RequestRank { priority: 2, account },
        patience: Duration::from_millis(66),
    }
}

#[test]
fn messages_of_the_version_before_are_read() {
    let read = |hex| postcard::from_bytes::<PeerMessage>(&bytes(hex)).expect("a message");
    assert_eq!(read(EARLIER_GREETING), greeting(ProtocolLevel::default()));
    assert_eq!(read(EARLIER_PLACE_ASK), place_ask(None, &[]));
}

/// The version before ignores what follows the last field that it knows.
#[test]
fn the_version_before_reads_messages_up_to_its_last_field() {
    let is_extended = |message: &PeerMessage, earlier: &str| {
        postcard::to_stdvec(message).expect("bytes").starts_with(&bytes(earlier))
    };
    assert!(is_extended(&greeting(ProtocolLevel::CURRENT), EARLIER_GREETING));
    assert!(is_extended(&place_ask(Some(waiter()), &["i-2@3", "i-4@9"]), EARLIER_PLACE_ASK));
}

#[test]
fn added_fields_are_read_by_this_version() {
    for message in
        [greeting(ProtocolLevel::CURRENT), place_ask(Some(waiter()), &["i-2@3", "i-4@9"])]
    {
        let read = postcard::from_bytes(&postcard::to_stdvec(&message).expect("bytes"));
        assert_eq!(read, Ok(message));
    }
}

/// Guards against reports of the version before that close the connection because they lack the pace
/// of answers or the ranks of prompts.
#[test]
fn progress_and_placed_prompts_of_the_version_before_are_read() {
    let progress = PeerMessage::Progress(Vec::new(), TrailingField::default());
    let placed = PeerMessage::Placed(Vec::new(), TrailingField::default());
    for message in [progress, placed] {
        let bytes = postcard::to_stdvec(&message).expect("bytes");
        // The added list is the last field, and its length is one byte.
        let earlier = &bytes[..bytes.len() - 1];
        assert_eq!(postcard::from_bytes(earlier), Ok(message));
    }
}

/// Guards against prompts of the version before that are not placed because they lack the engines that rest.
#[test]
fn a_placement_asked_for_by_the_version_before_excludes_no_engine() {
    let asked = place_ask(Some(waiter()), &[]);
    let bytes = postcard::to_stdvec(&asked).expect("bytes");
    // The list of engines is the last field but two, and its length is one byte, as are the other
    // two fields.
    let earlier = &bytes[..bytes.len() - 3];
    assert_eq!(postcard::from_bytes(earlier), Ok(asked));
}

/// Guards against a home of the version before, whose refusals say nothing about a turn, and against
/// entries of the version before, which ignore what follows the verdict.
#[test]
fn refusals_of_the_version_before_give_no_turn() {
    let refusal = PlacementRefusal {
        reason: RefusalReason::TooDear,
        retry_after: Duration::from_millis(1_200),
        turn: ReturnTurn::default(),
    };
    let answer = |turn| {
        let turn = TrailingField(turn);
        PeerMessage::PlaceAnswer { token: 8, verdict: Err(refusal), turn }
    };
    let bytes = postcard::to_stdvec(&answer(ReturnTurn::Appointed)).expect("bytes");
    assert_eq!(postcard::from_bytes(&bytes), Ok(answer(ReturnTurn::Appointed)));
    // The turn is the last field, and takes one byte.
    let earlier = &bytes[..bytes.len() - 1];
    assert_eq!(postcard::from_bytes(earlier), Ok(answer(ReturnTurn::Unknown)));
}

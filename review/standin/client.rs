//! Clients: each request asks the directory, opens a connection of its own and reads the whole answer.

use std::io::BufReader;
use std::net::SocketAddr;
use std::time::Duration;

use crate::http::{self, Answer};
use crate::world::{random, Record, KEY};

/// A kind of request.
#[derive(Clone, Copy)]
pub struct Kind {
    pub line: &'static str,
    pub deadline_ms: u64,
    /// The token counts and the parts of the prompt; empty for plain requests.
    pub prompt: &'static str,
    /// The longest pause that a client waits for.
    pub patience: Duration,
}

/// A short draft: the longest of two seconds, four objectives of 300 ms and eight pauses of 500 ms.
pub const NOTA: Kind = Kind {
    line: "POST /nota/2f",
    deadline_ms: 10_000,
    prompt: "X-Model: m\r\nX-Token-Usage: 5000,552\r\nX-Prompt-Prefix: 5c1e07a2:40,",
    patience: Duration::from_millis(4_000),
};

/// An answer with the id of its request.
pub struct Outcome {
    pub request: String,
    pub front: SocketAddr,
    pub answer: Result<Answer, String>,
}

pub fn new_id() -> String {
    format!("{:016x}", random())
}

/// Sends one request to a front and reads the answer.
pub fn ask(record: &Record, front: SocketAddr, kind: Kind, request: &str) -> Outcome {
    let Kind { line, deadline_ms, prompt, patience } = kind;
    let prompt = if prompt.is_empty() {
        String::new()
    } else {
        format!("{prompt}{:x}:4960\r\n", random() >> 32)
    };
    let body = format!("prompt {request}");
    let message = format!(
        "{line} HTTP/1.1\r\nHost: notas.example\r\nX-Request-Id: {request}\r\n\
         X-Request-Deadline: {deadline_ms}\r\nAuthorization: Token {KEY}\r\n{prompt}\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    record.write(&format!("client: sends {request} ({line}) to {front}"));
    let sent = http::send(front, message.as_bytes(), Duration::from_secs(1), patience);
    let answer = sent
        .and_then(|stream| http::read_answer(&mut BufReader::new(stream)))
        .map_err(|error| error.to_string());
    let text = match &answer {
        Ok(a) => format!(
            "{}, ends by {}, {}, {} bytes{}{}",
            a.status,
            a.ends_by,
            if a.is_complete { "complete" } else { "not complete" },
            a.body.len(),
            if a.problem.is_empty() { "" } else { ", " },
            a.problem
        ),
        Err(error) => format!("no answer: {error}"),
    };
    record.write(&format!("client: {request} gets {text}"));
    Outcome { request: request.to_owned(), front, answer }
}

/// Returns the ids of the events of a stream, in order.
pub fn event_ids(body: &[u8]) -> Vec<u64> {
    let text = String::from_utf8_lossy(body);
    text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect()
}

/// Counts the streams that ended as complete: those with all events in order, and the others, which break the rule.
pub fn judge_streams(record: &Record, outcomes: &[Outcome], events: u64) -> (usize, usize) {
    let all: Vec<u64> = (1..=events).collect();
    let (mut whole, mut broken) = (0, 0);
    for Outcome { request, front, answer } in outcomes {
        let Ok(answer) = answer else { continue };
        if answer.status != 200 || !answer.is_complete {
            continue;
        }
        let ids = event_ids(&answer.body);
        if ids == all {
            whole += 1;
        } else {
            broken += 1;
            record.show(&format!(
                "BROKEN: {request} by {front} ended as complete with the events {ids:?} of 1 to {events}"
            ));
        }
    }
    record.show(&format!(
        "{} requests, {whole} answered whole, {broken} ended as complete before their last event",
        outcomes.len()
    ));
    (whole, broken)
}

//! A gateway passes a request on through another one, since a server has broken off an answer shortly
//! before. The other gateway is killed in the middle of the answer and started again at once.

use std::path::Path;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::client::{is_cut_success, send};
use crate::world::{Record, World, ZONES};

const ROUNDS: u32 = 3;

/// How soon the platform starts a process again that was killed.
const RESTART_DELAY: Duration = Duration::from_millis(20);

/// The number of requests after which an answer has been lost. Without losses all are answered.
const MAX_QUICK_REQUESTS: u32 = 8;

/// The gateway that takes the requests.
const ENTRY: u8 = 0;

/// The gateway in the server's zone, which is asked for a tunnel first.
const RELAY: u8 = 1;

/// Returns the exit code of the case.
pub fn run(folder: &Path, is_troubled: bool) -> i32 {
    let record = Record::create(&folder.join("record.txt"));
    let mut world = World::start(record.clone(), 3);
    if !world.put_config(ENTRY, &crate::client::config(), Duration::from_secs(20))
        || !world.wait_until_ready()
    {
        record.line("the system did not start");
        return 2;
    }
    let log = world.folder.join("servers.log");
    let mode = if is_troubled { "loses" } else { "sound" };
    for (number, mode) in [(1, mode), (2, "sound")] {
        let address = world.other_address(number, 8_120).to_string();
        let control = world.control(2).to_string();
        let zone = ZONES[usize::from(RELAY)];
        let id = format!("i-0{number}");
        let arguments = ["server", &id, "portal", &address, zone, &control, mode];
        world.start_standin(&arguments.map(str::to_owned), &log);
        record.line(format!("server {id} starts at {address} in {zone}"));
    }
    sleep(Duration::from_millis(2_500));
    let (mut is_broken, mut has_run) = (false, false);
    for round in 0..ROUNDS {
        let to = world.callers(ENTRY);
        for number in 0..MAX_QUICK_REQUESTS {
            let answer = send(&record, to, &format!("quick-{round}-{number}"), "/book/quick");
            if answer.is_some_and(|answer| answer.status == 502) {
                break;
            }
        }
        let request = format!("slow-{round}");
        let answer = {
            let (record, request) = (record.clone(), request.clone());
            spawn(move || send(&record, to, &request, "/book/slow"))
        };
        if !wait_for_line(&log, &format!(" half {request}")) {
            record.line(format!("{request} did not reach the server"));
        } else if is_troubled {
            record.line(format!(
                "gateway {RELAY} is killed in the middle of the answer to {request}"
            ));
            world.kill_gateway(RELAY);
            sleep(RESTART_DELAY);
            world.start_gateway(RELAY);
            record.line(format!("gateway {RELAY} starts again"));
        }
        let answer = answer.join().expect("the client's thread");
        has_run |= answer.is_some();
        is_broken |= answer.is_some_and(|answer| is_cut_success(&answer));
        sleep(Duration::from_millis(5_500));
    }
    record.line(std::fs::read_to_string(&log).unwrap_or_default());
    if !has_run {
        record.line("no request was answered");
        return 2;
    }
    record.line(if is_broken { "MIXED is broken" } else { "the rule held" });
    i32::from(is_broken)
}

fn wait_for_line(log: &Path, line: &str) -> bool {
    let until = Instant::now() + Duration::from_secs(3);
    while Instant::now() < until {
        if std::fs::read_to_string(log).unwrap_or_default().contains(line) {
            return true;
        }
        sleep(Duration::from_millis(5));
    }
    false
}

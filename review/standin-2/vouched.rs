//! A server crashes in the middle of an answer that ends with its connection, while the gateway that
//! passes the answer on is cut off from the others. A heartbeat that the server sent before its crash
//! arrives after it.

use std::path::Path;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::client::{config, is_cut_success, send};
use crate::links::LatePath;
use crate::world::{Record, World, ZONES};

const ROUNDS: u32 = 3;

/// How long the server's heartbeats take. A server's heartbeat may arrive seconds late; these are
/// still acknowledged within a second.
const HEARTBEAT_DELAY: Duration = Duration::from_millis(900);

/// The gateway that is cut off.
const CUT: u8 = 2;

/// Returns the exit code of the case.
pub fn run(folder: &Path, is_troubled: bool) -> i32 {
    let record = Record::create(&folder.join("record.txt"));
    let mut world = World::start(record.clone(), 3);
    if !world.put_config(0, &config(), Duration::from_secs(20)) || !world.wait_until_ready() {
        record.line("the system did not start");
        return 2;
    }
    let late = LatePath::start(
        world.other_address(40, 8_229),
        world.control(CUT),
        HEARTBEAT_DELAY,
        record.clone(),
    );
    let log = world.folder.join("servers.log");
    for number in [0, 1] {
        let control = world.control(number).to_string();
        start_server(&mut world, &format!("i-0{number}"), number, &control, &log);
    }
    let mut is_broken = false;
    let mut cases_run = 0;
    for round in 0..ROUNDS {
        let id = format!("i-2{round}");
        let control = world.other_address(40, 8_229).to_string();
        let process = start_server(&mut world, &id, CUT, &control, &log);
        sleep(Duration::from_millis(2_500));
        if is_troubled {
            world.set_cut(CUT, true);
            record.line(format!("gateway {CUT} is cut off from the others"));
            sleep(Duration::from_millis(200));
        }
        wait_for_beat(&late);
        let request = format!("r-{round}");
        let answer = {
            let (to, request, record) = (world.callers(CUT), request.clone(), record.clone());
            spawn(move || send(&record, to, &request, "/book/slow"))
        };
        let has_begun = wait_for_line(&log, &format!("{id} half {request}"));
        if is_troubled {
            world.kill_standin(process);
            record.line(format!("server {id} crashes in the middle of its answer to {request}"));
        }
        let outcome = answer.join().expect("the client's thread");
        if is_troubled {
            // Shorter than the longest cut of a day.
            world.set_cut(CUT, false);
            record.line(format!("gateway {CUT} is joined to the others again"));
            sleep(Duration::from_millis(3_000));
        } else {
            world.kill_standin(process);
            sleep(Duration::from_millis(500));
        }
        cases_run += u32::from(has_begun);
        is_broken |= outcome.is_some_and(|answer| is_cut_success(&answer));
    }
    record.line(std::fs::read_to_string(&log).unwrap_or_default());
    if cases_run == 0 {
        record.line("no request reached the server that was to crash");
        return 2;
    }
    record.line(if is_broken { "MIXED is broken" } else { "the rule held" });
    i32::from(is_broken)
}

fn start_server(world: &mut World, id: &str, number: u8, control: &str, log: &Path) -> u32 {
    let address = world.other_address(number, 8_120).to_string();
    let zone = ZONES[usize::from(number)];
    let arguments = ["server", id, "portal", &address, zone, control, "sound"].map(str::to_owned);
    world.record.line(format!("server {id} starts at {address} in {zone}"));
    world.start_standin(&arguments, log)
}

/// Waits until a heartbeat has just been sent.
fn wait_for_beat(late: &LatePath) {
    let until = Instant::now() + Duration::from_secs(3);
    while Instant::now() < until {
        let sent = *late.last_sent.lock().expect("the time");
        if sent.is_some_and(|at| at.elapsed() < Duration::from_millis(20)) {
            return;
        }
        sleep(Duration::from_millis(2));
    }
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

//! A machine of the core loses its disk while the system starts for the first time, and is back a second later.
//! More than `catchUpS` after that, the first configuration is acknowledged, and right afterwards the machine that
//! leads the core loses its disk. No two machines are lost at once.
//!
//! With `VARIANT=dark`, the first machine keeps its disk and is without power for fourteen seconds instead.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::world::{configuration, Record, World};

/// The machine that is lost first, and how long after its start.
const FIRST: usize = 2;
const FIRST_AFTER: Duration = Duration::from_millis(200);
/// How long it is away.
const AWAY_FOR: Duration = Duration::from_millis(1_000);
const DARK_FOR: Duration = Duration::from_secs(14);
/// `catchUpS`: a machine counts as lost for so long after it is back.
const CATCH_UP: Duration = Duration::from_secs(4);
/// How long the machine that loses its disk is away.
const WIPED_FOR: Duration = Duration::from_secs(3);
/// `recoveryS`, and how long the operator reads then, which is longer than `stableWindowMs`.
const RECOVERY: Duration = Duration::from_secs(12);
const READING: Duration = Duration::from_secs(10);
const VERSION: u64 = 7;

pub fn run(record: Record, folder: &Path, first: bool, second: bool) -> i32 {
    let stays_dark = std::env::var("VARIANT").is_ok_and(|variant| variant == "dark");
    let mut world = World::new(record.clone(), folder, 6);
    let began = Instant::now();
    let until = |at: Duration| thread::sleep(at.saturating_sub(began.elapsed()));
    world.start_gateways();
    if first {
        until(FIRST_AFTER);
        world.kill_gateway(FIRST);
        if stays_dark {
            record.show(&format!("gateway {FIRST} is without power; its disk stays as it is"));
        } else {
            wipe(&record, folder, FIRST);
            until(FIRST_AFTER + AWAY_FOR);
            world.start_gateway(FIRST, false);
            record.show(&format!("gateway {FIRST} is back with an empty disk"));
        }
    }
    let Some(by) = put(&world, began, VERSION, Duration::from_secs(13)) else {
        record.show("the first configuration was not acknowledged in 13 s");
        return 2;
    };
    if second {
        let Some(leader) = world.leader() else {
            record.show("no machine says that it leads the core");
            return 2;
        };
        world.kill_gateway(leader);
        wipe(&record, folder, leader);
        let since_back = began.elapsed().saturating_sub(FIRST_AFTER + AWAY_FOR);
        if first && !stays_dark && since_back < CATCH_UP {
            record
                .show("the first machine still counts as lost, so the second loss comes too early");
            return 2;
        }
        thread::sleep(WIPED_FOR);
        world.start_gateway(leader, false);
        record.show(&format!("gateway {leader} is back with an empty disk"));
    }
    if first && stays_dark {
        until(FIRST_AFTER + DARK_FOR);
        world.start_gateway(FIRST, false);
        record.show(&format!("gateway {FIRST} is back with its disk"));
    }
    thread::sleep(RECOVERY);
    let reading = Instant::now();
    let (mut reads, mut good) = (0, 0);
    while reading.elapsed() < READING {
        for number in 0..world.count() {
            let answer =
                http::call(world.control(number), "GET", "/v1/config", "", Duration::from_secs(1));
            reads += 1;
            let is_good = answer.as_ref().is_some_and(|(status, text)| {
                *status == 200 && text.contains(&format!("\"version\":{VERSION},"))
            });
            good += u32::from(is_good);
            let text = answer.map_or("no answer".to_owned(), |(status, text)| {
                format!("{status}, {} bytes", text.len())
            });
            record.write(&format!("operator: GET /v1/config from gateway {number} gets {text}"));
        }
        thread::sleep(Duration::from_millis(300));
    }
    let ready = (0..world.count()).filter(|number| world.is_ready(*number)).count();
    record.show(&format!(
        "version {VERSION} was acknowledged by gateway {by}; {good} of {reads} reads bring it back; \
         {ready} of {} gateways are ready",
        world.count()
    ));
    i32::from(good == 0)
}

fn wipe(record: &Record, folder: &Path, number: usize) {
    let _ = std::fs::remove_dir_all(folder.join(format!("disk-{number}")));
    record.show(&format!("gateway {number} has lost its disk"));
}

/// Sends a configuration to the machines in turn, until it is acknowledged. Returns by which.
fn put(world: &World, began: Instant, version: u64, limit: Duration) -> Option<usize> {
    let document = configuration(version);
    let mut number = 1;
    while began.elapsed() < limit {
        let answer = http::call(
            world.control(number),
            "PUT",
            "/v1/config",
            &document,
            Duration::from_secs(1),
        );
        let text = answer.as_ref().map_or("no answer".to_owned(), |(status, _)| status.to_string());
        world
            .record
            .write(&format!("operator: PUT version {version} to gateway {number} gets {text}"));
        if answer.is_some_and(|(status, _)| status == 200) {
            let ms = began.elapsed().as_millis();
            world.record.show(&format!(
                "gateway {number} acknowledges version {version}, {ms} ms after the start"
            ));
            return Some(number);
        }
        number = (number + 1) % world.count();
    }
    None
}

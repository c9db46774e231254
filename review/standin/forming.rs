//! A machine of the core loses its disk a second after the system has started for the first time, and is back three
//! seconds later with an empty disk.
//!
//! With `VARIANT=kill`, its process is only killed and started again.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::world::{configuration, Record, World};

const LOST: usize = 2;
const LOST_AFTER: Duration = Duration::from_millis(1_000);
const AWAY_FOR: Duration = Duration::from_secs(3);
/// `stableWindowMs` and `ackMs`.
const STABLE: Duration = Duration::from_secs(3);
const ACK: Duration = Duration::from_secs(4);
/// How long the operator sends the first configuration.
const PATIENCE: Duration = Duration::from_secs(60);

pub fn run(record: Record, folder: &Path, trouble: bool) -> i32 {
    let millis = |name: &str, usual: Duration| {
        let given = std::env::var(name).ok().and_then(|ms| ms.parse().ok());
        given.map_or(usual, Duration::from_millis)
    };
    let is_kill = std::env::var("VARIANT").is_ok_and(|variant| variant == "kill");
    let mut world = World::new(record.clone(), folder, 6);
    let began = Instant::now();
    let until = |at: Duration| thread::sleep(at.saturating_sub(began.elapsed()));
    world.start_gateways();
    let mut back = Duration::ZERO;
    if trouble {
        let lost_after = millis("LOST_AFTER_MS", LOST_AFTER);
        until(lost_after);
        world.kill_gateway(LOST);
        if !is_kill {
            let _ = std::fs::remove_dir_all(folder.join(format!("disk-{LOST}")));
            record.show(&format!("gateway {LOST} has lost its disk"));
        }
        back = lost_after + millis("AWAY_MS", AWAY_FOR);
        until(back);
        world.start_gateway(LOST, false);
        record.show(&format!("gateway {LOST} is back, {back:?} after the start of the system"));
    }
    let document = configuration(7);
    let mut number = 0;
    while began.elapsed() < PATIENCE {
        let to = world.control(number);
        let answer = http::call(to, "PUT", "/v1/config", &document, Duration::from_secs(1));
        let text = answer.as_ref().map_or("no answer".to_owned(), |(status, _)| status.to_string());
        record.write(&format!("operator: PUT /v1/config to gateway {number} gets {text}"));
        if answer.is_some_and(|(status, _)| status == 200) {
            let at = began.elapsed();
            record.show(&format!("gateway {number} acknowledges {at:?} after the start"));
            return i32::from(at > back + STABLE + ACK);
        }
        number = (number + 1) % world.count();
    }
    let ready = (0..world.count()).filter(|number| world.is_ready(*number)).count();
    record.show(&format!(
        "never acknowledged in {PATIENCE:?}; due {:?} after the start; {ready} of {} gateways are ready",
        back + STABLE + ACK,
        world.count()
    ));
    1
}

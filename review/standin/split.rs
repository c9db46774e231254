//! One machine of the core is cut off from the two others for the first seven seconds of the system, while the
//! operator sends the first configuration until it is acknowledged. After the cut, the operator reads it back.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::proxy::Cut;
use crate::world::{configuration, Record, World};

const CUT_MACHINE: usize = 0;
const CUT_FOR: Duration = Duration::from_millis(7_000);
/// When the operator begins to send, and when it sends again in vain at the latest.
const FIRST_PUT: Duration = Duration::from_millis(300);
const LAST_PUT: Duration = Duration::from_secs(20);
/// `recoveryS`, which is more than `stableWindowMs` and `configMs`, and how long the operator reads then.
const RECOVERY: Duration = Duration::from_secs(12);
const READING: Duration = Duration::from_secs(10);
const VERSION: u64 = 7;

pub fn run(record: Record, folder: &Path, trouble: bool) -> i32 {
    let mut world = World::new(record.clone(), folder, 6);
    let others =
        (0..3).filter(|number| *number != CUT_MACHINE).map(|number| world.gateway_ip(number));
    let cut = Cut::new(world.gateway_ip(CUT_MACHINE), others.collect());
    world.link_peers(&cut);
    cut.set(trouble);
    let began = Instant::now();
    world.start_gateways();
    if trouble {
        record.show(&format!("gateway {CUT_MACHINE} is cut off from gateways 1 and 2"));
    }
    let healing = cut.clone();
    let noting = record.clone();
    let healed = thread::spawn(move || {
        thread::sleep(CUT_FOR.saturating_sub(began.elapsed()));
        healing.set(false);
        noting.show("no link is cut any more");
    });
    thread::sleep(FIRST_PUT.saturating_sub(began.elapsed()));
    let Some(by) = put(&world, began) else {
        record.show("the first configuration was not acknowledged");
        return 2;
    };
    let _ = healed.join();
    thread::sleep(RECOVERY);
    let (mut reads, mut good) = (0, 0);
    let reading = Instant::now();
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

/// Sends the configuration to the machines in turn, a second each, until it is acknowledged. Returns by which.
fn put(world: &World, began: Instant) -> Option<usize> {
    let document = configuration(VERSION);
    let mut number = 0;
    while began.elapsed() < LAST_PUT {
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
            .write(&format!("operator: PUT version {VERSION} to gateway {number} gets {text}"));
        if answer.is_some_and(|(status, _)| status == 200) {
            let ms = began.elapsed().as_millis();
            world.record.show(&format!(
                "gateway {number} acknowledges version {VERSION}, {ms} ms after the start"
            ));
            return Some(number);
        }
        number = (number + 1) % world.count();
    }
    None
}

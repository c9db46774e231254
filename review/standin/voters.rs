//! A core of six machines, of which two may be lost at once. One is without power for some seconds; later another one
//! loses its disk; later still, right after an acknowledgement, two more lose their disks. All are soon back, and each
//! loss comes after those before it count as made good.
//!
//! With `VARIANT=final`, only the last loss happens; with `VARIANT=wipes`, all but the first one.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::world::{configuration, Record, World};

const DISKS: usize = 6;
const TOLERATED: usize = 2;
/// How long the machines are away: the first, the second, and the last two.
const POWER_OUT: Duration = Duration::from_millis(3_000);
const DISK_OUT: Duration = Duration::from_millis(3_000);
const LAST_OUT: Duration = Duration::from_millis(1_500);
/// `catchUpS`, and a margin: a machine that has been back for so long is no longer lost.
const CAUGHT_UP: Duration = Duration::from_millis(7_000);
/// `recoveryS`, and how long the operator reads then.
const RECOVERY: Duration = Duration::from_secs(15);
const READING: Duration = Duration::from_secs(10);

pub fn run(record: Record, folder: &Path, trouble: bool) -> i32 {
    let variant = std::env::var("VARIANT").unwrap_or_default();
    let mut world = World::new(record.clone(), folder, 9).with_disks(DISKS, TOLERATED);
    world.start_gateways();
    if put(&world, 7).is_none() || !world.wait_until_ready() {
        record.show("the gateways did not start");
        return 2;
    }
    // First two machines that follow are lost, then the leader and one that was not lost before.
    let mut lost: Vec<usize> = Vec::new();
    if trouble && variant != "final" {
        if variant != "wipes" {
            let Some(first) = follower(&world, &lost) else { return 2 };
            world.kill_gateway(first);
            thread::sleep(POWER_OUT);
            world.start_gateway(first, false);
            record.show(&format!("gateway {first} has its power back, and its disk as it was"));
            lost.push(first);
            thread::sleep(CAUGHT_UP);
        }
        let Some(second) = follower(&world, &lost) else { return 2 };
        world.kill_gateway(second);
        wipe(&record, folder, second);
        thread::sleep(DISK_OUT);
        world.start_gateway(second, false);
        record.show(&format!("gateway {second} is back with an empty disk"));
        lost.push(second);
        thread::sleep(CAUGHT_UP);
    }
    let Some((by, at)) = put(&world, 8) else {
        record.show("version 8 was not acknowledged");
        return 2;
    };
    if trouble {
        let Some(leader) = world.leader() else { return 2 };
        lost.push(leader);
        let others: Vec<usize> = (0..DISKS).filter(|number| !lost.contains(number)).collect();
        let last = [leader, others[0]];
        for number in last {
            world.kill_gateway(number);
        }
        record.show(&format!("{} ms after the acknowledgement", at.elapsed().as_millis()));
        last.iter().for_each(|number| wipe(&record, folder, *number));
        thread::sleep(LAST_OUT);
        last.iter().for_each(|number| world.start_gateway(*number, false));
        record.show(&format!("gateways {last:?} are back with empty disks"));
    }
    thread::sleep(RECOVERY);
    let (mut reads, mut good) = (0, 0);
    let reading = Instant::now();
    while reading.elapsed() < READING {
        for number in 0..world.count() {
            let answer =
                http::call(world.control(number), "GET", "/v1/config", "", Duration::from_secs(1));
            reads += 1;
            let is_good = answer
                .as_ref()
                .is_some_and(|(status, text)| *status == 200 && text.contains("\"version\":8,"));
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
        "version 8 was acknowledged by gateway {by}; {good} of {reads} reads bring it back; {ready} of {} \
         gateways are ready",
        world.count()
    ));
    i32::from(good == 0)
}

/// Returns a machine of the core that neither leads nor was lost before.
fn follower(world: &World, lost: &[usize]) -> Option<usize> {
    let leader = world.leader()?;
    (0..DISKS).find(|number| *number != leader && !lost.contains(number))
}

fn wipe(record: &Record, folder: &Path, number: usize) {
    let _ = std::fs::remove_dir_all(folder.join(format!("disk-{number}")));
    record.show(&format!("gateway {number} has lost its disk"));
}

/// Sends a configuration to the machines in turn, until it is acknowledged. Returns by which, and when.
fn put(world: &World, version: u64) -> Option<(usize, Instant)> {
    let document = configuration(version);
    for attempt in 0..60 {
        let number = attempt % world.count();
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
            world.record.show(&format!("gateway {number} acknowledges version {version}"));
            return Some((number, Instant::now()));
        }
    }
    None
}

//! All gateways of a larger system are killed at the same moment and are back a second later.

use std::path::Path;
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{self, NOTA};
use crate::world::{configuration, Record, World, ZONES};

pub fn run(record: Record, folder: &Path, trouble: bool) -> i32 {
    let count = std::env::var("COUNT").ok().and_then(|n| n.parse().ok()).unwrap_or(90);
    let mut world = World::new(record.clone(), folder, count);
    world.start_gateways();
    if !world.configure(&configuration(7)) || !world.wait_until_ready() {
        record.show("the gateways did not start");
        return 2;
    }
    let (said, _heard) = channel();
    let _servers: Vec<_> = (0..10)
        .map(|n| {
            let options = [
                ("id", format!("i-engine{n}")),
                ("service", "redator".to_owned()),
                ("address", world.server_address(n + 20).to_string()),
                ("zone", ZONES[n % 3].to_owned()),
                ("engine", "1".to_owned()),
                ("events", "3".to_owned()),
                ("gap", "50".to_owned()),
                ("unframed", "0".to_owned()),
            ];
            world.start_server(&options, &said)
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    if trouble {
        (0..count).for_each(|number| world.kill_gateway(number));
        thread::sleep(Duration::from_secs(1));
        (0..count).for_each(|number| world.start_gateway(number, false));
    }
    let back = Instant::now();
    let (mut sent, mut served, mut late_sent, mut late_served) = (0, 0, 0, 0);
    let mut first = None;
    while back.elapsed() < Duration::from_secs(30) {
        let at = back.elapsed();
        let answer = world.resolve().map(|front| client::ask(&record, front, NOTA, &client::new_id()));
        let is_served =
            answer.is_some_and(|a| a.answer.is_ok_and(|a| a.status == 200 && a.is_complete));
        sent += 1;
        served += u32::from(is_served);
        if is_served && first.is_none() {
            first = Some(at);
        }
        if at > Duration::from_secs(12) {
            late_sent += 1;
            late_served += u32::from(is_served);
        }
        thread::sleep(Duration::from_millis(100));
    }
    record.show(&format!(
        "{count} gateways: first served {first:?} after they were back; {served} of {sent} in 30 s, \
         {late_served} of {late_sent} after 12 s"
    ));
    i32::from(late_served * 4 < late_sent)
}

//! A model server is cut off from all machines while it writes an answer that has neither a length nor chunks,
//! crashes behind the cut and starts again; what it had sent, and the end of its connection, arrive after the cut.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::client::{self, Outcome, NOTA};
use crate::link::Link;
use crate::world::{configuration, wait_for, Record, World, ZONES};

const SERVERS: usize = 6;
const EVENTS: u64 = 12;
const GAP_MS: u64 = 300;
/// Each of three of the six servers gives its twentieth answer without a length.
const UNFRAMED: u64 = 20;
/// How long the server is cut off.
const CUT: Duration = Duration::from_millis(1_700);

pub fn run(record: Record, folder: &Path, trouble: bool) -> i32 {
    let mut world = World::new(record.clone(), folder, 6);
    world.start_gateways();
    if !world.configure(&configuration(7)) || !world.wait_until_ready() {
        record.show("the gateways did not start");
        return 2;
    }
    let (said, heard) = channel();
    // Each server has links of its own: from the machines to it, and from it to the machines.
    let links: Vec<Link> = (0..SERVERS).map(|_| Link::default()).collect();
    let start = |n: usize, id: String, unframed: u64| {
        let options = [
            ("id", id),
            ("service", "redator".to_owned()),
            ("address", world.server_behind_link(n).to_string()),
            ("announced", world.server_address(n).to_string()),
            ("zone", ZONES[n % 3].to_owned()),
            ("engine", "1".to_owned()),
            ("events", EVENTS.to_string()),
            ("gap", GAP_MS.to_string()),
            ("unframed", unframed.to_string()),
        ];
        let controls: Vec<String> =
            (0..3).map(|g| world.link_to_control(n, g).to_string()).collect();
        world.start_server_with(&options, &controls.join(","), &said)
    };
    for (n, link) in links.iter().enumerate() {
        link.pass(world.server_address(n), world.server_behind_link(n));
        (0..3).for_each(|g| link.pass(world.link_to_control(n, g), world.control(g)));
    }
    let mut servers: Vec<_> = (0..SERVERS)
        .map(|n| start(n, format!("i-engine{n}"), if n < 3 { UNFRAMED } else { 0 }))
        .collect();
    thread::sleep(Duration::from_millis(2_000));
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let is_over = AtomicBool::new(false);
    let mut has_begun = false;
    thread::scope(|scope| {
        scope.spawn(|| {
            // Six requests a second.
            while !is_over.load(Ordering::SeqCst) {
                let (world, record, outcomes) = (&world, &record, Arc::clone(&outcomes));
                scope.spawn(move || {
                    let Some(front) = world.resolve() else { return };
                    let outcome = client::ask(record, front, NOTA, &client::new_id());
                    outcomes.lock().expect("outcomes").push(outcome);
                });
                thread::sleep(Duration::from_millis(166));
            }
        });
        let begun = wait_for(&heard, Duration::from_secs(60), |line| {
            line.starts_with("runs ") && line.ends_with(" connection")
        });
        if let Some(line) = begun {
            has_begun = true;
            let id = line.split(' ').nth(1).unwrap_or_default().to_owned();
            let n = servers.iter().position(|server| server.id == id).expect("a server");
            record.show(&line);
            thread::sleep(Duration::from_millis(1_000));
            if trouble {
                record.show(&format!("{id} is cut off from all machines"));
                links[n].cut();
                thread::sleep(Duration::from_millis(400));
                servers[n].kill();
                thread::sleep(Duration::from_millis(300));
                servers[n] = start(n, format!("i-again{n}"), 0);
                thread::sleep(CUT - Duration::from_millis(700));
                links[n].heal();
                record.show("the cut has healed");
            }
        }
        thread::sleep(Duration::from_millis(5_000));
        is_over.store(true, Ordering::SeqCst);
    });
    let outcomes = outcomes.lock().expect("outcomes");
    let (whole, broken) = client::judge_streams(&record, &outcomes, EVENTS);
    if !has_begun || whole < 20 {
        return 2;
    }
    i32::from(broken > 0)
}

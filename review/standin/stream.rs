//! A model server is gone two seconds after it has said that it leaves, while it writes an answer that has
//! neither a length nor chunks.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::client::{self, Outcome, NOTA};
use crate::world::{configuration, wait_for, Record, World, ZONES};

const SERVERS: usize = 5;
const EVENTS: u64 = 12;
const GAP_MS: u64 = 300;
/// Each of three of the five servers gives its twentieth answer without a length: 60 % of the servers, 5 % of
/// their answers.
const UNFRAMED: u64 = 20;
/// The time from the notice to the end, as `scale_in` with `spot` has it.
const NOTICE: Duration = Duration::from_millis(2_000);

pub fn run(record: Record, folder: &Path, trouble: bool) -> i32 {
    let mut world = World::new(record.clone(), folder, 6);
    world.start_gateways();
    if !world.configure(&configuration(7)) || !world.wait_until_ready() {
        record.show("the gateways did not start");
        return 2;
    }
    let (said, heard) = channel();
    let mut servers: Vec<_> = (0..SERVERS)
        .map(|n| {
            let options = [
                ("id", format!("i-engine{n}")),
                ("service", "redator".to_owned()),
                ("address", world.server_address(n).to_string()),
                ("zone", ZONES[n % 3].to_owned()),
                ("engine", "1".to_owned()),
                ("events", EVENTS.to_string()),
                ("gap", GAP_MS.to_string()),
                ("unframed", if n < 3 { UNFRAMED } else { 0 }.to_string()),
            ];
            world.start_server(&options, &said)
        })
        .collect();
    thread::sleep(Duration::from_millis(2_000));
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let is_over = AtomicBool::new(false);
    let mut victim = None;
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
            let id = line.split(' ').nth(1).unwrap_or_default().to_owned();
            let server = servers.iter_mut().find(|server| server.id == id).expect("a server");
            record.show(&line);
            if trouble {
                // With `TROUBLE=crash`, the server ends without a notice, for comparison.
                if !std::env::var("TROUBLE").is_ok_and(|value| value == "crash") {
                    server.tell("drain");
                    wait_for(&heard, Duration::from_secs(5), |line| line.starts_with("draining "));
                }
                thread::sleep(NOTICE);
                server.kill();
            } else {
                server.tell("leave");
                wait_for(&heard, Duration::from_secs(20), |line| line.starts_with("left "));
            }
            victim = Some(line);
        }
        thread::sleep(Duration::from_millis(3_000));
        is_over.store(true, Ordering::SeqCst);
    });
    let outcomes = outcomes.lock().expect("outcomes");
    let (whole, broken) = client::judge_streams(&record, &outcomes, EVENTS);
    if victim.is_none() || whole < 20 {
        return 2;
    }
    i32::from(broken > 0)
}

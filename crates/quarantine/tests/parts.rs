//! Tests of the quarantine of parts of prompts.

use std::time::{Duration, Instant};

use oriolepass_quarantine::{
    InterruptedRun, PartDigest, PartIdentity, QuarantineTable, RequestDigest, RequestIdentity,
    Standing,
};
use oriolepass_units::{AccountId, EndpointStart, MonotonicTime, ServiceName};

const BEGIN: MonotonicTime = MonotonicTime(1_000_000_000_000);

fn part(account: Option<&AccountId>, name: &str) -> PartDigest {
    let service: ServiceName = "writers".parse().expect("a service");
    let part = name.parse().expect("a part");
    PartIdentity { account, service: &service, part: &part }.digest()
}

fn request(number: u64) -> RequestDigest {
    let path = format!("/{number}");
    RequestIdentity { account: None, method: "POST", host: "h", path: &path, body: b"" }.digest()
}

fn at(ms: u64) -> MonotonicTime {
    BEGIN + Duration::from_millis(ms)
}

/// Records that an engine ended 100 ms after it had begun to answer a prompt with these parts.
fn end(table: &mut QuarantineTable, ms: u64, request: RequestDigest, parts: &[PartDigest]) {
    let endpoint: EndpointStart = format!("e{ms}").parse().expect("an endpoint");
    let run = |ms_run| InterruptedRun {
        endpoint: endpoint.clone(),
        seen: at(ms),
        duration: Some(Duration::from_millis(ms_run)),
    };
    table.record_interrupted_run(at(ms), request, &run(300));
    if table.accuses_parts(request) {
        for part in parts {
            table.record_interrupted_run(at(ms), *part, &run(100));
        }
    }
}

fn is_refused(table: &QuarantineTable, ms: u64, parts: &[PartDigest]) -> bool {
    matches!(table.prompt_standing(at(ms), parts).0, Standing::Quarantined { .. })
}

/// Returns a table in which `parts` came together at five ends, 300 ms apart, of five requests.
fn table_with_ends(parts: &[PartDigest]) -> QuarantineTable {
    let mut table = QuarantineTable::default();
    (0..5).for_each(|number| end(&mut table, number * 300, request(number), parts));
    table
}

/// Guards against the refusal of all prompts with a first part that came with a fatal one.
#[test]
fn parts_that_always_came_together_are_refused_only_together() {
    let (first, fatal, other) = (part(None, "first"), part(None, "fatal"), part(None, "other"));
    let mut table = table_with_ends(&[first, fatal]);
    assert!(is_refused(&table, 4_000, &[first, fatal]));
    assert!(is_refused(&table, 4_000, &[first, other, fatal]));
    assert!(!is_refused(&table, 4_000, &[first, other]));
    assert!(!is_refused(&table, 4_000, &[fatal]));
    table.record_complete_run(at(4_100), first, Duration::from_millis(500));
    assert!(is_refused(&table, 4_200, &[fatal]), "the other part is left as the cause");
    assert!(!is_refused(&table, 4_200, &[first]));
}

/// Guards against the refusal of prompts with a sound part whose engines are known to have ended only seconds
/// later, although prompts with it were answered in the meantime.
#[test]
fn a_complete_run_clears_a_part_of_earlier_ends_that_become_known_later() {
    let (sound, fatal) = (part(None, "sound"), part(None, "fatal"));
    let mut table = QuarantineTable::default();
    let other = table_with_ends(&[sound, fatal]);
    assert_eq!(table.record_complete_part(at(1_250), sound, Duration::from_millis(400)), None);
    for case in other.part_updates(at(3_000)) {
        table.merge(at(3_000), &case);
    }
    assert!(table.clear_by_recent_run(at(3_000), sound).is_some());
    assert!(table.clear_by_recent_run(at(3_000), sound).is_none(), "nothing is left to clear");
    assert!(table.clear_by_recent_run(at(3_000), fatal).is_none());
    assert!(is_refused(&table, 4_000, &[fatal]));
    assert!(!is_refused(&table, 4_000, &[sound]));
    assert_eq!(table.open_end_count(fatal), 5);
    assert_eq!(table.open_end_count(sound), 0, "the last end was at 1,200 ms");
    end(&mut table, 1_400, request(9), &[sound]);
    assert!(table.clear_by_recent_run(at(3_000), sound).is_none(), "an end after the run");
    assert_eq!(table.open_end_count(sound), 1);
}

/// Guards against sound prompts that are refused because one request with the same parts is fatal.
#[test]
fn ends_of_one_request_accuse_no_part() {
    let mut table = QuarantineTable::default();
    let shared = part(None, "shared");
    (0..6).for_each(|number| end(&mut table, number * 300, request(1), &[shared]));
    assert!(!is_refused(&table, 5_000, &[shared]));
    assert!(matches!(table.standing(at(5_000), request(1)), Standing::Quarantined { .. }));
}

/// Guards against the refusal of sound prompts for a part that a fatal request shares with a prompt
/// with a fatal part: the part explains the ends of both.
#[test]
fn ends_of_a_fatal_request_accuse_no_part_that_has_other_ends() {
    for others in 1..9 {
        let (shared, fatal) = (part(None, "shared"), part(None, "fatal"));
        let mut table = QuarantineTable::default();
        (0..5).for_each(|number| end(&mut table, number * 300, request(10 + number), &[fatal]));
        for number in 0..others {
            end(&mut table, number * 300 + 150, request(20 + number), &[shared, fatal]);
        }
        (1..7).for_each(|number| end(&mut table, number * 300 + 50, request(1), &[shared]));
        assert!(is_refused(&table, 5_000, &[fatal]));
        assert!(!is_refused(&table, 5_000, &[shared]), "shared with {others} others");
        let standing = table.standing(at(5_000), request(1));
        assert!(matches!(standing, Standing::Quarantined { .. }), "{others} others: {standing:?}");
    }
}

/// Guards against a sound part that is refused for ends which count as one against the fatal part that caused
/// them, since they come within milliseconds of each other.
#[test]
fn ends_that_coincide_accuse_no_part_beside_the_fatal_one() {
    let (shared, fatal) = (part(None, "shared"), part(None, "fatal"));
    let mut table = QuarantineTable::default();
    for number in 0..5 {
        end(&mut table, number * 400, request(10 + number), &[fatal]);
        end(&mut table, number * 400 + 30, request(20 + number), &[shared, fatal]);
    }
    assert!(is_refused(&table, 5_000, &[fatal]));
    assert!(!is_refused(&table, 5_000, &[shared]));
}

/// Guards against a quarantine that another account can bring about.
#[test]
fn parts_of_another_account_or_service_are_not_affected() {
    let account: AccountId = "forro".parse().expect("an account");
    let table = table_with_ends(&[part(None, "shared")]);
    assert!(!is_refused(&table, 4_000, &[part(Some(&account), "shared")]));
    let (service, id) = ("drafts".parse().expect("a service"), "shared".parse().expect("a part"));
    let elsewhere = PartIdentity { account: None, service: &service, part: &id }.digest();
    assert!(!is_refused(&table, 4_000, &[elsewhere]));
}

/// Guards against trials that add up to more sends than are allowed after a part is known.
#[test]
fn a_part_is_tried_once_and_then_waits_for_an_operator() {
    let fatal = part(None, "fatal");
    let mut table = table_with_ends(&[fatal]);
    let trial_in = |table: &QuarantineTable, ms| match table.prompt_standing(at(ms), &[fatal]).0 {
        Standing::Quarantined { trial_in } => trial_in,
        other => panic!("{other:?}"),
    };
    let ten_minutes = 10 * 60 * 1_000;
    assert!(!trial_in(&table, ten_minutes).is_zero());
    assert!(trial_in(&table, ten_minutes + 2_000).is_zero());
    end(&mut table, ten_minutes + 2_500, request(99), &[fatal]);
    for hour in 1..20 {
        assert!(!trial_in(&table, hour * 3_600_000).is_zero(), "another trial after {hour} h");
    }
    assert!(table.release(at(20 * 3_600_000), fatal).is_some());
    assert!(!is_refused(&table, 20 * 3_600_000, &[fatal]));
}

/// Guards against instances that judge differently because updates arrived in another order.
#[test]
fn tables_with_the_same_updates_agree_in_any_order() {
    let (first, fatal) = (part(None, "first"), part(None, "fatal"));
    let mut origin = table_with_ends(&[first, fatal]);
    origin.record_complete_run(at(2_000), first, Duration::from_millis(500));
    let updates = origin.part_updates(at(3_000));
    for rotation in 0..updates.len() {
        let mut copy = QuarantineTable::default();
        origin.updates(at(3_000)).iter().rev().for_each(|case| {
            copy.merge(at(3_000), case);
        });
        for case in updates.iter().cycle().skip(rotation).take(2 * updates.len()) {
            copy.merge(at(3_000), case);
        }
        assert_eq!(copy.part_updates(at(3_000)), updates);
        assert!(is_refused(&copy, 4_000, &[fatal]) && !is_refused(&copy, 4_000, &[first]));
    }
}

/// Guards against a table that grows with the ids that callers invent, or that forgets a
/// quarantined part for them.
#[test]
fn invented_parts_do_not_displace_a_quarantined_one() {
    let fatal = part(None, "fatal");
    let mut table = table_with_ends(&[fatal]);
    let began = Instant::now();
    for number in 0..200_u64 {
        let invented: Vec<PartDigest> =
            (0..32).map(|at| part(None, &format!("{number}-{at}"))).collect();
        end(&mut table, 10_000 + number * 40, request(1_000 + number), &invented);
    }
    println!("6,400 invented parts: {:?}", began.elapsed());
    assert!(table.part_updates(at(20_000)).len() <= 256);
    assert!(is_refused(&table, 20_000, &[fatal]));
}

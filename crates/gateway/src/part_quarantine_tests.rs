//! Tests of the refusal of prompts for their parts while reports of ends are on their way.

use std::time::Duration;

use oriolepass_quarantine::{
    CaseUpdate, InterruptedRun, PartDigest, PartIdentity, QuarantineTable, RequestDigest,
    RequestIdentity, Standing,
};
use oriolepass_units::{InstanceId, MonotonicTime};
use tokio::time::sleep;

use crate::gateway::Gateway;
use crate::repeats_tests::create_gateway;

/// The time between the ends, which is long enough for each of them to count.
const END_INTERVAL: Duration = Duration::from_millis(300);

fn part(name: &str) -> PartDigest {
    let service = "writers".parse().expect("a service");
    let part = name.parse().expect("a part");
    PartIdentity { account: None, service: &service, part: &part }.digest()
}

fn request(number: u32) -> RequestDigest {
    let path = format!("/{number}");
    RequestIdentity { account: None, method: "POST", host: "h", path: &path, body: b"" }.digest()
}

/// Another daemon's report of the ends with these numbers, under prompts with a part of their own.
fn report(
    part: PartDigest,
    ends: std::ops::Range<u32>,
) -> (Vec<CaseUpdate>, Vec<CaseUpdate<PartDigest>>) {
    let begin = MonotonicTime::ZERO + Duration::from_secs(3_600);
    let mut table = QuarantineTable::default();
    for number in ends.clone() {
        let seen = begin + END_INTERVAL * number;
        let endpoint = format!("e{number}").parse().expect("an endpoint");
        let duration = Some(Duration::from_millis(100));
        let run = InterruptedRun { endpoint, seen, duration };
        table.record_interrupted_run(seen, request(number), &run);
        table.record_interrupted_run(seen, part, &run);
    }
    let now = begin + END_INTERVAL * (ends.end - 1);
    (table.updates(now), table.part_updates(now))
}

fn receive(gateway: &Gateway, report: &(Vec<CaseUpdate>, Vec<CaseUpdate<PartDigest>>)) {
    let from: InstanceId = "127.0.0.2:5".parse().expect("an instance");
    gateway.on_case_updates(&from, &report.0);
    gateway.on_part_updates(&from, &report.1);
}

async fn is_refused(gateway: &Gateway, parts: &[PartDigest]) -> bool {
    let (standing, _) = gateway.reported_prompt_standing(|| parts.into()).await;
    matches!(standing, Standing::Quarantined { .. })
}

/// Guards against the refusal of prompts with a sound part that ran on the same engines as a fatal one, while the
/// reports of the fatal part are on their way.
#[tokio::test]
async fn a_sound_part_is_not_judged_before_the_fatal_one_is_reported() {
    let (sound, fatal) = (part("sound"), part("fatal"));
    let sound_prompt = [sound, part("other")];
    for ends in 4..7 {
        let gateway = create_gateway();
        receive(&gateway, &report(sound, 0..ends));
        let fatal_report = async {
            sleep(Duration::from_millis(15)).await;
            receive(&gateway, &report(fatal, 0..ends));
        };
        let (is_sound_refused, ()) =
            tokio::join!(is_refused(&gateway, &sound_prompt), fatal_report);
        assert!(!is_sound_refused, "{ends} ends");
        assert!(is_refused(&gateway, &[sound, fatal]).await, "{ends} ends");
    }
}

/// Guards against the same while the engines go on ending, so that each report is followed by another.
#[tokio::test]
async fn a_sound_part_is_not_judged_by_an_end_that_follows_while_it_waits() {
    let (sound, fatal) = (part("sound"), part("fatal"));
    let sound_prompt = [sound, part("other")];
    let gateway = create_gateway();
    receive(&gateway, &report(fatal, 0..4));
    receive(&gateway, &report(sound, 0..5));
    let later_reports = async {
        sleep(Duration::from_millis(30)).await;
        receive(&gateway, &report(sound, 0..6));
        sleep(Duration::from_millis(25)).await;
        receive(&gateway, &report(fatal, 0..6));
    };
    let (is_sound_refused, ()) = tokio::join!(is_refused(&gateway, &sound_prompt), later_reports);
    assert!(!is_sound_refused);
    assert!(is_refused(&gateway, &[sound, fatal]).await);
}

/// Guards against prompts with a fatal part that wait, instead of being refused, while engines go on ending.
#[tokio::test]
async fn a_fatal_part_is_refused_while_its_engines_go_on_ending() {
    let fatal = [part("fatal")];
    let gateway = create_gateway();
    receive(&gateway, &report(fatal[0], 0..5));
    let further_reports = async {
        for ends in 6..24 {
            sleep(Duration::from_millis(30)).await;
            receive(&gateway, &report(fatal[0], 0..ends));
        }
        false
    };
    let is_refused = async {
        tokio::select! {
            is_refused = is_refused(&gateway, &fatal) => is_refused,
            is_refused = further_reports => is_refused,
        }
    };
    assert!(is_refused.await, "the prompt waited until the last report");
}

//! Tests of the selection of deputies: entries agree on the deputies, and the deputies survive the
//! loss of all daemons with a disk.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use oriolepass_placement::PromptKey;
use oriolepass_units::{InstanceId, MonotonicTime};
use tokio::task::LocalSet;

use crate::clock_tests::gateway;
use crate::cluster::GatewayMesh;
use crate::deputies::{HomeWatch, deputies, deputy_for};
use crate::peers::{MeshEvents, PeerMessage, TrailingField};
use crate::roster::{DaemonNote, DaemonPhase};

pub(crate) fn note(number: usize, has_disk: bool) -> DaemonNote {
    DaemonNote {
        instance: format!("10.1.0.{number}:7000").parse().unwrap(),
        name: format!("front-{number}").parse().unwrap(),
        boot: 7,
        data_centre: "recife-a".parse().unwrap(),
        callers: format!("10.1.0.{number}:8000").parse().unwrap(),
        phase: DaemonPhase::Ready,
        has_disk,
        may_found: false,
        replica: None,
        known: 3,
        is_tiered: false,
        edition: 0,
        protocol: TrailingField::default(),
        is_cut_off: TrailingField::default(),
        is_founding: TrailingField::default(),
    }
}

fn fleet(disks: usize, others: usize) -> Vec<DaemonNote> {
    (1..=disks + others).map(|number| note(number, number <= disks)).collect()
}

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime::ZERO + Duration::from_millis(ms)
}

#[test]
fn deputies_are_daemons_without_a_disk_one_for_each_cell() {
    let all = fleet(5, 195);
    let chosen = deputies(all.iter(), Some(&all[0].instance), 112);
    assert_eq!(chosen.len(), 4);
    assert!(all[..5].iter().all(|voter| !chosen.contains(&voter.instance)));
    assert_eq!(deputies(all.iter(), None, 18).len(), 1);
    assert!(deputies([].iter(), None, 112).is_empty());
}

#[test]
fn the_home_is_no_deputy_and_a_small_system_uses_daemons_with_a_disk() {
    let all = fleet(3, 0);
    let chosen = deputies(all.iter(), Some(&all[1].instance), 18);
    assert_eq!(chosen.len(), 1);
    assert_ne!(chosen[0], all[1].instance);
}

#[test]
fn entries_whose_views_differ_by_one_daemon_agree_on_most_deputies() {
    let all = fleet(5, 195);
    let chosen = deputies(all.iter(), None, 112);
    for lost in &chosen {
        let rest = all.iter().filter(|note| note.instance != *lost);
        let next = deputies(rest, None, 112);
        let common = chosen.iter().filter(|deputy| next.contains(deputy)).count();
        assert_eq!(common, 3, "only the cell of the lost deputy changes");
    }
}

#[test]
fn prompts_of_all_entries_are_spread_evenly_over_the_cells() {
    let all = fleet(5, 195);
    let chosen = deputies(all.iter(), None, 112);
    let mut counts = [0; 4];
    for entry in 0..200_u64 {
        for number in 0..3 {
            let key = PromptKey { entry: entry * 7_919 + 13, number: number * 3 + 1 };
            let (deputy, cell) = deputy_for(&chosen, key).unwrap();
            assert_eq!(deputy, chosen[cell.index as usize]);
            counts[cell.index as usize] += 1;
        }
    }
    assert!(counts.iter().all(|count| (100..200).contains(count)), "{counts:?}");
}

#[test]
fn deputies_are_notified_once_of_running_prompts_and_of_progress_until_the_grace_ends() {
    let names = |numbers: &[usize]| -> Vec<InstanceId> {
        numbers.iter().map(|number| note(*number, false).instance).collect()
    };
    let mut watch = HomeWatch::default();
    assert!(!watch.is_away());
    assert_eq!(watch.record_timeout(at(0), names(&[1, 2])), names(&[1, 2]));
    assert_eq!(watch.record_timeout(at(100), names(&[2, 3])), names(&[3]), "one deputy is new");
    assert!(watch.is_away());
    assert!(watch.record_answer() && !watch.is_away() && !watch.record_answer());
    let notified: BTreeSet<InstanceId> =
        watch.notified_deputies(at(20_000)).iter().cloned().collect();
    assert_eq!(notified, names(&[1, 2, 3]).into_iter().collect());
    assert!(watch.notified_deputies(at(31_000)).is_empty());
}

/// Guards against prompts that are placed as if engines were idle, since the next process at a deputy's address was
/// told of none of the running prompts.
#[tokio::test]
async fn the_next_process_of_a_deputy_is_notified_like_a_new_deputy() {
    let links = LocalSet::new();
    let _guard = links.enter();
    let gateway = gateway();
    let (mesh, deputy) = (GatewayMesh(Rc::clone(&gateway)), note(2, false));
    let greet = |boot| {
        let note = DaemonNote { boot, ..deputy.clone() };
        mesh.on_message(&deputy.instance, PeerMessage::Greeting(note));
    };
    let is_notified = || {
        let home = gateway.home.borrow();
        home.watch.notified_deputies(gateway.now()).contains(&deputy.instance)
    };
    greet(7);
    gateway.on_home_timeout();
    assert!(is_notified());
    greet(7);
    assert!(is_notified(), "the same process");
    greet(8);
    assert!(!is_notified(), "the next process");
    gateway.on_home_timeout();
    assert!(is_notified());
}

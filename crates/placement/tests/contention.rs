//! Placement while prompts of several priorities and client accounts compete for too few engines.

mod common;
#[path = "common/load.rs"]
mod load;

use std::sync::Arc;

use load::{LoadEnd, LoadKind, OfferedPrompt, ask, offered, run, shares};
use oriolepass_placement::{EngineFleet, PlacementFeatures, PromptAsk, RefusalReason};
use oriolepass_routing::EngineProfile;
use oriolepass_units::MonotonicTime;
use rand::Rng;
use rand::rngs::StdRng;

const ENGINES: usize = 24;

const SPAN_MS: u64 = 40_000;

/// Number of client accounts that ask.
const ACCOUNTS: usize = 12;

/// A group that is served this many times less often than all prompts counts as starved.
const STARVED_RATIO: f64 = 0.25;

const URGENCY: PlacementFeatures = PlacementFeatures {
    learns_speeds: false,
    weighs_urgency: true,
    shares_accounts: false,
    keeps_appointments: false,
};

const SHARING: PlacementFeatures = PlacementFeatures { shares_accounts: true, ..URGENCY };

fn profile() -> Arc<EngineProfile> {
    common::profile(12, 48)
}

/// Returns short, middle and giant prompts with these priorities, which need `load` times the time
/// that the engines have for reading.
fn kinds(priorities: [u8; 3], load: f64) -> [LoadKind; 3] {
    let kind = |per_s, mean_tokens, objective_ms, pause_ms, priority| LoadKind {
        per_s,
        mean_tokens,
        objective_ms,
        pause_ms,
        priority,
    };
    [
        kind(30.0, 5_000, 300, 250, priorities[0]),
        kind(6.0 * load, 45_000, 1_500, 600, priorities[1]),
        // 5.4 s of an engine each on average.
        kind(4.0 * load, 260_000, 8_000, 1_000, priorities[2]),
    ]
}

fn any_account(random: &mut StdRng) -> usize {
    random.random_range(0..ACCOUNTS)
}

/// Account 0 sends half of the prompts.
fn half_from_one(random: &mut StdRng) -> usize {
    if random.random_bool(0.5) { 0 } else { random.random_range(1..ACCOUNTS) }
}

fn played(
    kinds: &[LoadKind],
    features: PlacementFeatures,
    account: fn(&mut StdRng) -> usize,
) -> Vec<OfferedPrompt> {
    let mut prompts = offered(11, SPAN_MS, kinds, account);
    run(ENGINES, &profile(), features, kinds, &mut prompts);
    prompts
}

/// Guards against starvation by rank: under a lasting load of one and a half times the engines'
/// time, with giants of low urgency and one large account, no kind, priority or account goes
/// without.
#[test]
fn nobody_starves_while_engines_lack_time_for_a_third_of_the_work() {
    let kinds = kinds([0, 1, 2], 1.5);
    for features in [URGENCY, SHARING] {
        let prompts = played(&kinds, features, half_from_one);
        let floor = shares(&prompts, |_| true).0 * STARVED_RATIO;
        for kind in 0..kinds.len() {
            let served = shares(&prompts, |p| p.kind == kind).0;
            assert!(served >= floor, "kind {kind}: {served} served, floor {floor}, {features:?}");
        }
        for account in 0..ACCOUNTS {
            let served = shares(&prompts, |p| p.account == account).0;
            assert!(served >= floor, "account {account}: {served}, floor {floor}, {features:?}");
        }
    }
}

/// Guards against giants that are refused because they are the largest, under the same load.
#[test]
fn the_largest_tenth_of_the_giants_is_served_half_as_often_as_all_giants() {
    let prompts = played(&kinds([0, 1, 2], 1.5), URGENCY, any_account);
    let mut sizes: Vec<u64> = prompts.iter().filter(|p| p.kind == 2).map(|p| p.tokens).collect();
    sizes.sort_unstable();
    let large = sizes[sizes.len() * 9 / 10];
    let all = shares(&prompts, |p| p.kind == 2).0;
    let largest = shares(&prompts, |p| p.kind == 2 && p.tokens >= large).0;
    assert!(largest >= all / 2.0, "{largest} of the largest tenth served, {all} of all giants");
}

/// Guards against urgent short and middle prompts that are late or refused beside giants of low
/// urgency, which bring more tokens each.
#[test]
fn giants_of_low_urgency_beside_urgent_short_prompts() {
    let ranked = played(&kinds([0, 1, 2], 1.5), URGENCY, any_account);
    for (kind, target) in [(0, 0.9), (1, 0.95)] {
        let on_time = shares(&ranked, |p| p.kind == kind).1;
        assert!(on_time >= target, "kind {kind}: {on_time} on time");
    }
    let waited = |prompt: &OfferedPrompt| match prompt.end {
        LoadEnd::Refused { reason: RefusalReason::Outranked, waited_ms } => Some(waited_ms),
        _ => None,
    };
    let waited: Vec<u64> = ranked.iter().filter_map(waited).collect();
    let patience_ms = 1_760;
    let early = waited.iter().filter(|waited_ms| **waited_ms + 200 < patience_ms).count();
    assert!(early > 0, "all giants waited in vain: {waited:?}");
}

/// Guards against urgent short prompts that are refused or late while less urgent ones take the
/// slots, under a surge that needs one and a half times the slots.
#[test]
fn urgent_short_prompts_in_a_surge_of_less_urgent_ones() {
    let short = |per_s, priority| LoadKind {
        per_s,
        mean_tokens: 5_000,
        objective_ms: 300,
        pause_ms: 250,
        priority,
    };
    let ends = |priorities: [u8; 2]| {
        let kinds = [short(60.0, priorities[0]), short(130.0, priorities[1])];
        let mut prompts = offered(7, 10_000, &kinds, any_account);
        run(8, &profile(), URGENCY, &kinds, &mut prompts);
        [0, 1].map(|kind| shares(&prompts, |p| p.kind == kind))
    };
    let ([urgent, other], [equal, _]) = (ends([0, 1]), ends([1, 1]));
    assert!(urgent.0 >= 0.9, "{} of the urgent prompts served", urgent.0);
    assert!(urgent.1 > equal.1 * 2.0, "{} on time, {} without urgency", urgent.1, equal.1);
    assert!(other.0 >= urgent.0 * STARVED_RATIO, "{} of the others served", other.0);
}

/// Guards against an account with half of all prompts that takes the engines from the others.
#[test]
fn one_account_with_half_of_all_prompts() {
    let kinds = kinds([1, 1, 1], 1.5);
    let shared = played(&kinds, SHARING, half_from_one);
    let unshared = played(&kinds, URGENCY, half_from_one);
    let of_others = |prompts: &[OfferedPrompt]| shares(prompts, |p| p.account != 0 && p.kind == 2);
    let of_large = |prompts: &[OfferedPrompt]| shares(prompts, |p| p.account == 0 && p.kind == 2);
    let (others, large) = (of_others(&shared).1, of_large(&shared).1);
    let before = of_others(&unshared).1;
    assert!(others >= large * 1.25, "{others} of the others' giants on time, {large} of its own");
    assert!(others > before * 1.1, "{others} of the others' giants on time, {before} without");
}

/// Guards against engines that are withheld from an account although nobody else needs them.
#[test]
fn an_account_alone_is_served_as_without_shares() {
    let kinds = kinds([1, 1, 1], 1.5);
    let alone = |features| played(&kinds, features, |_| 0);
    let ends = |prompts: Vec<OfferedPrompt>| prompts.iter().map(|p| p.end).collect::<Vec<_>>();
    assert_eq!(ends(alone(SHARING)), ends(alone(URGENCY)));
}

/// Guards against a change for services whose prompts all have one priority, under a load of one
/// and a half times the engines' time.
#[test]
fn all_priorities_equal_same_plans_as_without() {
    check_same_plans([3, 3, 3], URGENCY);
}

/// Guards against a change for deployments that do not switch urgency on, under the same load.
#[test]
fn without_the_setting_priorities_change_no_plan() {
    check_same_plans([0, 1, 2], PlacementFeatures::default());
}

fn check_same_plans(priorities: [u8; 3], features: PlacementFeatures) {
    let kinds = kinds(priorities, 1.5);
    let prompts = offered(5, 8_000, &kinds, half_from_one);
    let (mut ranked, mut unranked) =
        (common::fleet(ENGINES, &profile()), common::fleet(ENGINES, &profile()));
    ranked.set_features(features);
    let mut refused = 0;
    for (number, prompt) in prompts.iter().enumerate() {
        let now = MonotonicTime(prompt.at_ms * 1_000);
        let with_rank = ask(number, &kinds[prompt.kind], prompt, 0);
        let without_rank = PromptAsk { waiter: None, ..with_rank.clone() };
        let plan = ranked.place(now, &with_rank);
        assert_eq!(plan, unranked.place(now, &without_rank), "prompt {number}");
        refused += u32::from(plan.is_err());
        // A third of the answers end after some time.
        if number % 3 == 0 {
            let key = with_rank.key;
            ranked.first_event(now, key);
            unranked.first_event(now, key);
        }
    }
    assert!(refused > 10, "{refused} refused: the load is too low to show anything");
}

/// Returns a home that entries told of prompts that an earlier home placed: many urgent ones of
/// account 1 and one of account 2.
fn told_home(kinds: &[LoadKind], placed: usize, tells_ranks: bool) -> EngineFleet {
    let now = MonotonicTime(2_000_000);
    let (mut earlier, mut home) =
        (common::fleet(ENGINES, &profile()), common::fleet(ENGINES, &profile()));
    for number in 0..placed {
        let account = if number == 0 { 2 } else { 1 };
        let prompt =
            OfferedPrompt { at_ms: 0, kind: 1, tokens: 60_000, account, end: LoadEnd::Late };
        let mut asked = ask(number, &kinds[1], &prompt, 0);
        let Ok(plan) = earlier.place(now, &asked) else { continue };
        asked.waiter = asked.waiter.filter(|_| tells_ranks);
        home.adopt(now, &asked, &plan, false);
    }
    home
}

/// Guards against a home that starts without knowledge of what the accounts use. Entries of the
/// version before send no ranks.
#[test]
fn a_home_learns_from_placed_prompts_who_uses_the_engines() {
    let kinds = kinds([0, 0, 2], 1.5);
    let now = MonotonicTime(2_000_000);
    let [told, untold] = [true, false]
        .map(|tells_ranks| told_home(&kinds, 25, tells_ranks).accounts_over_share(now));
    assert_eq!((told, untold), (1, 0));
}

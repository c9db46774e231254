//! Collects the ends of endpoints and the runs of requests that were interrupted or completed.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::time::Duration;

use oriolepass_units::{EndpointStart, MonotonicTime};

use crate::case::{EndRecord, MIN_PART_ENDS, RequestCase};
use crate::digest::{AccountTag, PartDigest, RequestDigest, SuspectId};
use crate::likelihood::{DEFAULT_RUN_S, RunLikelihood};

/// Minimum number of ends for a request to be examined as the cause of its ends.
const MIN_SUSPECT_ENDS: usize = 2;

/// Maximum distance of the ends that are used to estimate the rate of ends by chance.
const CHANCE_WINDOW: Duration = Duration::from_secs(10);

/// Index of an end in chronological order.
pub(crate) type EndIndex = usize;

/// A run of a suspect that was interrupted by an end.
#[derive(Debug)]
pub(crate) struct SuspectRun {
    pub(crate) end: EndIndex,
    pub(crate) likelihood: RunLikelihood,
    /// Whether the end is evidence against the suspect. An end that coincides with an earlier one of
    /// the suspect is none, but if the suspect is fatal, it explains that end as well.
    pub(crate) is_evidence: bool,
}

/// Parts of prompts that came together in all their runs that were interrupted, so that nothing
/// tells which of them is fatal.
pub(crate) type PartGroup = BTreeSet<PartDigest>;

/// What may be fatal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Suspect {
    Request(RequestDigest),
    Parts(PartGroup),
}

/// A request with at least [`MIN_SUSPECT_ENDS`] open ends, or a group of parts with at least
/// [`MIN_PART_ENDS`].
#[derive(Debug)]
pub(crate) struct SuspectRuns {
    pub(crate) suspect: Suspect,
    /// The runs in chronological order.
    pub(crate) runs: Vec<SuspectRun>,
}

impl SuspectRuns {
    /// Returns the number of ends that are evidence against the suspect.
    pub(crate) fn evident_ends(&self) -> usize {
        self.runs.iter().filter(|run| run.is_evidence).count()
    }
}

/// What is known about one end.
#[derive(Debug, Default, Clone)]
pub(crate) struct EndFacts {
    /// The number of interrupted runs of requests that had lost an endpoint before. A request's first end is
    /// not counted, since only requests with an end have a case.
    pub(crate) repeated_runs: f64,
    /// The longest of these runs in seconds.
    pub(crate) repeated_run_s: f64,
    /// The sum of the complete runs, in seconds, of requests whose last end this is.
    pub(crate) complete_runs_s: f64,
    /// The sum of the densities per second of interrupted runs of open cases that are no suspects, if these
    /// requests are fatal.
    pub(crate) other_density: f64,
}

/// The ends of endpoints in all cases.
#[derive(Debug)]
pub(crate) struct EndEvidence {
    /// Sorted by digest, requests first.
    pub(crate) suspects: Vec<SuspectRuns>,
    /// In chronological order.
    pub(crate) ends: Vec<EndFacts>,
    /// The number of requests.
    pub(crate) request_count: usize,
    seen: Vec<MonotonicTime>,
    exposure: Exposure,
}

/// Prefix sums over the ends of the runs that an end by chance could have interrupted.
#[derive(Debug)]
struct Exposure {
    repeated_runs: Vec<f64>,
    repeated_ends: Vec<f64>,
    repeated_s: Vec<f64>,
    complete_s: Vec<f64>,
}

impl EndEvidence {
    /// Collects the ends of all cases. Parts do not add to the runs that an end by chance could
    /// have interrupted, since their requests do.
    pub(crate) fn new(cases: &BTreeMap<SuspectId, RequestCase>) -> Self {
        let request = |(id, case)| match id {
            &SuspectId::Request(digest) => Some((digest, case)),
            SuspectId::Part(_) => None,
        };
        let requests: BTreeMap<RequestDigest, &RequestCase> =
            cases.iter().filter_map(request).collect();
        let groups = part_groups(cases, &requests);
        let mut first_seen: BTreeMap<&EndpointStart, MonotonicTime> = BTreeMap::new();
        let grouped = groups.iter().map(|(_, case)| case);
        for (endpoint, seen) in requests.values().chain(grouped).flat_map(|case| case.ends()) {
            first_seen
                .entry(endpoint)
                .and_modify(|first| *first = seen.min(*first))
                .or_insert(seen);
        }
        let mut ordered: Vec<(MonotonicTime, &EndpointStart)> =
            first_seen.into_iter().map(|(endpoint, seen)| (seen, endpoint)).collect();
        ordered.sort_unstable();
        let index: BTreeMap<&EndpointStart, EndIndex> =
            ordered.iter().enumerate().map(|(index, (_, endpoint))| (*endpoint, index)).collect();
        let seen: Vec<MonotonicTime> = ordered.iter().map(|(seen, _)| *seen).collect();

        let mut ends = vec![EndFacts::default(); seen.len()];
        let mut suspects = Vec::new();
        for (digest, case) in &requests {
            record_exposure(&mut ends, case, &index);
            let runs = open_runs(case, &index);
            let suspect = SuspectRuns { suspect: Suspect::Request(*digest), runs };
            if suspect.evident_ends() >= MIN_SUSPECT_ENDS {
                suspects.push(suspect);
            } else {
                for run in &suspect.runs {
                    ends[run.end].other_density += run.likelihood.prior_density();
                }
            }
        }
        for (group, case) in groups {
            let runs = open_runs(case, &index);
            suspects.push(SuspectRuns { suspect: Suspect::Parts(group), runs });
        }
        let exposure = Exposure::new(&ends);
        Self { suspects, ends, request_count: requests.len(), seen, exposure }
    }

    /// Returns the range of ends within [`CHANCE_WINDOW`] of a suspect's first to last end.
    pub(crate) fn window(&self, suspect: &SuspectRuns) -> Range<EndIndex> {
        let (Some(first), Some(last)) = (suspect.runs.first(), suspect.runs.last()) else {
            return 0..0;
        };
        let (first, last) = (self.seen[first.end], self.seen[last.end]);
        let from = self.seen.partition_point(|seen| first.since(*seen) > CHANCE_WINDOW);
        let to = self.seen.partition_point(|seen| seen.since(last) <= CHANCE_WINDOW);
        from..to
    }

    /// Returns the time in seconds during which an endpoint could have ended by chance under a request that had
    /// lost an endpoint before. Requests that run on the same endpoint add to the time only once: the
    /// number of them is estimated from the ends, as the square root of the mean, since requests share
    /// endpoints less after they have lost one.
    pub(crate) fn exposure_s(&self, window: &Range<EndIndex>) -> f64 {
        let within = |sums: &[f64]| sums[window.end] - sums[window.start];
        let Exposure { repeated_runs, repeated_ends, repeated_s, complete_s } = &self.exposure;
        let sharing = within(repeated_runs) / within(repeated_ends).max(1.0);
        within(repeated_s) + within(complete_s) / sharing.max(1.0).sqrt()
    }
}

impl Exposure {
    fn new(ends: &[EndFacts]) -> Self {
        let sums = |value: fn(&EndFacts) -> f64| prefix_sums(ends.iter().map(value));
        Self {
            repeated_runs: sums(|end| end.repeated_runs),
            repeated_ends: sums(|end| end.repeated_runs.min(1.0)),
            repeated_s: sums(|end| end.repeated_run_s),
            complete_s: sums(|end| end.complete_runs_s),
        }
    }
}

/// Returns the sum of the values before each position, followed by the total.
pub(crate) fn prefix_sums(values: impl IntoIterator<Item = f64>) -> Vec<f64> {
    let sums = values.into_iter().scan(0.0, |sum, value| {
        *sum += value;
        Some(*sum)
    });
    std::iter::once(0.0).chain(sums).collect()
}

/// Groups the parts with enough ends by their ends, each group with the case of one of its parts.
///
/// A group whose ends are all those of one request is left out: the request explains them as well,
/// and its quarantine affects no others.
fn part_groups<'a>(
    cases: &'a BTreeMap<SuspectId, RequestCase>,
    requests: &BTreeMap<RequestDigest, &RequestCase>,
) -> Vec<(PartGroup, &'a RequestCase)> {
    type OpenEnds<'a> = BTreeSet<&'a EndpointStart>;
    let open_ends = |case: &'a RequestCase| -> OpenEnds<'a> {
        case.open_ends().map(|(endpoint, _)| endpoint).collect()
    };
    let mut groups: BTreeMap<(AccountTag, OpenEnds<'a>), (PartGroup, &RequestCase)> =
        BTreeMap::new();
    for (id, case) in cases {
        let SuspectId::Part(part) = id else { continue };
        if case.open_ends().count() >= MIN_PART_ENDS && case.distinct_open_ends() >= MIN_PART_ENDS {
            let key = (id.account(), open_ends(case));
            groups.entry(key).or_insert_with(|| (PartGroup::new(), case)).0.insert(*part);
        }
    }
    let is_of_one_request = |ends: &OpenEnds<'a>| {
        requests.values().any(|request| {
            ends.iter().all(|end| request.open_ends().any(|(endpoint, _)| endpoint == *end))
        })
    };
    let shared = groups.into_iter().filter(|((_, ends), _)| !is_of_one_request(ends));
    shared.map(|(_, group)| group).collect()
}

/// Adds the runs of a request after its first end.
fn record_exposure(
    ends: &mut [EndFacts],
    case: &RequestCase,
    index: &BTreeMap<&EndpointStart, EndIndex>,
) {
    let mut all: Vec<(EndIndex, Option<Duration>)> =
        case.interrupted_runs().map(|(endpoint, run)| (index[endpoint], run)).collect();
    all.sort_unstable();
    for (end, run) in all.iter().skip(1) {
        let facts = &mut ends[*end];
        let duration = run.map_or(DEFAULT_RUN_S, |run| run.as_secs_f64());
        facts.repeated_runs += 1.0;
        facts.repeated_run_s = facts.repeated_run_s.max(duration);
    }
    let mut complete: Vec<Duration> = case.complete_runs().collect();
    complete.sort_unstable();
    // A complete run clears the request of several ends.
    complete.dedup();
    if let Some((last, _)) = all.last() {
        ends[*last].complete_runs_s += complete.iter().map(Duration::as_secs_f64).sum::<f64>();
    }
}

/// Returns the interrupted runs of a request's open ends.
fn open_runs(case: &RequestCase, index: &BTreeMap<&EndpointStart, EndIndex>) -> Vec<SuspectRun> {
    let run = |(endpoint, end, is_evidence): (&EndpointStart, EndRecord, bool)| SuspectRun {
        end: index[endpoint],
        likelihood: RunLikelihood::new(end.run.map(|duration| duration.as_secs_f64())),
        is_evidence,
    };
    let mut runs: Vec<SuspectRun> = case.ordered_open_ends().into_iter().map(run).collect();
    // Other requests may have observed an end earlier.
    runs.sort_unstable_by_key(|run| run.end);
    runs
}

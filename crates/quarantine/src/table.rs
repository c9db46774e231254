//! All requests under which endpoints ended, as one instance knows them.

use std::cell::OnceCell;
use std::collections::BTreeMap;
use std::time::Duration;

use oriolepass_units::{EndpointStart, MonotonicTime};

use crate::attribution::{BlameVerdict, is_settled, judge};
use crate::case::{CaseUpdate, EndChange, RequestCase};
use crate::digest::{AccountTag, RequestDigest};

/// Requests that are kept: some twenty ends of endpoints with sixteen requests each.
const MAX_CASES: usize = 512;

/// Requests of one client account that are kept, so that no account makes the table forget what
/// others' requests did.
const MAX_CASES_OF_ACCOUNT: usize = 128;

/// From the last end of a quarantined request to its first trial. A trial that fails costs an endpoint's
/// start, some seconds, and the streams beside it; every ten minutes that is 0.1 % of one endpoint.
const FIRST_TRIAL: Duration = Duration::from_secs(10 * 60);

/// The longest time between trials: with [`FIRST_TRIAL`] doubled each time, nine trials in a day.
const LAST_TRIAL: Duration = Duration::from_secs(4 * 3_600);

/// Ends that a request has when it is quarantined; each further one is a trial that failed.
const ENDS_BEFORE_TRIALS: usize = 3;

/// How a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Nothing speaks against it.
    Clear,
    /// Endpoints have ended under it, perhaps by chance: to be tried where the fewest others run.
    Suspect,
    /// It ends its endpoints, and is not to be sent.
    Quarantined {
        /// How long until it may be tried once more; zero where that is due.
        trial_in: Duration,
    },
}

/// A request that is suspected or quarantined, for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CaseSummary {
    /// The request.
    pub digest: RequestDigest,
    /// How it stands.
    pub standing: Standing,
    /// The endpoints that ended under it.
    pub ends: Vec<EndpointStart>,
    /// How long ago the last of them did.
    pub last_end: Duration,
}

/// All requests under which endpoints ended. Merging tables gives the same one in whatever order.
#[derive(Debug, Default)]
pub struct QuarantineTable {
    cases: BTreeMap<RequestDigest, RequestCase>,
    /// Judged when it is asked for after a change: much news comes at once.
    verdict: OnceCell<BlameVerdict>,
}

impl QuarantineTable {
    /// Returns whether nothing is known of any request, as on most days.
    pub fn is_empty(&self) -> bool {
        self.cases.is_empty()
    }

    /// Notes that an endpoint ended under a request; returns what to tell the others, if it is news.
    pub fn record_end(
        &mut self,
        now: MonotonicTime,
        digest: RequestDigest,
        endpoint: &EndpointStart,
    ) -> Option<CaseUpdate> {
        let case = self.cases.entry(digest).or_default();
        if case.end(endpoint, now) != EndChange::New {
            return None;
        }
        let news = case.news(now, digest);
        self.verdict.take();
        self.evict_for(digest);
        Some(news)
    }

    /// Notes that a request was answered whole, or that an operator releases it: what ended under it was
    /// not its doing. Returns what to tell the others, if it is news.
    pub fn clear_request(
        &mut self,
        now: MonotonicTime,
        digest: RequestDigest,
    ) -> Option<CaseUpdate> {
        let case = self.cases.get_mut(&digest)?;
        if !case.clear_all() {
            return None;
        }
        case.tried = None;
        let news = case.news(now, digest);
        self.verdict.take();
        Some(news)
    }

    /// Takes in what another instance knows; returns whether it is news.
    pub fn merge(&mut self, now: MonotonicTime, news: &CaseUpdate) -> bool {
        let known = self.cases.get(&news.digest);
        let mut case = known.cloned().unwrap_or_default();
        let changes: Vec<EndChange> =
            news.ends.iter().map(|end| case.end(&end.endpoint, now - end.age)).collect();
        let cleared = news.cleared.iter().filter(|endpoint| case.clear(endpoint)).count();
        if known.is_none() && case.is_over(now) {
            return false;
        }
        let is_news = cleared > 0 || changes.contains(&EndChange::New);
        if is_news || changes.contains(&EndChange::Earlier) {
            self.cases.insert(news.digest, case);
            self.verdict.take();
            self.evict_for(news.digest);
        }
        is_news && self.cases.contains_key(&news.digest)
    }

    /// Returns how a request stands.
    pub fn standing(&self, now: MonotonicTime, digest: RequestDigest) -> Standing {
        let Some(case) = self.cases.get(&digest) else { return Standing::Clear };
        let odds = self.verdict().quarantined.get(&digest);
        if odds.is_some_and(|odds| odds.is_sure() || is_settled(case, now)) {
            return Standing::Quarantined { trial_in: trial_in(now, case) };
        }
        if self.speaks_against(case) { Standing::Suspect } else { Standing::Clear }
    }

    fn verdict(&self) -> &BlameVerdict {
        self.verdict.get_or_init(|| judge(&self.cases))
    }

    /// Returns whether an end may be due to a request, and is to no quarantined one.
    fn speaks_against(&self, case: &RequestCase) -> bool {
        case.open().any(|(endpoint, _)| !self.verdict().explained.contains(endpoint))
    }

    /// Notes that a quarantined request is sent for a trial: the next one is as far away as after an end.
    pub fn begin_trial(&mut self, now: MonotonicTime, digest: RequestDigest) {
        if let Some(case) = self.cases.get_mut(&digest) {
            case.tried = Some(now);
        }
    }

    /// Returns when the last end was seen that speaks against a request.
    pub fn last_end(&self, digest: RequestDigest) -> Option<MonotonicTime> {
        self.cases.get(&digest)?.last_end()
    }

    /// Returns everything, for an instance that may know none of it.
    pub fn updates(&self, now: MonotonicTime) -> Vec<CaseUpdate> {
        self.cases.iter().map(|(digest, case)| case.news(now, *digest)).collect()
    }

    /// Returns what the judgement draws on, to be kept where it survives: requests that lost several
    /// endpoints, and those that were answered since. Nearly all others that lost one are innocent.
    pub fn durable_updates(&self, now: MonotonicTime) -> Vec<CaseUpdate> {
        let cases = self.cases.iter().filter(|(_, case)| case.is_lasting());
        cases.map(|(digest, case)| case.news(now, *digest)).collect()
    }

    /// Lists the requests that something speaks against.
    pub fn list(&self, now: MonotonicTime) -> Vec<CaseSummary> {
        let summary = |(digest, case): (&RequestDigest, &RequestCase)| {
            let standing = self.standing(now, *digest);
            (standing != Standing::Clear).then(|| CaseSummary {
                digest: *digest,
                standing,
                ends: case.open().map(|(endpoint, _)| endpoint.clone()).collect(),
                last_end: case.last_end().map_or(Duration::ZERO, |at| now.since(at)),
            })
        };
        self.cases.iter().filter_map(summary).collect()
    }

    /// Returns how many requests are suspected.
    pub fn suspect_count(&self, now: MonotonicTime) -> usize {
        let standings = self.cases.keys().map(|digest| self.standing(now, *digest));
        standings.filter(|standing| *standing == Standing::Suspect).count()
    }

    /// Returns how many requests are quarantined.
    pub fn quarantined_count(&self, now: MonotonicTime) -> usize {
        let digests = self.verdict().quarantined.keys();
        let is_quarantined = |digest: &&RequestDigest| {
            matches!(self.standing(now, **digest), Standing::Quarantined { .. })
        };
        digests.filter(is_quarantined).count()
    }

    /// Forgets what is too old to matter.
    pub fn expire(&mut self, now: MonotonicTime) {
        let before = self.cases.len();
        self.cases.retain(|_, case| !case.is_over(now));
        if self.cases.len() != before {
            self.verdict.take();
        }
    }

    /// Forgets a request where `digest` has made the table too full: of its account, or of all. It may be
    /// this one, so that tables with the same news keep the same requests in whatever order it came.
    fn evict_for(&mut self, digest: RequestDigest) {
        let account = digest.account();
        let of_account = self.cases.keys().filter(|other| other.account() == account).count();
        let least = if of_account > MAX_CASES_OF_ACCOUNT {
            self.least_telling(Some(account))
        } else if self.cases.len() > MAX_CASES {
            self.least_telling(None)
        } else {
            None
        };
        if let Some(least) = least {
            self.cases.remove(&least);
            self.verdict.take();
        }
    }

    /// Returns the request that is missed least: one that is not quarantined, and of these the oldest one. A
    /// request that was answered tells how likely ends by chance were, so it stays longer than suspects that
    /// are judged by it.
    fn least_telling(&self, account: Option<AccountTag>) -> Option<RequestDigest> {
        let of_account = |digest: &RequestDigest| account.is_none_or(|a| digest.account() == a);
        let cases = self.cases.iter().filter(|(digest, _)| of_account(digest));
        let quarantined = &self.verdict().quarantined;
        let worth = |(digest, case): &(&RequestDigest, &RequestCase)| {
            (quarantined.contains_key(digest), case.matters_until())
        };
        cases.min_by_key(worth).map(|(digest, _)| *digest)
    }
}

/// Returns how long until a quarantined request may be tried once more.
fn trial_in(now: MonotonicTime, case: &RequestCase) -> Duration {
    let failed = case.open().count().saturating_sub(ENDS_BEFORE_TRIALS);
    let doublings = u32::try_from(failed).unwrap_or(u32::MAX).min(16);
    let interval = (FIRST_TRIAL * 2_u32.pow(doublings)).min(LAST_TRIAL);
    let since = case.last_end().into_iter().chain(case.tried).max().unwrap_or(now);
    (since + interval).since(now)
}

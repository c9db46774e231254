//! Tracks the grants that requests of this daemon hold, so that they can be renewed.

use std::collections::HashMap;
use std::sync::Mutex;

use oriolepass_scheduler::PromptGrant;
use oriolepass_units::{AttemptId, DataCentreId, EndpointId};

type GrantEndpoints = Vec<(DataCentreId, EndpointId)>;

/// Grants in use, by attempt. The home of an endpoint may change while a grant lasts, so the map
/// holds the endpoints, and each renewal looks up their current homes.
#[derive(Default)]
pub(crate) struct ActiveGrants(Mutex<HashMap<AttemptId, GrantEndpoints>>);

impl ActiveGrants {
    pub(crate) fn add(&self, grant: &PromptGrant) {
        let endpoints = grant.members.iter().map(|m| (m.data_centre.clone(), m.endpoint.clone()));
        let mut grants = self.0.lock().expect("no panic with the lock");
        grants.insert(grant.attempt.clone(), endpoints.collect());
    }

    pub(crate) fn remove(&self, attempt: &AttemptId) -> Option<GrantEndpoints> {
        self.0.lock().expect("no panic with the lock").remove(attempt)
    }

    pub(crate) fn snapshot(&self) -> Vec<(AttemptId, GrantEndpoints)> {
        let grants = self.0.lock().expect("no panic with the lock");
        grants.iter().map(|(attempt, endpoints)| (attempt.clone(), endpoints.clone())).collect()
    }
}

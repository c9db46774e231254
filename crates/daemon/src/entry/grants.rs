//! The grants that requests here use, for their renewal.

use std::collections::HashMap;
use std::sync::Mutex;

use oriolepass_scheduler::PromptGrant;
use oriolepass_units::{AttemptId, DataCentreId, EndpointId};

type GrantPlaces = Vec<(DataCentreId, EndpointId)>;

/// Grants in use. The home of an endpoint may change while a grant lasts, so what is kept are
/// the endpoints; whom to renew with is looked up each time.
#[derive(Default)]
pub(crate) struct ActiveGrants(Mutex<HashMap<AttemptId, GrantPlaces>>);

impl ActiveGrants {
    pub(crate) fn add(&self, grant: &PromptGrant) {
        let places = grant.members.iter().map(|m| (m.data_centre.clone(), m.endpoint.clone()));
        let mut grants = self.0.lock().expect("no panic with the lock");
        grants.insert(grant.attempt.clone(), places.collect());
    }

    pub(crate) fn remove(&self, attempt: &AttemptId) -> Option<GrantPlaces> {
        self.0.lock().expect("no panic with the lock").remove(attempt)
    }

    pub(crate) fn snapshot(&self) -> Vec<(AttemptId, GrantPlaces)> {
        let grants = self.0.lock().expect("no panic with the lock");
        grants.iter().map(|(attempt, places)| (attempt.clone(), places.clone())).collect()
    }
}

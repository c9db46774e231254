//! Digests in which a home reports its load to the entries, and the ranking of homes by them.

use std::collections::BTreeMap;

use oriolepass_schema::operator::EndpointState;
use oriolepass_units::{DataCentreId, InstanceId, ModelId, ServiceName, TokenCount};
use serde::{Deserialize, Serialize};

use crate::config::LengthClass;
use crate::grant::{GrantRequest, WorkTarget};
use crate::home::HomeScheduler;
use crate::placement::short_wait_micros;

/// Cost added to a home in another data centre than the entry's, in milliseconds.
const REMOTE_HOME_COST_MS: u64 = 2;

/// Load of one model at a home.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelDigest {
    /// The model.
    pub model: ModelId,
    /// Number of engines that serve the model and accept work.
    pub engines: u32,
    /// Maximum memory of one prompt.
    pub limit: TokenCount,
    /// Free memory of all these engines.
    pub free: TokenCount,
    /// Waiting work, in milliseconds of work of all these engines together.
    pub queue_ms: u64,
    /// Expected wait of a short prompt on the engine with the shortest wait, in milliseconds.
    pub short_wait_ms: u64,
}

/// Load of one plain service at a home.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceDigest {
    /// The service.
    pub service: ServiceName,
    /// Number of calls that the service can accept at present.
    pub free: u64,
}

/// The models and services of a home with their load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomeDigest {
    /// The home.
    pub home: InstanceId,
    /// The home's data centre.
    pub data_centre: DataCentreId,
    /// The models.
    pub models: Vec<ModelDigest>,
    /// The plain services.
    pub services: Vec<ServiceDigest>,
}

impl HomeScheduler {
    /// Returns the digest that is sent to the entries.
    pub fn digest(&self, home: &InstanceId, data_centre: &DataCentreId) -> HomeDigest {
        let mut models: BTreeMap<ModelId, ModelDigest> = BTreeMap::new();
        let mut services: BTreeMap<ServiceName, u64> = BTreeMap::new();
        let guard = self.config.short_guard_percent;
        for entry in self.endpoints.values().filter(|e| e.state == EndpointState::Live) {
            if let Some(service) = &entry.service {
                *services.entry(service.clone()).or_default() += entry.free().0;
            }
            for model in &entry.models {
                let wait = short_wait_micros(entry) / 1_000;
                let digest = models.entry(model.clone()).or_insert_with(|| ModelDigest {
                    model: model.clone(),
                    engines: 0,
                    limit: TokenCount::ZERO,
                    free: TokenCount::ZERO,
                    queue_ms: 0,
                    short_wait_ms: u64::MAX,
                });
                digest.engines += 1;
                digest.limit += entry.capacity(LengthClass::Huge, guard);
                digest.free += entry.free();
                digest.short_wait_ms = digest.short_wait_ms.min(wait);
            }
        }
        for digest in models.values_mut() {
            let target = WorkTarget::Model(digest.model.clone());
            digest.queue_ms = self.queue_ms(&target);
            if digest.engines > 1 {
                let largest = digest.limit.0 / u64::from(digest.engines);
                digest.limit = TokenCount(digest.limit.0 - largest);
            }
        }
        let services =
            services.into_iter().map(|(service, free)| ServiceDigest { service, free }).collect();
        HomeDigest {
            home: home.clone(),
            data_centre: data_centre.clone(),
            models: models.into_values().collect(),
            services,
        }
    }
}

/// Ranks homes for a grant request by ascending cost. Homes that cannot serve the request are
/// omitted.
pub fn rank_homes<'a>(
    request: &GrantRequest,
    own_data_centre: &DataCentreId,
    digests: impl Iterator<Item = &'a HomeDigest>,
) -> Vec<InstanceId> {
    let mut costs: Vec<(u64, InstanceId)> = digests
        .filter_map(|digest| {
            let cost = home_cost(request, digest)?;
            let distance =
                if digest.data_centre == *own_data_centre { 0 } else { REMOTE_HOME_COST_MS };
            Some((cost.saturating_add(distance), digest.home.clone()))
        })
        .collect();
    costs.sort();
    costs.into_iter().map(|(_, home)| home).collect()
}

/// Returns the cost of a home in milliseconds. A home without free capacity costs an extra
/// 1 000 ms.
fn home_cost(request: &GrantRequest, digest: &HomeDigest) -> Option<u64> {
    match &request.target {
        WorkTarget::Service(name) => {
            let service = digest.services.iter().find(|s| s.service == *name)?;
            Some(if service.free > 0 { 0 } else { 1_000 })
        }
        WorkTarget::Model(name) => {
            let model = digest.models.iter().find(|m| m.model == *name)?;
            let class = LengthClass::of(request.prompt);
            if class != LengthClass::Short && model.limit < request.need() {
                return None;
            }
            let full = if model.free < request.need() { 1_000 } else { 0 };
            let wait = match class {
                LengthClass::Short => model.short_wait_ms,
                _ => 0,
            };
            Some(model.queue_ms.saturating_add(wait).saturating_add(full))
        }
    }
}

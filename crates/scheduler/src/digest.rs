//! What a home tells the entries about itself, and how they choose between homes.

use std::collections::BTreeMap;

use oriolepass_schema::operator::EndpointState;
use oriolepass_units::{DataCentreId, InstanceId, ModelId, ServiceName, TokenCount};
use serde::{Deserialize, Serialize};

use crate::ask::{GrantRequest, WorkTarget};
use crate::config::LengthClass;
use crate::home::HomeScheduler;
use crate::placement::short_wait_micros;

/// Milliseconds that an entry prefers a home of its own data centre by.
const DISTANCE_MS: u64 = 2;

/// One model at a home.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelDigest {
    /// The model.
    pub model: ModelId,
    /// Engines that serve it and take work.
    pub engines: u32,
    /// The most memory that one prompt may get.
    pub limit: TokenCount,
    /// Memory free now, over all of them.
    pub free: TokenCount,
    /// Work that waits, in milliseconds of all of them together.
    pub queue_ms: u64,
    /// Expected wait for a short prompt on the best of them, in milliseconds.
    pub short_wait_ms: u64,
}

/// One plain service at a home.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceDigest {
    /// The service.
    pub service: ServiceName,
    /// Calls that it can take now.
    pub free: u64,
}

/// What a home serves and how busy it is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomeDigest {
    /// The home.
    pub home: InstanceId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The models.
    pub models: Vec<ModelDigest>,
    /// The plain services.
    pub services: Vec<ServiceDigest>,
}

impl HomeScheduler {
    /// Writes the digest for the entries.
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

/// Orders homes for an ask, the best first; those that cannot serve it are left out.
pub fn rank_homes<'a>(
    ask: &GrantRequest,
    own: &DataCentreId,
    digests: impl Iterator<Item = &'a HomeDigest>,
) -> Vec<InstanceId> {
    let mut costs: Vec<(u64, InstanceId)> = digests
        .filter_map(|digest| {
            let cost = home_cost(ask, digest)?;
            let distance = if digest.data_centre == *own { 0 } else { DISTANCE_MS };
            Some((cost.saturating_add(distance), digest.home.clone()))
        })
        .collect();
    costs.sort();
    costs.into_iter().map(|(_, home)| home).collect()
}

fn home_cost(ask: &GrantRequest, digest: &HomeDigest) -> Option<u64> {
    match &ask.target {
        WorkTarget::Service(name) => {
            let service = digest.services.iter().find(|s| s.service == *name)?;
            Some(if service.free > 0 { 0 } else { 1_000 })
        }
        WorkTarget::Model(name) => {
            let model = digest.models.iter().find(|m| m.model == *name)?;
            let class = LengthClass::of(ask.prompt);
            if class != LengthClass::Short && model.limit < ask.need() {
                return None;
            }
            let full = if model.free < ask.need() { 1_000 } else { 0 };
            let wait = match class {
                LengthClass::Short => model.short_wait_ms,
                _ => 0,
            };
            Some(model.queue_ms.saturating_add(wait).saturating_add(full))
        }
    }
}

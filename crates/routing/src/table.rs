//! Looks up the route, service and client account of a request.

use std::collections::HashMap;
use std::sync::Arc;

use oriolepass_units::{AccountId, ServiceName};
use sha2::{Digest, Sha256};

use crate::document::{IngressLimits, RouteSpec, RoutingDocument, ServiceSpec};
use crate::register::RoutingRevision;

/// The client account that a key belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyHolder {
    /// The account.
    pub account: AccountId,
    /// The priority, which overrides that of the route.
    pub priority: Option<u8>,
}

/// A routing document compiled for lookups.
#[derive(Debug)]
pub struct RoutingTable {
    revision: RoutingRevision,
    limits: IngressLimits,
    /// The routes of each host, sorted by descending prefix length.
    hosts: HashMap<String, Vec<Arc<RouteSpec>>>,
    services: HashMap<ServiceName, Arc<ServiceSpec>>,
    /// Accounts by the hash of the key; `None` if the document has no accounts. With hashes, no key
    /// stays in memory, and an attacker cannot choose the bytes that are compared.
    holders: Option<HashMap<[u8; 32], Arc<KeyHolder>>>,
}

impl RoutingTable {
    /// Compiles a validated document.
    pub fn new(document: RoutingDocument) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<RouteSpec>>> = HashMap::new();
        for route in document.routes {
            hosts.entry(route.host.to_ascii_lowercase()).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let services = document.services.into_iter().map(|s| (s.name.clone(), Arc::new(s)));
        let holders = document.accounts.map(|accounts| {
            let mut holders = HashMap::new();
            for account in accounts {
                let holder =
                    Arc::new(KeyHolder { account: account.account, priority: account.priority });
                for key in account.keys {
                    holders.insert(hash(&key), Arc::clone(&holder));
                }
            }
            holders
        });
        Self {
            revision: document.revision,
            limits: document.limits,
            hosts,
            services: services.collect(),
            holders,
        }
    }

    /// Returns the document's revision.
    pub fn revision(&self) -> RoutingRevision {
        self.revision
    }

    /// Returns the limits on callers' requests.
    pub fn limits(&self) -> &IngressLimits {
        &self.limits
    }

    /// Returns the route with the longest prefix that matches a host and path. Ignores a port in `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<RouteSpec>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.hosts.get(&name.to_ascii_lowercase())?;
        routes.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// Returns whether requests need keys, which holds if the document has client accounts.
    pub fn needs_keys(&self) -> bool {
        self.holders.is_some()
    }

    /// Returns the account that a key belongs to.
    pub fn holder(&self, key: &str) -> Option<&Arc<KeyHolder>> {
        self.holders.as_ref()?.get(&hash(key))
    }

    /// Returns the service with the given name.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<ServiceSpec>> {
        self.services.get(name)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServiceSpec>> {
        self.services.values()
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Selects one of a route's services by weight. `draw` is a uniformly random `u64`.
    ///
    /// # Panics
    ///
    /// Panics when the weights add up to 0. Validation rejects such documents.
    pub fn choose_service(route: &RouteSpec, draw: u64) -> &ServiceName {
        let total: u64 = route.split.iter().map(|part| u64::from(part.weight)).sum();
        let mut rest = draw % total;
        for part in &route.split {
            let weight = u64::from(part.weight);
            if rest < weight {
                return &part.service;
            }
            rest -= weight;
        }
        unreachable!("the rest is below the sum of the weights")
    }
}

fn hash(key: &str) -> [u8; 32] {
    Sha256::digest(key.as_bytes()).into()
}

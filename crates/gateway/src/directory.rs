//! The directory: the addresses of the instances that callers should use.

use std::net::SocketAddr;
use std::time::Duration;

use oriolepass_units::DataCentreId;

use crate::gateway::Gateway;
use crate::hubs::Tier;
use crate::lifecycle::ADDRESS_TTL;
use crate::roster::DaemonPhase;

/// The maximum number of addresses in an answer; callers do not accept more.
const MAX_ADDRESSES: usize = 64;

/// With fewer ready instances than this in the caller's data centre, the answer includes those of
/// other data centres: callers with a single address would have none after its instance fails.
const MIN_LOCAL_ADDRESSES: usize = 2;

/// The addresses that a caller should use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AddressAnswer {
    /// Where callers connect; all addresses have equal preference.
    pub addresses: Vec<SocketAddr>,
    /// How long the caller should use the addresses before it asks again.
    pub keep: Duration,
}

impl Gateway {
    /// Returns the addresses of the ready instances: those in the caller's data centre if there are
    /// enough of them, otherwise all. Returns `None` if no instance is ready.
    pub fn addresses(&self, data_centre: Option<&DataCentreId>) -> Option<AddressAnswer> {
        let settings = self.settings();
        let keep = ADDRESS_TTL.min(settings.bounds.address_keep_max);
        if self.tier() != Tier::Mesh {
            let addresses = self.addresses_in_tiers(data_centre);
            return (!addresses.is_empty()).then_some(AddressAnswer { addresses, keep });
        }
        let now = self.now();
        let roster = self.roster.borrow();
        let mut ready: Vec<(DataCentreId, SocketAddr)> = roster
            .alive(now)
            .filter(|note| note.phase == DaemonPhase::Ready)
            .map(|note| (note.data_centre.clone(), note.callers))
            .collect();
        if self.is_ready() {
            ready.push((settings.data_centre.clone(), settings.listen.callers));
        }
        let local: Vec<SocketAddr> = ready
            .iter()
            .filter(|(centre, _)| Some(centre) == data_centre)
            .map(|(_, address)| *address)
            .collect();
        let all = || ready.iter().map(|(_, address)| *address).collect();
        let mut addresses = if local.len() >= MIN_LOCAL_ADDRESSES { local } else { all() };
        addresses.truncate(MAX_ADDRESSES);
        (!addresses.is_empty()).then_some(AddressAnswer { addresses, keep })
    }

    fn addresses_in_tiers(&self, data_centre: Option<&DataCentreId>) -> Vec<SocketAddr> {
        let by_data_centre = self.ready_addresses();
        let local = by_data_centre.iter().find(|(centre, _)| Some(centre) == data_centre);
        let mut addresses = match local {
            Some((_, local)) if local.len() >= MIN_LOCAL_ADDRESSES => local.clone(),
            _ => by_data_centre.iter().flat_map(|(_, addresses)| addresses).copied().collect(),
        };
        if addresses.is_empty() && self.is_ready() {
            addresses.push(self.settings().listen.callers);
        }
        addresses.truncate(MAX_ADDRESSES);
        addresses
    }
}

//! Where other daemons listen for their peers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, RwLock};

use oriolepass_config::ConfigView;
use oriolepass_settings::VoterAddress;
use oriolepass_units::InstanceId;

/// Addresses from the settings, overridden by what members said of themselves.
#[derive(Clone)]
pub(crate) struct AddressBook {
    first: Arc<HashMap<InstanceId, SocketAddr>>,
    members: Arc<RwLock<HashMap<InstanceId, SocketAddr>>>,
}

impl AddressBook {
    pub(crate) fn new(voters: &[VoterAddress]) -> Self {
        let first = voters.iter().map(|v| (v.instance.clone(), v.peers)).collect();
        Self { first: Arc::new(first), members: Arc::default() }
    }

    pub(crate) fn get(&self, instance: &InstanceId) -> Option<SocketAddr> {
        let members = self.members.read().expect("no panic with the lock");
        members.get(instance).or_else(|| self.first.get(instance)).copied()
    }

    /// Takes over the members' own addresses. Those of instances that have gone are kept: a
    /// voter whose lease ended must still be reached by the log.
    pub(crate) fn learn(&self, view: &ConfigView) {
        let mut members = self.members.write().expect("no panic with the lock");
        for member in view.members().iter() {
            members.insert(member.instance.clone(), member.addresses.peers);
        }
    }

    /// Returns the first voters' addresses.
    pub(crate) fn first_voters(&self) -> Vec<(InstanceId, SocketAddr)> {
        let mut voters: Vec<_> = self.first.iter().map(|(i, a)| (i.clone(), *a)).collect();
        voters.sort();
        voters
    }
}

//! Maps instances to the addresses on which their daemons listen for peers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, RwLock};

use oriolepass_config::ConfigView;
use oriolepass_settings::VoterAddress;
use oriolepass_units::InstanceId;

/// Peer addresses: those from the settings, overridden by those in the members' own records.
#[derive(Clone)]
pub(crate) struct AddressBook {
    configured: Arc<HashMap<InstanceId, SocketAddr>>,
    members: Arc<RwLock<HashMap<InstanceId, SocketAddr>>>,
}

impl AddressBook {
    pub(crate) fn new(voters: &[VoterAddress]) -> Self {
        let configured = voters.iter().map(|v| (v.instance.clone(), v.peers)).collect();
        Self { configured: Arc::new(configured), members: Arc::default() }
    }

    pub(crate) fn get(&self, instance: &InstanceId) -> Option<SocketAddr> {
        let members = self.members.read().expect("no panic with the lock");
        members.get(instance).or_else(|| self.configured.get(instance)).copied()
    }

    /// Updates the addresses from the members' records.
    ///
    /// Addresses of instances that are no longer members are kept, because the log must still
    /// reach a voter whose lease has ended.
    pub(crate) fn update(&self, view: &ConfigView) {
        let mut members = self.members.write().expect("no panic with the lock");
        for member in view.members().iter() {
            members.insert(member.instance.clone(), member.addresses.peers);
        }
    }

    /// Returns the first voters, which the settings name, and their configured addresses.
    pub(crate) fn first_voters(&self) -> Vec<(InstanceId, SocketAddr)> {
        let mut voters: Vec<_> = self.configured.iter().map(|(i, a)| (i.clone(), *a)).collect();
        voters.sort();
        voters
    }
}

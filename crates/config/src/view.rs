//! Defines the view: the part of the replicated state that every daemon holds.

use std::collections::BTreeMap;

use oriolepass_schema::operator::{
    AccountSpec, KeyHash, ObjectKind, ObjectList, ObjectSpec, ObjectView,
};
use oriolepass_units::{AccountId, InstanceId, LogIndex, ModelId, ObjectRevision, TeamId};
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

use crate::members::{MemberRecord, MemberTable};

/// A configuration object as stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredObject {
    /// The owning team.
    pub team: TeamId,
    /// Its revision.
    pub revision: ObjectRevision,
    /// Its content.
    pub spec: ObjectSpec,
}

impl StoredObject {
    /// Returns the representation of the object in query answers.
    pub fn view(&self, kind: ObjectKind, name: &str) -> ObjectView {
        ObjectView {
            kind,
            name: name.to_owned(),
            team: self.team.clone(),
            revision: self.revision,
            spec: self.spec.clone(),
        }
    }
}

/// The object that a key authenticates.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyOwner {
    /// The kind of the object that holds the key.
    pub kind: ObjectKind,
    /// Its name.
    pub name: String,
}

/// One change of the view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ViewChange {
    /// An object was written, or removed if the content is absent.
    Object {
        /// Its kind.
        kind: ObjectKind,
        /// Its name.
        name: String,
        /// Its content after the change.
        object: Option<StoredObject>,
    },
    /// A member joined or changed.
    Member(MemberRecord),
    /// A member was removed.
    MemberGone(InstanceId),
}

/// A change of the view with its log index.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewDelta {
    /// The index of the log entry that made the change.
    pub index: LogIndex,
    /// The configuration's revision after the change.
    pub config_revision: ObjectRevision,
    /// The change.
    pub change: ViewChange,
}

/// Configuration objects and members as of one log index.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigView {
    pub(crate) index: LogIndex,
    pub(crate) config_revision: ObjectRevision,
    pub(crate) objects: BTreeMap<(ObjectKind, String), StoredObject>,
    pub(crate) members: MemberTable,
    key_owners: BTreeMap<KeyHash, (ObjectKind, String)>,
}

impl ConfigView {
    /// Returns the log index of the last change.
    pub fn index(&self) -> LogIndex {
        self.index
    }

    /// Returns the configuration's revision: the number of changes accepted so far.
    pub fn config_revision(&self) -> ObjectRevision {
        self.config_revision
    }

    /// Returns the members.
    pub fn members(&self) -> &MemberTable {
        &self.members
    }

    /// Returns an object.
    pub fn object(&self, kind: ObjectKind, name: &str) -> Option<&StoredObject> {
        self.objects.get(&(kind, name.to_owned()))
    }

    /// Returns whether a team may create and change teams and drain daemons.
    pub fn is_admin(&self, team: &TeamId) -> bool {
        self.object(ObjectKind::Team, team.as_str())
            .is_some_and(|object| matches!(&object.spec, ObjectSpec::Team(spec) if spec.admin))
    }

    /// Returns the relative share of an account, or `None` if the account does not exist.
    pub fn account_share(&self, account: &AccountId) -> Option<u32> {
        match &self.object(ObjectKind::Account, account.as_str())?.spec {
            ObjectSpec::Account(spec) => Some(spec.share),
            _ => None,
        }
    }

    /// Returns the maximum prompt length of a model, or `None` if the model is not configured.
    pub fn model_limit(&self, model: &ModelId) -> Option<oriolepass_units::TokenCount> {
        match &self.object(ObjectKind::Model, model.as_str())?.spec {
            ObjectSpec::Model(spec) => Some(spec.max_prompt),
            _ => None,
        }
    }

    /// Lists the objects of one kind, or of all kinds.
    pub fn list(&self, kind: Option<ObjectKind>) -> ObjectList {
        let wanted = self.objects.iter().filter(|((k, _), _)| kind.is_none_or(|kind| kind == *k));
        ObjectList {
            config_revision: self.config_revision,
            objects: wanted.map(|((kind, name), object)| object.view(*kind, name)).collect(),
        }
    }

    /// Returns the client accounts with their names.
    pub fn accounts(&self) -> impl Iterator<Item = (&str, &AccountSpec)> {
        self.objects.iter().filter_map(|((_, name), object)| match &object.spec {
            ObjectSpec::Account(spec) => Some((name.as_str(), spec)),
            _ => None,
        })
    }

    /// Returns the object that a key authenticates.
    ///
    /// The lookup uses the key's hash, whose bytes an attacker cannot choose. The final comparison
    /// runs in constant time.
    pub fn key_owner(&self, key: &str) -> Option<KeyOwner> {
        let hash = KeyHash::of(key);
        let (stored, (kind, name)) = self.key_owners.get_key_value(&hash)?;
        let same: bool = stored.0.as_bytes().ct_eq(hash.0.as_bytes()).into();
        same.then(|| KeyOwner { kind: *kind, name: name.clone() })
    }

    /// Returns the kind and name of the object that holds a key hash.
    pub(crate) fn holder_of(&self, hash: &KeyHash) -> Option<&(ObjectKind, String)> {
        self.key_owners.get(hash)
    }

    /// Applies a delta that a voter or relay forwarded.
    ///
    /// Returns whether the delta was new. A delta at or below the view's index is ignored, so that
    /// the view never reverts when the daemon switches to another source.
    pub fn apply_delta(&mut self, delta: ViewDelta) -> bool {
        if delta.index <= self.index {
            return false;
        }
        self.index = delta.index;
        self.config_revision = delta.config_revision;
        match delta.change {
            ViewChange::Object { kind, name, object } => self.put_object(kind, name, object),
            ViewChange::Member(record) => {
                self.members.last_epoch = self.members.last_epoch.max(record.epoch);
                self.members.members.insert(record.instance.clone(), record);
            }
            ViewChange::MemberGone(instance) => {
                self.members.members.remove(&instance);
            }
        }
        true
    }

    /// Replaces or removes an object and updates the index of its keys.
    pub(crate) fn put_object(
        &mut self,
        kind: ObjectKind,
        name: String,
        object: Option<StoredObject>,
    ) {
        let key = (kind, name);
        if let Some(before) = self.objects.remove(&key) {
            before.spec.keys().iter().for_each(|hash| {
                self.key_owners.remove(hash);
            });
        }
        if let Some(object) = object {
            object.spec.keys().iter().for_each(|hash| {
                self.key_owners.insert(hash.clone(), key.clone());
            });
            self.objects.insert(key, object);
        }
    }
}

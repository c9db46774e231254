//! Requests and responses of the operators' API.
//!
//! A configuration is a set of objects. Each object is owned by one team and has a revision. A
//! change names the object, the revision that the operator expects and a change id that the
//! operator chooses. The expected revision resolves races: only one of two concurrent changes
//! succeeds. The change id identifies a change that is sent again.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use oriolepass_units::{
    ChangeId, DataCentreId, EndpointId, InstanceId, LeaderTerm, LogIndex, ObjectRevision, TeamId,
    TokenCount,
};
use serde::{Deserialize, Serialize};

/// The maximum number of keys of one object: the current key and its successor during a rotation.
pub const MAX_KEYS: usize = 2;

/// The kind of a configuration object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ObjectKind {
    /// A team of operators.
    Team,
    /// A client account.
    Account,
    /// A model with its desired placement.
    Model,
    /// A pool of endpoints: the keys with which they announce themselves, and their role.
    Pool,
}

impl fmt::Display for ObjectKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Team => "team",
            Self::Account => "account",
            Self::Model => "model",
            Self::Pool => "pool",
        })
    }
}

impl FromStr for ObjectKind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "team" => Ok(Self::Team),
            "account" => Ok(Self::Account),
            "model" => Ok(Self::Model),
            "pool" => Ok(Self::Pool),
            _ => Err(format!("{text:?} is no kind of object; write team, account, model or pool")),
        }
    }
}

/// The SHA-256 of a key, in lower-case hexadecimal. The key itself is never stored.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyHash(pub String);

impl KeyHash {
    /// Computes the hash of a key.
    pub fn of(key: &str) -> Self {
        Self(crate::digest::sha256_hex(key.as_bytes()))
    }

    /// Returns whether the text consists of 64 lower-case hexadecimal digits.
    pub fn is_well_formed(&self) -> bool {
        self.0.len() == 64 && self.0.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'))
    }
}

/// A team of operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamSpec {
    /// The hashes of the operators' keys.
    pub keys: Vec<KeyHash>,
    /// Whether the team may create and change teams.
    #[serde(default)]
    pub admin: bool,
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountSpec {
    /// The hashes of the callers' keys.
    pub keys: Vec<KeyHash>,
    /// The account's weight: under contention, an account with twice the share gets twice the work
    /// done.
    pub share: u32,
    /// The maximum number of tokens that the account's requests may hold in the memory of the
    /// engines of one home.
    #[serde(default)]
    pub max_held: Option<TokenCount>,
}

/// A model with its desired placement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// The version of the model to serve.
    pub version: String,
    /// The adapters to load with the model.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// The number of engines that should have the model loaded, per data centre.
    #[serde(default)]
    pub replicas: BTreeMap<DataCentreId, u32>,
    /// The maximum prompt length.
    pub max_prompt: TokenCount,
}

/// The requests that the endpoints of a pool serve.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PoolRole {
    /// Any request.
    #[default]
    General,
    /// Only short prompts.
    Short,
}

/// A pool of endpoints.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolSpec {
    /// The hashes of the keys with which the endpoints announce themselves.
    pub keys: Vec<KeyHash>,
    /// The requests that the endpoints serve.
    #[serde(default)]
    pub role: PoolRole,
}

/// The content of a configuration object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ObjectSpec {
    /// A team.
    Team(TeamSpec),
    /// A client account.
    Account(AccountSpec),
    /// A model.
    Model(ModelSpec),
    /// A pool of endpoints.
    Pool(PoolSpec),
}

impl ObjectSpec {
    /// Returns the kind of the object.
    pub fn kind(&self) -> ObjectKind {
        match self {
            Self::Team(_) => ObjectKind::Team,
            Self::Account(_) => ObjectKind::Account,
            Self::Model(_) => ObjectKind::Model,
            Self::Pool(_) => ObjectKind::Pool,
        }
    }

    /// Returns the key hashes of the object.
    pub fn keys(&self) -> &[KeyHash] {
        match self {
            Self::Team(spec) => &spec.keys,
            Self::Account(spec) => &spec.keys,
            Self::Pool(spec) => &spec.keys,
            Self::Model(_) => &[],
        }
    }
}

/// The operation of a change on an object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ChangeAction {
    /// Creates the object or replaces its content.
    Put(ObjectSpec),
    /// Removes the object.
    Delete(ObjectKind),
}

impl ChangeAction {
    /// Returns the kind of the object.
    pub fn kind(&self) -> ObjectKind {
        match self {
            Self::Put(spec) => spec.kind(),
            Self::Delete(kind) => *kind,
        }
    }
}

/// The body of `POST /v1/changes`: one change of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeCall {
    /// Identifies the change, so that a resend gets the answer of the first send.
    pub change_id: ChangeId,
    /// The object's name.
    pub name: String,
    /// The revision that the object must have; 0 to create the object.
    pub expected_revision: ObjectRevision,
    /// The operation.
    pub action: ChangeAction,
    /// The reason for the change, recorded in the audit trail.
    #[serde(default)]
    pub reason: String,
}

/// The answer to an accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeAnswer {
    /// The id of the change.
    pub change_id: ChangeId,
    /// The object's revision after the change.
    pub revision: ObjectRevision,
    /// The configuration's revision after the change. The change is in force at a daemon whose
    /// applied revision is at least this revision.
    pub config_revision: ObjectRevision,
}

/// One object with its revision, as returned by queries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectView {
    /// The object's kind.
    pub kind: ObjectKind,
    /// The object's name.
    pub name: String,
    /// The team that owns the object.
    pub team: TeamId,
    /// The object's revision.
    pub revision: ObjectRevision,
    /// The object's content.
    pub spec: ObjectSpec,
}

/// The answer to `GET /v1/objects`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectList {
    /// The configuration's revision that the list reflects.
    pub config_revision: ObjectRevision,
    /// The objects.
    pub objects: Vec<ObjectView>,
}

/// One entry of the audit trail.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// The position of the record, counted from 1.
    pub sequence: u64,
    /// The time at which the leader proposed the change, in milliseconds of Unix time.
    pub unix_ms: u64,
    /// The team or instance that requested the change.
    pub actor: String,
    /// The requested operation.
    pub action: String,
    /// The object's content before the change, as JSON with hashed keys; empty if there was none.
    pub before: String,
    /// The object's content after the change, in the same form.
    pub after: String,
    /// The configuration's revision after the change.
    pub config_revision: ObjectRevision,
    /// `accepted`, or the error code of the refusal.
    pub verdict: String,
    /// The reason that the operator gave.
    pub reason: String,
    /// SHA-256 over the previous record's hash and this record.
    pub hash: String,
}

impl AuditRecord {
    /// Computes the hash that the record must have if the previous record's hash is `previous`.
    pub fn expected_hash(&self, previous: &str) -> String {
        let fields = (
            previous,
            self.sequence,
            self.unix_ms,
            &self.actor,
            &self.action,
            (&self.before, &self.after),
            self.config_revision,
            &self.verdict,
            &self.reason,
        );
        let text = serde_json::to_string(&fields).expect("strings and integers always serialise");
        crate::digest::sha256_hex(text.as_bytes())
    }
}

/// The answer to `GET /v1/audit`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditTrailView {
    /// The hash of the record before the first record of the list.
    pub anchor: String,
    /// The records, oldest first.
    pub records: Vec<AuditRecord>,
}

impl AuditTrailView {
    /// Verifies the chain of hashes.
    ///
    /// # Errors
    ///
    /// Returns the sequence number of the first record whose hash does not continue the chain.
    pub fn verify(&self) -> Result<(), u64> {
        let mut previous = self.anchor.clone();
        for record in &self.records {
            if record.hash != record.expected_hash(&previous) {
                return Err(record.sequence);
            }
            previous.clone_from(&record.hash);
        }
        Ok(())
    }
}

/// The state of an endpoint as recorded by its home.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EndpointState {
    /// The endpoint is announced, but its held streams are not known yet.
    Joining,
    /// The endpoint accepts work.
    Live,
    /// Heartbeats are overdue; the endpoint gets no new work.
    Suspect,
    /// The endpoint reported that it is leaving and gets no new work.
    Leaving,
}

/// One endpoint, as recorded by its home.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointView {
    /// The id of the endpoint.
    pub endpoint: EndpointId,
    /// The state of the endpoint.
    pub state: EndpointState,
    /// The memory that the home's ledger records as held.
    pub held: TokenCount,
    /// The total memory of the endpoint.
    pub memory: TokenCount,
    /// The memory of streams that the endpoint lists and the home's ledger does not contain.
    pub unexplained: TokenCount,
}

/// One daemon, as recorded by the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberView {
    /// The id of the instance.
    pub instance: InstanceId,
    /// The data centre of the instance.
    pub data_centre: DataCentreId,
    /// Whether the daemon is draining.
    pub draining: bool,
    /// The daemon's address for operators.
    pub operators: SocketAddr,
    /// The configuration's revision in force at the daemon, as last reported; absent if the daemon
    /// has not reported to this leader yet.
    pub applied: Option<ObjectRevision>,
}

/// The answer to `GET /v1/status`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusAnswer {
    /// The instance of the daemon that answers.
    pub instance: InstanceId,
    /// The leader, if one is known.
    pub leader: Option<InstanceId>,
    /// The leader's term.
    pub term: LeaderTerm,
    /// The instances that vote in the replicated log.
    pub voters: Vec<InstanceId>,
    /// The instances that replicate the log in preparation for voting.
    pub learners: Vec<InstanceId>,
    /// The index of the last log entry that this daemon applied.
    pub applied_index: LogIndex,
    /// The configuration's revision in force at this daemon.
    pub config_revision: ObjectRevision,
    /// The daemons.
    pub members: Vec<MemberView>,
    /// The endpoints whose home is this daemon.
    pub endpoints: Vec<EndpointView>,
    /// The number of requests running through this daemon.
    pub running: u64,
}

/// The answer to `GET /v1/in-force`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForceAnswer {
    /// The revision that the query named.
    pub config_revision: ObjectRevision,
    /// Whether all members have the revision in force.
    pub everywhere: bool,
    /// The members that do not have the revision in force.
    pub lagging: Vec<InstanceId>,
}

/// The body of `POST /v1/voters`: the instances that should replicate the log as voters.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VotersCall {
    /// The instances; their number must be odd.
    pub wanted: Vec<InstanceId>,
}

/// The body of `POST /v1/drain`: makes a daemon leave gracefully.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainCall {
    /// The instance whose daemon should leave.
    pub instance: InstanceId,
}

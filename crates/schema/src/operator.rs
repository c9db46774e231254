//! The operators' calls.
//!
//! A configuration is a set of objects, each owned by one team and numbered by revisions. A
//! change names the object, the revision it expects and a change id of the operator's choice:
//! the revision lets one of two racing operators win, the id lets a resend be recognised.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use oriolepass_units::{
    ChangeId, DataCentreId, EndpointId, InstanceId, LeaderTerm, LogIndex, ObjectRevision, TeamId,
    TokenCount,
};
use serde::{Deserialize, Serialize};

/// The most keys that are valid for one holder at a time: the present one and its successor.
pub const MAX_KEYS: usize = 2;

/// The kinds of configuration object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ObjectKind {
    /// A team of operators.
    Team,
    /// A client account.
    Account,
    /// A model with its wanted placement.
    Model,
    /// A pool of endpoints: the key that they announce with, and their role.
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

/// The SHA-256 of a key, in lower-case hexadecimal. Keys themselves are never stored.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyHash(pub String);

impl KeyHash {
    /// Hashes a key.
    pub fn of(key: &str) -> Self {
        Self(crate::digest::sha256_hex(key.as_bytes()))
    }

    /// Returns whether the text has the form of a hash.
    pub fn is_well_formed(&self) -> bool {
        self.0.len() == 64 && self.0.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'))
    }
}

/// A team of operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamSpec {
    /// The operators' keys.
    pub keys: Vec<KeyHash>,
    /// Whether the team may create and change teams.
    #[serde(default)]
    pub admin: bool,
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountSpec {
    /// The callers' keys.
    pub keys: Vec<KeyHash>,
    /// Its weight among the accounts: twice the share is twice the work under contention.
    pub share: u32,
    /// The most tokens that its requests may hold in engine memory through one home.
    #[serde(default)]
    pub max_held: Option<TokenCount>,
}

/// A model with its wanted placement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// The version to serve.
    pub version: String,
    /// The adapters to load beside it.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// How many engines of each data centre should have it loaded.
    #[serde(default)]
    pub replicas: BTreeMap<DataCentreId, u32>,
    /// The longest prompt accepted.
    pub max_prompt: TokenCount,
}

/// What the endpoints of a pool are for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PoolRole {
    /// Any work.
    #[default]
    General,
    /// Short prompts only.
    Short,
}

/// A pool of endpoints.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolSpec {
    /// The keys that its endpoints announce with.
    pub keys: Vec<KeyHash>,
    /// What they are for.
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

    /// Returns the keys that the object holds.
    pub fn keys(&self) -> &[KeyHash] {
        match self {
            Self::Team(spec) => &spec.keys,
            Self::Account(spec) => &spec.keys,
            Self::Pool(spec) => &spec.keys,
            Self::Model(_) => &[],
        }
    }
}

/// What to do with an object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ChangeAction {
    /// Create it or replace its content.
    Put(ObjectSpec),
    /// Remove it.
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

/// `POST /v1/changes`: one change of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeCall {
    /// Names the change, so that a resend gets the first answer.
    pub change_id: ChangeId,
    /// The object's name.
    pub name: String,
    /// The revision that the object must have now; 0 to create it.
    pub expected_revision: ObjectRevision,
    /// What to do.
    pub action: ChangeAction,
    /// Why, for the audit trail.
    #[serde(default)]
    pub reason: String,
}

/// The answer to an accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeAnswer {
    /// The change.
    pub change_id: ChangeId,
    /// The object's revision after it.
    pub revision: ObjectRevision,
    /// The configuration's revision after it; it is in force at a daemon whose applied revision
    /// is at least this.
    pub config_revision: ObjectRevision,
}

/// One object with its revision, as queries show it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectView {
    /// Its kind.
    pub kind: ObjectKind,
    /// Its name.
    pub name: String,
    /// The team that owns it.
    pub team: TeamId,
    /// Its revision.
    pub revision: ObjectRevision,
    /// Its content.
    pub spec: ObjectSpec,
}

/// The answer of `GET /v1/objects`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectList {
    /// The configuration's revision that the list shows.
    pub config_revision: ObjectRevision,
    /// The objects.
    pub objects: Vec<ObjectView>,
}

/// One entry of the audit trail.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// Its position, counted from 1.
    pub sequence: u64,
    /// When the leader proposed it, in milliseconds of Unix time.
    pub unix_ms: u64,
    /// The team or instance that asked for it.
    pub actor: String,
    /// What was asked.
    pub action: String,
    /// The content before, as JSON, with keys hashed; empty where there was none.
    pub before: String,
    /// The content after, likewise.
    pub after: String,
    /// The configuration's revision after it.
    pub config_revision: ObjectRevision,
    /// `accepted`, or the code of the refusal.
    pub verdict: String,
    /// The reason given.
    pub reason: String,
    /// SHA-256 over the previous record's hash and this record.
    pub hash: String,
}

impl AuditRecord {
    /// Computes the hash that the record must carry after `previous`.
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
        let text = serde_json::to_string(&fields).expect("plain fields always serialise");
        crate::digest::sha256_hex(text.as_bytes())
    }
}

/// The answer of `GET /v1/audit`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditTrailView {
    /// The hash before the first record shown.
    pub anchor: String,
    /// The records, oldest first.
    pub records: Vec<AuditRecord>,
}

impl AuditTrailView {
    /// Checks the chain of hashes.
    ///
    /// # Errors
    ///
    /// Returns the sequence number of the first record that does not follow its predecessor.
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

/// The state of an endpoint in the eyes of its home.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EndpointState {
    /// Announced; its held streams are not known yet.
    Joining,
    /// Takes work.
    Live,
    /// Heartbeats are late; takes no new work.
    Suspect,
    /// Said that it leaves; takes no new work.
    Leaving,
}

/// One endpoint, as its home sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointView {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its state.
    pub state: EndpointState,
    /// Memory in the ledger.
    pub held: TokenCount,
    /// All its memory.
    pub memory: TokenCount,
    /// Memory that it reports and no lease explains.
    pub unexplained: TokenCount,
}

/// One daemon, as the leader sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberView {
    /// The instance.
    pub instance: InstanceId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Whether it is draining.
    pub draining: bool,
    /// Its address for operators.
    pub operators: SocketAddr,
    /// The configuration's revision in force there, as it last reported; absent where it has
    /// not reported to this leader yet.
    pub applied: Option<ObjectRevision>,
}

/// The answer of `GET /v1/status`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusAnswer {
    /// The daemon that answers.
    pub instance: InstanceId,
    /// The leader, if one is known.
    pub leader: Option<InstanceId>,
    /// The leader's term.
    pub term: LeaderTerm,
    /// The instances that vote in the replicated log.
    pub voters: Vec<InstanceId>,
    /// The instances that are catching up to vote.
    pub learners: Vec<InstanceId>,
    /// The log index applied here.
    pub applied_index: LogIndex,
    /// The configuration's revision in force here.
    pub config_revision: ObjectRevision,
    /// The daemons.
    pub members: Vec<MemberView>,
    /// The endpoints whose home is here.
    pub endpoints: Vec<EndpointView>,
    /// Requests running through here.
    pub running: u64,
}

/// The answer of `GET /v1/in-force`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForceAnswer {
    /// The revision asked about.
    pub config_revision: ObjectRevision,
    /// Whether every member has it in force.
    pub everywhere: bool,
    /// The members that have not.
    pub lagging: Vec<InstanceId>,
}

/// `POST /v1/voters`: which instances should hold the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VotersCall {
    /// The instances; an odd number of them.
    pub wanted: Vec<InstanceId>,
}

/// `POST /v1/drain`: let a daemon leave gracefully.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainCall {
    /// The instance that is to leave.
    pub instance: InstanceId,
}

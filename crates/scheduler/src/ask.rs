//! What entries ask of a home and what it answers.

use std::net::SocketAddr;
use std::time::Duration;

use oriolepass_schema::caller::RequestPriority;
use oriolepass_units::{
    AccountId, AttemptId, DataCentreId, EndpointId, InstanceId, ModelId, PrefixHash, ServiceName,
    TokenCount,
};
use serde::{Deserialize, Serialize};

/// What a request needs an endpoint for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum WorkTarget {
    /// A model.
    Model(ModelId),
    /// A plain service.
    Service(ServiceName),
}

/// An entry asks for the use of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// The attempt; fresh for every ask.
    pub attempt: AttemptId,
    /// The entry.
    pub entry: InstanceId,
    /// The account.
    pub account: AccountId,
    /// What is needed.
    pub target: WorkTarget,
    /// The prompt's length; 1 for a plain service.
    pub prompt: TokenCount,
    /// The longest answer; 0 for a plain service.
    pub answer: TokenCount,
    /// How urgent it is within its account.
    pub priority: RequestPriority,
    /// How long the entry will wait for the grant.
    pub patience: Duration,
    /// Hashes of the prompt's beginnings, the shortest first.
    pub prefix: Vec<PrefixHash>,
    /// Endpoints that failed this request already.
    pub exclude: Vec<EndpointId>,
}

impl GrantRequest {
    /// Returns the memory that the request needs for its whole life.
    pub fn need(&self) -> TokenCount {
        self.prompt + self.answer
    }
}

/// One endpoint of a grant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantedEndpoint {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its data centre, which together with its id tells its shard.
    pub data_centre: DataCentreId,
    /// Where it takes work.
    pub address: SocketAddr,
    /// Memory set aside there.
    pub reserved: TokenCount,
}

/// Permission to use endpoints.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptGrant {
    /// The attempt.
    pub attempt: AttemptId,
    /// The endpoints; the first one leads.
    pub members: Vec<GrantedEndpoint>,
    /// The priority to give to the engine.
    pub priority: u8,
    /// How long it lasts without renewal.
    pub lease: Duration,
}

/// Why a home refuses.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum GrantRefusal {
    /// No endpoint of this home serves it.
    NotServed,
    /// Every endpoint of this home that serves it has failed this request already.
    AllExcluded,
    /// It needs more memory than its endpoints may ever give.
    TooBig {
        /// The most that a request may need here.
        limit: TokenCount,
    },
    /// There is no room in the queue, or no hope to be served in time.
    Busy {
        /// When to come back.
        retry_after: Duration,
    },
    /// The account has too much waiting already.
    AccountBusy {
        /// When to come back.
        retry_after: Duration,
    },
    /// The daemon is not, or no longer, the home.
    NotHome,
}

/// Why an entry gives a grant back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReleaseReason {
    /// The endpoint itself ended the work, so it holds nothing any more.
    Ended {
        /// Tokens of answer produced.
        tokens: TokenCount,
    },
    /// Nothing was sent, so the endpoint never held anything.
    NeverSent,
    /// The connection broke or the work was given up; the endpoint may still hold it.
    Abandoned,
}

/// What a home wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HomeCommand {
    /// Tell the entry that it may use endpoints.
    Grant(PromptGrant),
    /// Tell the entry that it may not.
    Refuse {
        /// The attempt.
        attempt: AttemptId,
        /// Why.
        refusal: GrantRefusal,
    },
    /// Make an endpoint drop an attempt.
    Cancel {
        /// The endpoint.
        endpoint: EndpointId,
        /// Where it takes calls.
        address: SocketAddr,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Ask an endpoint what it holds.
    Inspect {
        /// The endpoint.
        endpoint: EndpointId,
        /// Where it takes calls.
        address: SocketAddr,
    },
}

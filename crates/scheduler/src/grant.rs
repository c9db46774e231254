//! Messages between an entry and a home: grant requests, grants and refusals.

use std::net::SocketAddr;
use std::time::Duration;

use oriolepass_schema::caller::RequestPriority;
use oriolepass_units::{
    AccountId, AttemptId, DataCentreId, EndpointId, InstanceId, ModelId, PrefixHash, ServiceName,
    TokenCount,
};
use serde::{Deserialize, Serialize};

/// The target that a request needs an endpoint for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum WorkTarget {
    /// A model.
    Model(ModelId),
    /// A plain service.
    Service(ServiceName),
}

/// A request of an entry for the use of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// The attempt; unique for each grant request.
    pub attempt: AttemptId,
    /// The instance that the caller's request arrived at.
    pub entry: InstanceId,
    /// The client account that is charged.
    pub account: AccountId,
    /// The model or service that is needed.
    pub target: WorkTarget,
    /// Length of the prompt; 1 for a plain service.
    pub prompt: TokenCount,
    /// Maximum length of the answer; 0 for a plain service.
    pub answer: TokenCount,
    /// Priority within the account.
    pub priority: RequestPriority,
    /// Timeout after which the entry no longer waits for the grant.
    pub patience: Duration,
    /// Hashes of the prompt's prefixes, the shortest first.
    pub prefix: Vec<PrefixHash>,
    /// Endpoints that have already failed this request.
    pub exclude: Vec<EndpointId>,
}

impl GrantRequest {
    /// Returns the memory that the request needs for its whole lifetime.
    pub fn need(&self) -> TokenCount {
        self.prompt + self.answer
    }
}

/// One endpoint of a grant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantedEndpoint {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The endpoint's data centre, which determines its shard together with its id.
    pub data_centre: DataCentreId,
    /// The address that accepts work.
    pub address: SocketAddr,
    /// Memory reserved on the endpoint.
    pub reserved: TokenCount,
}

/// Permission to use endpoints for one attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptGrant {
    /// The attempt.
    pub attempt: AttemptId,
    /// The endpoints of the group; the first is the leading endpoint.
    pub members: Vec<GrantedEndpoint>,
    /// The priority that the engine processes the prompt with.
    pub priority: u8,
    /// Validity of the grant without renewal.
    pub lease: Duration,
}

/// Reason why a home refuses a grant request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum GrantRefusal {
    /// No endpoint of this home serves the target.
    NotServed,
    /// Every endpoint of this home that serves the target has already failed this request.
    AllExcluded,
    /// The request needs more memory than this home can ever grant for it.
    TooBig {
        /// Maximum memory of one request at this home.
        limit: TokenCount,
    },
    /// The queue is full, or the request was not served before its timeout.
    Busy {
        /// Delay before the next grant request.
        retry_after: Duration,
    },
    /// The account's queue is full.
    AccountBusy {
        /// Delay before the next grant request.
        retry_after: Duration,
    },
    /// The daemon is not, or is no longer, the home.
    NotHome,
}

/// Reason why an entry releases a grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReleaseReason {
    /// The endpoint itself ended the work, so it no longer holds memory for the attempt.
    Ended {
        /// Answer tokens produced.
        tokens: TokenCount,
    },
    /// Nothing was sent, so the endpoint never held memory for the attempt.
    NeverSent,
    /// The connection broke or the entry abandoned the work; the endpoint may still hold memory.
    Abandoned,
}

/// A command that the home's caller carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HomeCommand {
    /// Send a grant to the entry.
    Grant(PromptGrant),
    /// Send a refusal to the entry.
    Refuse {
        /// The attempt.
        attempt: AttemptId,
        /// The reason.
        refusal: GrantRefusal,
    },
    /// Cancel an attempt on an endpoint.
    Cancel {
        /// The endpoint.
        endpoint: EndpointId,
        /// The address that accepts control calls.
        address: SocketAddr,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Query an endpoint for the streams that it holds.
    Inspect {
        /// The endpoint.
        endpoint: EndpointId,
        /// The address that accepts control calls.
        address: SocketAddr,
    },
}

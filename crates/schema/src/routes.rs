//! Every call of the three listeners.

use std::fmt;

/// Who uses a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RouteListener {
    /// Callers.
    Callers,
    /// Endpoints.
    Endpoints,
    /// Operators.
    Operators,
}

impl fmt::Display for RouteListener {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Callers => "callers",
            Self::Endpoints => "endpoints",
            Self::Operators => "operators",
        })
    }
}

/// One call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ApiRoute {
    /// Who makes it.
    pub listener: RouteListener,
    /// Its method.
    pub method: &'static str,
    /// Its path as the schema writes it, with parameters in braces.
    pub path: &'static str,
    /// Its path as the router writes it.
    pub pattern: &'static str,
}

macro_rules! routes {
    ($($(#[$doc:meta])* $name:ident = $listener:ident $method:literal $path:literal $pattern:literal;)*) => {
        $($(#[$doc])* pub const $name: ApiRoute = ApiRoute {
            listener: RouteListener::$listener,
            method: $method,
            path: $path,
            pattern: $pattern,
        };)*

        /// All calls.
        pub const ROUTES: &[ApiRoute] = &[$($name),*];
    };
}

routes! {
    /// Which addresses to use.
    ADDRESSES = Callers "GET" "/v1/addresses" "/v1/addresses";
    /// Completes a prompt.
    COMPLETIONS = Callers "POST" "/v1/completions" "/v1/completions";
    /// Continues a chat.
    CHAT_COMPLETIONS = Callers "POST" "/v1/chat/completions" "/v1/chat/completions";
    /// Calls a plain service.
    SERVICES = Callers "POST" "/v1/services/{service}/{path}" "/v1/services/*";
    /// An endpoint makes itself known.
    ANNOUNCE = Endpoints "POST" "/v1/endpoints/announce" "/v1/endpoints/announce";
    /// An endpoint is alive.
    HEARTBEAT = Endpoints "POST" "/v1/endpoints/heartbeat" "/v1/endpoints/heartbeat";
    /// An engine's prefix cache changed.
    CACHE_EVENTS = Endpoints "POST" "/v1/endpoints/cache-events" "/v1/endpoints/cache-events";
    /// An endpoint leaves.
    LEAVE = Endpoints "POST" "/v1/endpoints/leave" "/v1/endpoints/leave";
    /// Whether the process runs.
    LIVE = Operators "GET" "/health/live" "/health/live";
    /// Whether it serves.
    READY = Operators "GET" "/health/ready" "/health/ready";
    /// Counters and gauges.
    METRICS = Operators "GET" "/metrics" "/metrics";
    /// The schema.
    SCHEMA = Operators "GET" "/v1/schema" "/v1/schema";
    /// Lists objects.
    OBJECTS = Operators "GET" "/v1/objects" "/v1/objects";
    /// Shows one object.
    OBJECT = Operators "GET" "/v1/objects/{kind}/{name}" "/v1/objects/*";
    /// The state of the system.
    STATUS = Operators "GET" "/v1/status" "/v1/status";
    /// Whether a revision is in force everywhere.
    IN_FORCE = Operators "GET" "/v1/in-force" "/v1/in-force";
    /// The audit trail.
    AUDIT = Operators "GET" "/v1/audit" "/v1/audit";
    /// Changes the configuration.
    CHANGES = Operators "POST" "/v1/changes" "/v1/changes";
    /// Lets a daemon leave.
    DRAIN = Operators "POST" "/v1/drain" "/v1/drain";
    /// Says which instances should hold the log.
    VOTERS = Operators "POST" "/v1/voters" "/v1/voters";
}

//! The HTTP routes of the three listeners.

use std::fmt;

/// The listener that serves a route, named after its clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RouteListener {
    /// The listener for callers.
    Callers,
    /// The listener for endpoints.
    Endpoints,
    /// The listener for operators.
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

/// The route of one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ApiRoute {
    /// The listener that serves the route.
    pub listener: RouteListener,
    /// The HTTP method.
    pub method: &'static str,
    /// The path in the notation of the OpenAPI description, with parameters in braces.
    pub path: &'static str,
    /// The path in the notation of the router.
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

        /// All routes.
        pub const ROUTES: &[ApiRoute] = &[$($name),*];
    };
}

routes! {
    /// Lists the addresses that callers should use.
    ADDRESSES = Callers "GET" "/v1/addresses" "/v1/addresses";
    /// Completes a prompt.
    COMPLETIONS = Callers "POST" "/v1/completions" "/v1/completions";
    /// Continues a chat.
    CHAT_COMPLETIONS = Callers "POST" "/v1/chat/completions" "/v1/chat/completions";
    /// Calls a plain service.
    SERVICES = Callers "POST" "/v1/services/{service}/{path}" "/v1/services/*";
    /// Registers an endpoint.
    ANNOUNCE = Endpoints "POST" "/v1/endpoints/announce" "/v1/endpoints/announce";
    /// Reports that an endpoint is alive.
    HEARTBEAT = Endpoints "POST" "/v1/endpoints/heartbeat" "/v1/endpoints/heartbeat";
    /// Reports changes of an engine's prefix cache.
    CACHE_EVENTS = Endpoints "POST" "/v1/endpoints/cache-events" "/v1/endpoints/cache-events";
    /// Reports that an endpoint is leaving.
    LEAVE = Endpoints "POST" "/v1/endpoints/leave" "/v1/endpoints/leave";
    /// Reports whether the process is running.
    LIVE = Operators "GET" "/health/live" "/health/live";
    /// Reports whether the daemon is ready to serve.
    READY = Operators "GET" "/health/ready" "/health/ready";
    /// Returns counters and gauges.
    METRICS = Operators "GET" "/metrics" "/metrics";
    /// Returns the OpenAPI description.
    SCHEMA = Operators "GET" "/v1/schema" "/v1/schema";
    /// Lists configuration objects.
    OBJECTS = Operators "GET" "/v1/objects" "/v1/objects";
    /// Returns one configuration object.
    OBJECT = Operators "GET" "/v1/objects/{kind}/{name}" "/v1/objects/*";
    /// Returns the state of the system.
    STATUS = Operators "GET" "/v1/status" "/v1/status";
    /// Reports whether a configuration revision is in force at all members.
    IN_FORCE = Operators "GET" "/v1/in-force" "/v1/in-force";
    /// Returns the audit trail.
    AUDIT = Operators "GET" "/v1/audit" "/v1/audit";
    /// Changes the configuration.
    CHANGES = Operators "POST" "/v1/changes" "/v1/changes";
    /// Makes a daemon leave gracefully.
    DRAIN = Operators "POST" "/v1/drain" "/v1/drain";
    /// Sets the instances that should replicate the log as voters.
    VOTERS = Operators "POST" "/v1/voters" "/v1/voters";
}

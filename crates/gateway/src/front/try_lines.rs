//! Writes the log lines of a request's sends.

use std::time::Duration;

use oriolepass_units::EndpointStart;

use super::caller::CallerRequest;
use super::placement::Placement;
use super::tries::SendHistory;
use crate::events::{EventKind, EventLine};
use crate::gateway::Gateway;

impl SendHistory {
    /// Logs that a send failed, and whether the request is sent again.
    pub(super) fn log_failure(
        &self,
        gateway: &Gateway,
        request: &CallerRequest,
        endpoint: Option<&EndpointStart>,
        reason: &str,
        will_resend: bool,
    ) {
        gateway
            .line(EventKind::SendFailed)
            .text("request", &request.id)
            .number("send", self.sends())
            .number("may_have_run", self.runs())
            .maybe("endpoint", endpoint)
            .text("reason", reason)
            .millis("left_ms", request.time_left())
            .text("next", if will_resend { "send again" } else { "give up" });
    }

    /// Logs that a request is sent, with the endpoint and the data on which its selection is based.
    pub(super) fn log_send(
        &self,
        gateway: &Gateway,
        request: &CallerRequest,
        placement: &Placement,
    ) {
        let proof_age = gateway.documents.borrow().proof_age(gateway.now());
        let document = gateway.active_document();
        let mut line = gateway
            .line(EventKind::Send)
            .text("request", &request.id)
            .number("send", self.sends())
            .text("endpoint", &placement.endpoint)
            .text("address", placement.address)
            .text("placed_by", placement.placed_by)
            .maybe("revision", document.map(|document| document.text.revision))
            .millis("proof_age_ms", proof_age.unwrap_or(Duration::MAX))
            .millis("left_ms", request.time_left())
            .maybe("limit_per_s", gateway.limits.borrow().table().limit(&placement.endpoint))
            .maybe("after_event", self.last_event)
            .maybe("appointment", placement.appointment);
        if let Some(plan) = &placement.plan {
            line = line
                .number("prompt_tokens", request.facts.prompt_tokens.unwrap_or(0))
                .number("priority", request.priority())
                .number("helpers", placement.helpers.len())
                .maybe("helped_by", helped_by(placement))
                .millis("predicted_first_ms", plan.first_event);
        }
        drop(line);
    }
}

/// Begins the log line with the reason why no endpoint, or no second endpoint, was selected for a
/// request.
pub(super) fn no_place_line<'a>(
    gateway: &'a Gateway,
    request: &CallerRequest,
    reason: &str,
) -> EventLine<'a> {
    gateway
        .line(EventKind::NoPlace)
        .text("request", &request.id)
        .text("service", &request.service.name)
        .number("prompt_tokens", request.facts.prompt_tokens.unwrap_or(0))
        .number("priority", request.priority())
        .millis("waited_ms", request.arrived.elapsed())
        .millis("left_ms", request.time_left())
        .text("reason", reason)
}

/// Lists the addresses of the helpers that read parts of a prompt. Returns `None` if one engine
/// reads the whole prompt.
fn helped_by(placement: &Placement) -> Option<String> {
    let addresses: Vec<String> =
        placement.helpers.iter().map(|helper| helper.address.to_string()).collect();
    (!addresses.is_empty()).then(|| addresses.join(" "))
}

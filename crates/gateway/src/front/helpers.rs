//! Checks helpers of which a main engine says that they failed a prompt.
//!
//! A helper may be busy with other prompts, or it may be gone. A busy helper remains a good choice for
//! the next prompt. A helper that is gone fails every prompt until its heartbeats are missed, so the
//! home has to learn of it at once. The two are told apart by a call that a busy engine answers too, and
//! that the next start at its address turns away.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use oriolepass_units::EndpointStart;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::balancer::FaultKind;
use crate::events::EventKind;
use crate::gateway::Gateway;
use crate::peers::ProgressNote;
use crate::upstream::{EndpointTarget, StartAnswer, ask_start};

/// The time-out of the call that checks a helper.
const CHECK_TIMEOUT: Duration = Duration::from_millis(800);

/// The helpers that are being checked.
#[derive(Debug, Default)]
pub(crate) struct HelperChecks(BTreeSet<EndpointStart>);

/// Checks a helper that failed a request, unless it is being checked already. Reports it as failed
/// unless it answers.
pub(super) fn check_helper(gateway: &Rc<Gateway>, request: &str, engine: EndpointTarget) {
    let helper = engine.endpoint.clone();
    if gateway.is_resting(&helper) {
        return;
    }
    if !gateway.helper_checks.borrow_mut().0.insert(helper.clone()) {
        return;
    }
    let (gateway, request) = (Rc::clone(gateway), request.to_owned());
    spawn_local(async move {
        let question = (gateway.dialect.ask_engine_start)(&helper);
        let asked = timeout(CHECK_TIMEOUT, ask_start(&gateway, &engine, question)).await;
        let is_alive = matches!(asked, Ok(StartAnswer::Same | StartAnswer::Unnamed));
        gateway.helper_checks.borrow_mut().0.remove(&helper);
        gateway
            .line(EventKind::HelperCheck)
            .text("request", &request)
            .text("endpoint", &helper)
            .text("outcome", if is_alive { "answered" } else { "no answer" });
        if !is_alive {
            gateway.endpoint_fault(&request, &helper, FaultKind::Unreachable);
            gateway.report_progress(ProgressNote::Failed(helper));
        }
    });
}

//! The limits on their request rates that endpoints name in their answers.

use std::time::Duration;

use oriolepass_limits::{LimitChange, LimitNotice};
use oriolepass_units::EndpointStart;

use crate::dialect::LimitStatement;
use crate::events::EventKind;
use crate::gateway::Gateway;

impl Gateway {
    /// Records what an answer of an endpoint states about its limit.
    pub(crate) fn record_limit(&self, endpoint: &EndpointStart, statement: LimitStatement) {
        let limit = match statement {
            LimitStatement::Unlimited => None,
            LimitStatement::Limited(rate) => Some(rate),
            // Neither names a limit nor lifts one.
            LimitStatement::Unreadable => return,
        };
        let notice = LimitNotice { endpoint: endpoint.clone(), limit, age: Duration::ZERO };
        if self.limits.borrow_mut().record(self.now(), &notice) == LimitChange::Changed {
            self.line(EventKind::Limit)
                .text("endpoint", endpoint)
                .maybe("limit_per_s", limit)
                .text("outcome", if limit.is_some() { "named" } else { "lifted" });
            self.count_limits();
        }
    }

    pub(crate) fn count_limits(&self) {
        let count = self.limits.borrow().limited_count();
        self.metrics.limited_endpoints.set(i64::try_from(count).unwrap_or(i64::MAX));
    }
}

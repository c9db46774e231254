//! Takes repeated sends from the retry budget in each role of a daemon, and grants them to leaves.

use std::time::Duration;

use oriolepass_consensus::ConsensusNode;
use oriolepass_units::ServiceName;

use crate::events::EventKind;
use crate::gateway::{Gateway, PeerReply};
use crate::hubs::Tier;
use crate::peers::PeerMessage;

/// How long a leaf waits for the answer to a `RepeatAsk`. The caller's request waits meanwhile.
const REPEAT_GRANT_TIMEOUT: Duration = Duration::from_millis(100);

impl Gateway {
    /// Takes one repeated send to a service from the budget; returns whether the budget allows it.
    ///
    /// A leaf requests it from its primary hub when the share from its own requests is used up.
    pub(crate) async fn take_repeated_send(&self, service: &ServiceName) -> bool {
        let is_allowed = self.try_repeated_send(service).await;
        if !is_allowed {
            self.metrics.budget_refusals.inc();
            self.report_budget_refusal(service);
        }
        is_allowed
    }

    async fn try_repeated_send(&self, service: &ServiceName) -> bool {
        let (now, rule) = (self.now(), self.budget_rule());
        match self.tier() {
            Tier::Mesh => {
                let daemons = self.budget_divisor();
                return self.budget.borrow_mut().take(now, &rule, daemons, service);
            }
            Tier::Hub | Tier::Leaf
                if self.budget.borrow_mut().take_from_ratio(now, &rule, service) =>
            {
                return true;
            }
            Tier::Hub => return self.grant_repeat(service),
            Tier::Leaf => {}
        }
        let Some(hub) = self.attached_hubs().into_iter().next() else { return false };
        let request = |token| PeerMessage::RepeatAsk { token, service: service.clone() };
        matches!(
            self.call(&hub, REPEAT_GRANT_TIMEOUT, request).await,
            Some(PeerReply::Repeat(true))
        )
    }

    /// Judges whether the whole system starts for the first time, once there is evidence. Only then may
    /// this process use its whole share of the budget at once.
    ///
    /// The settings alone do not show it: a process that ended may start again with the settings of
    /// the first start. A system that has accepted no command has not served a request.
    pub(crate) fn judge_start(&self) {
        if self.is_start_judged.get() {
            return;
        }
        let own = self.with_node(ConsensusNode::holds_command);
        let (is_founded, is_founding) = {
            let (now, roster) = (self.now(), self.roster.borrow());
            let is_founded = own == Some(true) || roster.knows_founded_system(now);
            (is_founded, own == Some(false) || roster.knows_system_without_command(now))
        };
        if !is_founded && !is_founding {
            return;
        }
        self.is_start_judged.set(true);
        let is_first = !is_founded && self.active_document().is_none();
        if is_first {
            self.budget.borrow_mut().confirm_first_start();
        }
        self.line(EventKind::RetryBudget)
            .number("founded", is_founded)
            .text("outcome", if is_first { "first start" } else { "later start" });
    }

    /// Takes one repeated send from this hub's part of the budget; returns whether there was one.
    pub(crate) fn grant_repeat(&self, service: &ServiceName) -> bool {
        if self.tier() != Tier::Hub {
            return false;
        }
        let hubs = self.budget_divisor();
        self.budget.borrow_mut().grant(self.now(), &self.budget_rule(), hubs, service)
    }

    /// Returns the number of daemons that share the fixed number: all in a mesh, else the hubs. Silent
    /// ones are counted too: they may be alive on the other side of a partition and use their share.
    fn budget_divisor(&self) -> usize {
        match self.tier() {
            Tier::Mesh => self.max_daemon_count(),
            Tier::Hub | Tier::Leaf => self.roster.borrow().budget_hub_count() + 1,
        }
    }

    /// Logs what this daemon has used of the budget, at most once a second.
    fn report_budget_refusal(&self, service: &ServiceName) {
        let (now, rule) = (self.now(), self.budget_rule());
        let report = self.budget.borrow_mut().refusal_report(now, &rule, service);
        let Some(usage) = report else { return };
        self.line(EventKind::RetryBudget)
            .text("service", service)
            .number("requests", usage.requests)
            .number("repeats", usage.repeats)
            .number("grants", usage.grants)
            .number("fixed_share", format!("{:.2}", usage.fixed_share))
            .number("known", self.roster.borrow().known_count())
            .number("divisor", self.budget_divisor())
            .text("role", self.tier().name())
            .text("outcome", "refused");
    }
}

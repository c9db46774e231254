//! Maintains the ledger of held memory and reconciles it with the streams that endpoints list.

use std::collections::BTreeSet;

use oriolepass_schema::endpoint::HeldStream;
use oriolepass_schema::operator::EndpointState;
use oriolepass_units::{AttemptId, EndpointId, MonotonicTime, TokenCount};

use crate::endpoint::{HoldState, MemoryHold};
use crate::grant::HomeCommand;
use crate::home::HomeScheduler;

impl HomeScheduler {
    /// Reconciles the ledger with the streams that an endpoint holds, as listed in its answer to an
    /// [`HomeCommand::Inspect`] that was sent at `requested_at`.
    pub fn held_streams(
        &mut self,
        now: MonotonicTime,
        requested_at: MonotonicTime,
        endpoint: &EndpointId,
        streams: &[HeldStream],
    ) {
        let lease = self.config.grant_lease;
        let grace = self.config.unexplained_grace;
        let Some(entry) = self.endpoints.get_mut(endpoint) else { return };
        let joining = entry.state == EndpointState::Joining;
        let listed: BTreeSet<&AttemptId> = streams.iter().map(|s| &s.attempt).collect();
        for stream in streams {
            if entry.holds.contains_key(&stream.attempt) {
                continue;
            }
            if joining {
                // The stream was granted by an earlier home. It is an orphan unless its entry
                // renews it within the grant lease.
                let state = HoldState::Adopted(now + lease);
                entry.holds.insert(
                    stream.attempt.clone(),
                    MemoryHold { reserved: stream.reserved, state },
                );
                entry.held += stream.reserved;
            } else {
                entry.unexplained.entry(stream.attempt.clone()).or_insert((stream.reserved, now));
            }
        }
        entry.unexplained.retain(|attempt, _| listed.contains(attempt));
        let cancelled: Vec<AttemptId> = entry
            .unexplained
            .iter()
            .filter(|(_, (_, since))| now.since(*since) >= grace)
            .map(|(attempt, _)| attempt.clone())
            .collect();
        // The memory of a cancelled stream is free once a list that was requested after the
        // cancellation no longer contains the stream. An earlier list proves nothing.
        let freed: Vec<AttemptId> = entry
            .holds
            .iter()
            .filter(|(attempt, hold)| {
                let HoldState::Cancelling(since) = hold.state else { return false };
                requested_at >= since && !listed.contains(attempt)
            })
            .map(|(attempt, _)| attempt.clone())
            .collect();
        entry.inspected = true;
        entry.finish_joining(now);
        let address = entry.address;
        self.counters.cancelled_unexplained += cancelled.len() as u64;
        for attempt in cancelled {
            let endpoint = endpoint.clone();
            self.commands.push(HomeCommand::Cancel { endpoint, address, attempt });
        }
        freed.iter().for_each(|attempt| self.free(endpoint, attempt));
        self.dispatch_all(now);
    }

    /// Reserves memory on an endpoint for an attempt.
    ///
    /// # Panics
    ///
    /// Panics when the endpoint has less free memory than needed: a ledger that grants the same
    /// memory twice makes an engine drop running work.
    pub(crate) fn hold(&mut self, endpoint: &EndpointId, attempt: &AttemptId, need: TokenCount) {
        let entry = self.endpoints.get_mut(endpoint).expect("a placed prompt's endpoint");
        assert!(need <= entry.free(), "{endpoint} has {} free, {need} needed", entry.free());
        let hold = MemoryHold { reserved: need, state: HoldState::Granted };
        let before = entry.holds.insert(attempt.clone(), hold);
        assert!(before.is_none(), "attempt {attempt} holds memory on {endpoint} twice");
        entry.held += need;
    }

    /// Frees the memory that an attempt holds on an endpoint.
    pub(crate) fn free(&mut self, endpoint: &EndpointId, attempt: &AttemptId) {
        let Some(entry) = self.endpoints.get_mut(endpoint) else { return };
        if let Some(hold) = entry.holds.remove(attempt) {
            entry.held -= hold.reserved;
        }
    }

    /// Cancels an attempt that may still hold memory on an endpoint. The memory counts as held
    /// until the endpoint no longer lists the attempt.
    pub(crate) fn cancel_hold(
        &mut self,
        now: MonotonicTime,
        endpoint: &EndpointId,
        attempt: &AttemptId,
    ) {
        let Some(entry) = self.endpoints.get_mut(endpoint) else { return };
        let Some(hold) = entry.holds.get_mut(attempt) else { return };
        if !matches!(hold.state, HoldState::Cancelling(_)) {
            hold.state = HoldState::Cancelling(now);
        }
        entry.inspect_due = entry.inspect_due.min(now + self.config.unexplained_grace / 4);
        self.commands.push(HomeCommand::Cancel {
            endpoint: endpoint.clone(),
            address: entry.address,
            attempt: attempt.clone(),
        });
    }

    /// Cancels adopted streams that were not renewed in time, and resends cancellations that the
    /// endpoint has not confirmed.
    pub(crate) fn expire_holds(&mut self, now: MonotonicTime) {
        let grace = self.config.unexplained_grace;
        let due: Vec<(EndpointId, AttemptId)> = self
            .endpoints
            .iter()
            .flat_map(|(endpoint, entry)| {
                entry.holds.iter().filter_map(move |(attempt, hold)| {
                    let due = match hold.state {
                        HoldState::Granted => false,
                        HoldState::Adopted(expires_at) => now >= expires_at,
                        HoldState::Cancelling(since) => now.since(since) >= grace,
                    };
                    due.then(|| (endpoint.clone(), attempt.clone()))
                })
            })
            .collect();
        for (endpoint, attempt) in due {
            self.cancel_hold(now, &endpoint, &attempt);
            let entry = self.endpoints.get_mut(&endpoint).expect("listed above");
            // Restarts the grace period, after which the cancellation is sent again.
            entry.holds.get_mut(&attempt).expect("listed above").state = HoldState::Cancelling(now);
        }
    }
}

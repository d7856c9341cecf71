//! Keyed calls: sent by callers, routed by entries, started and finished at processes.

use std::sync::Arc;

use sassafrasgap::claims::KeyDecision;
use sassafrasgap::claims::KeyOutcome;
use sassafrasgap::claims::KeyedCall;
use sassafrasgap::claims::ResendLimits;
use sassafrasgap::claims::slot_of;
use sassafrasgap::control::KeptAnswer;
use sassafrasgap::core::Name;
use sassafrasgap::core::Refusal;
use sassafrasgap::core::RefusalReason;

use super::ATTEMPTS;
use super::Event;
use super::KeyedRequest;
use super::Process;
use super::Simulation;
use super::WINDOW_MS;

impl Simulation {
    /// A caller sends a new key, and sends it again `resends` times within the resend window.
    pub fn new_key(&mut self, resends: u64) -> Name {
        self.keys += 1;
        let key = Name::from(format!("key-{}", self.keys));
        self.truth.sent.insert(key.clone(), self.now);
        for resend in 0..=resends {
            let after_ms = if resend == 0 {
                0
            } else {
                self.rng.u64(0..WINDOW_MS)
            };
            self.send_key(&key, after_ms);
        }
        key
    }

    /// A caller sends a key through an entry, which may be paused for a time that is too short to
    /// be detected.
    pub fn send_key(&mut self, key: &Name, after_ms: u64) {
        let limits = ResendLimits::new(WINDOW_MS);
        let late = self.chance(self.fault_rates.late_permille);
        let pause_ms = if late {
            self.rng.u64(0..limits.max_undetected_pause_ms())
        } else {
            0
        };
        let request = KeyedRequest {
            key: key.clone(),
            arrived_at: self.now + after_ms + pause_ms,
            attempts: 0,
            next: None,
        };
        self.push(after_ms + pause_ms, None, Event::Send { request });
    }

    pub(super) fn send(&mut self, mut request: KeyedRequest) {
        let limits = ResendLimits::new(WINDOW_MS);
        let too_late = self.now - request.arrived_at > limits.attempt_window_ms();
        if too_late || request.attempts >= ATTEMPTS {
            let refusal = Refusal::unknown(RefusalReason::NotOwner, 0);
            self.truth.report_refused(&request.key, refusal);
            return;
        }
        request.attempts += 1;
        let (to, stamp) = request
            .next
            .take()
            .unwrap_or_else(|| (self.route(&request.key), 0));
        // An attempt may stay in a buffer for a very long time. The stamp has to reveal that.
        let stuck = self.chance(self.fault_rates.late_permille / 2);
        let delay = if stuck {
            Some(self.rng.u64(0..4 * WINDOW_MS))
        } else {
            self.delay()
        };
        if let Some(delay) = delay {
            self.post(to, delay, Event::Attempt { request, stamp });
        }
    }

    /// Usually the owner named by the row; sometimes any process, as from an entry with outdated
    /// hints.
    pub(super) fn route(&mut self, key: &str) -> usize {
        let owner = self
            .store
            .map()
            .and_then(|map| map.slots[slot_of("jobs", key)].owner);
        let by_row = owner.and_then(|owner| {
            let is_owner = |process: &Process| process.instance == owner;
            self.processes.iter().position(is_owner)
        });
        match by_row {
            Some(index) if !self.chance(self.fault_rates.late_permille * 5) => index,
            _ => self.rng.usize(0..self.processes.len()),
        }
    }

    pub(super) fn attempt(&mut self, index: usize, mut request: KeyedRequest, stamp: u64) {
        let process = &mut self.processes[index];
        let now = process.clock(self.now);
        let call = KeyedCall {
            key: &request.key,
            fingerprint: 1,
            stamp,
            first_sending: false,
        };
        match process.ledger.begin(now, &call) {
            KeyDecision::Run => {
                let key = request.key;
                let late = self.chance(self.fault_rates.late_permille);
                let wait_ms = self.rng.u64(0..if late { 5_000 } else { 200 });
                self.post(index, wait_ms, Event::Dispatch { key });
            }
            KeyDecision::Join => {}
            KeyDecision::Answer(_) => self.truth.report_ran(&request.key, self.now),
            KeyDecision::Refuse(refusal) if refusal.reason == RefusalReason::StaleAttempt => {
                request.next = Some((index, process.ledger.stamp(now)));
                let delay = self.rng.u64(1..20);
                self.push(delay, None, Event::Send { request });
            }
            KeyDecision::Refuse(refusal) if refusal.reason == RefusalReason::NotOwner => {
                self.push(50, None, Event::Send { request });
            }
            KeyDecision::Refuse(refusal) => self.truth.report_refused(&request.key, refusal),
        }
    }

    pub(super) fn dispatch(&mut self, index: usize, key: Name) {
        if self.chance(self.fault_rates.shed_permille) {
            self.processes[index].ledger.not_started(&key);
            let refusal = Refusal::not_run(RefusalReason::Overloaded, 0);
            self.truth.report_refused(&key, refusal);
            return;
        }
        self.truth.record_run(&key);
        let runs_ms = self.rng.u64(1..300);
        self.post(index, runs_ms, Event::Finish { key });
    }

    pub(super) fn finish(&mut self, index: usize, key: &Name) {
        let process = &mut self.processes[index];
        let answer = KeptAnswer {
            status: 200,
            headers: Vec::new(),
            body: vec![0; 20],
        };
        let now = process.clock(self.now);
        let outcome = KeyOutcome::Ran(Some(Arc::new(answer)));
        process.ledger.finish(now, key, outcome);
        self.truth.report_ran(key, self.now);
    }
}

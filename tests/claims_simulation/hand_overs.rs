//! Promises and ledger transfers between simulated processes.

use sassafrasgap::claims::LedgerTransfer;
use sassafrasgap::claims::TransferTarget;
use sassafrasgap::control::PromiseRequest;
use sassafrasgap::core::Name;

use super::Event;
use super::PEER_TIMEOUT_MS;
use super::Simulation;

impl Simulation {
    pub(super) fn send_promise_request(
        &mut self,
        index: usize,
        round: u64,
        node: &str,
        member: u64,
    ) {
        let ask = PromiseRequest {
            service: Name::from("jobs"),
            owner: self.processes[index].instance,
            member,
        };
        let to = self.process_of(node).filter(|to| self.reaches(index, *to));
        if let (Some(to), Some(delay)) = (to, self.delay()) {
            let from = index;
            self.post(to, delay, Event::PromiseRequest { from, round, ask });
        }
    }

    pub(super) fn answer_promise_request(
        &mut self,
        index: usize,
        from: usize,
        round: u64,
        ask: &PromiseRequest,
    ) {
        let now = self.processes[index].clock(self.now);
        let promise = self.processes[index].manager.on_promise_request(now, ask);
        let member = ask.member;
        if !self.reaches(index, from) {
            return;
        }
        if let Some(delay) = self.delay() {
            self.post(
                from,
                delay,
                Event::PromiseAnswer {
                    round,
                    member,
                    promise,
                },
            );
        }
    }

    pub(super) fn hand_over(
        &mut self,
        index: usize,
        id: u64,
        node: Name,
        member: u64,
        slots: &[usize],
    ) {
        let now = self.processes[index].clock(self.now);
        let to = TransferTarget {
            node: node.clone(),
            instance: member,
            transfer: id,
        };
        let transfer = self.processes[index].ledger.export_slots(now, slots, &to);
        self.send_transfer(index, &node, transfer);
        let confirmed = false;
        self.post(
            index,
            PEER_TIMEOUT_MS,
            Event::HandOverDone {
                transfer: id,
                confirmed,
            },
        );
    }

    pub(super) fn send_transfer(&mut self, index: usize, node: &str, transfer: LedgerTransfer) {
        let to = self.process_of(node).filter(|to| self.reaches(index, *to));
        if let (Some(to), Some(delay)) = (to, self.delay()) {
            let transfer = LedgerTransfer::decode(&transfer.encode()).expect("a transfer");
            self.post(
                to,
                delay,
                Event::TransferArrived {
                    from: index,
                    transfer,
                },
            );
        }
    }

    pub(super) fn on_transfer(&mut self, index: usize, from: usize, transfer: LedgerTransfer) {
        let process = &mut self.processes[index];
        if transfer.to != process.instance {
            return;
        }
        let now = process.clock(self.now);
        let id = transfer.id;
        let is_ledger = !transfer.slots.is_empty();
        let confirmed = process.ledger.receive(now, transfer.clone());
        if confirmed {
            process.manager.on_received(now, &transfer);
        }
        if is_ledger
            && self.reaches(index, from)
            && let Some(delay) = self.delay()
        {
            self.post(
                from,
                delay,
                Event::HandOverDone {
                    transfer: id,
                    confirmed,
                },
            );
        }
    }
}

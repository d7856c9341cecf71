//! How backend servers run admitted calls.

use sassafrasgap::admission::CallOutcome;
use sassafrasgap::admission::Completion;

use super::super::scenario::Control;
use super::Chain;
use super::Event;

impl Chain<'_> {
    pub(super) fn start(&mut self, index: usize) {
        self.calls[index].started_us = self.now_us;
        let call = &self.calls[index];
        let deep = call.service + 1 == self.scenario.depth;
        let (service, target) = (call.service, call.target);
        let node = &mut self.services[service][target];
        if node.busy < node.slots {
            node.busy += 1;
            self.work(index);
        } else if deep && self.scenario.sheds {
            self.calls[index].shed = true;
            self.finish(index, CallOutcome::Shed);
        } else {
            node.backend_queue.push_back(index);
        }
    }

    pub(super) fn work(&mut self, index: usize) {
        let deep = self.calls[index].service + 1 == self.scenario.depth;
        let mean_us = match (deep, self.scenario.in_surge(self.now_us / 1_000)) {
            (false, _) => self.scenario.own_us,
            (true, false) => self.scenario.deep_us,
            (true, true) => self.scenario.deep_us * self.scenario.slow_percent / 100,
        };
        let warming = self.now_us / 1_000 < self.scenario.warm_ms;
        let cold = deep && warming && self.calls[index].target == 0;
        let mean_us = if cold { mean_us * 4 } else { mean_us };
        let spread = self.scenario.spread_percent;
        let varying_us = (mean_us * spread / 100) as f64;
        let work_us = mean_us * (100 - spread) / 100 + self.exponential(varying_us);
        self.report.runs += 1;
        let call = &self.calls[index];
        let root = &mut self.roots[call.root];
        self.report.work_us += work_us;
        if call.attempt == root.attempt && !root.ended {
            root.work_us += work_us;
        } else {
            self.report.wasted_us += work_us;
        }
        self.after(work_us, Event::OwnWorkDone(index));
    }

    pub(super) fn own_work_done(&mut self, index: usize) {
        let call = &self.calls[index];
        let last = call.service + 1 == self.scenario.depth || self.roots[call.root].shallow;
        if last {
            self.calls[index].ok = true;
            self.release(index, CallOutcome::Ok);
            return;
        }
        let (root, service, deadline_us) = (call.root, call.service, call.deadline_us);
        let target = call.target;
        let route = self.route(root);
        let now = self.now();
        let child = self.names[service + 1].clone();
        let node = &mut self.services[service][target];
        node.dependencies.record(now, route, &child, route);
        self.calls[index].child_from_us = self.now_us;
        self.forward(root, Some(index), service + 1, deadline_us, 0);
    }

    pub(super) fn release(&mut self, index: usize, outcome: CallOutcome) {
        let (service, target) = (self.calls[index].service, self.calls[index].target);
        let node = &mut self.services[service][target];
        node.busy -= 1;
        if let Some(next) = node.backend_queue.pop_front() {
            node.busy += 1;
            self.work(next);
        }
        self.finish(index, outcome);
    }

    pub(super) fn finish(&mut self, index: usize, outcome: CallOutcome) {
        let now = self.now();
        let call = &self.calls[index];
        let (service, target) = (call.service, call.target);
        let completion = Completion {
            service_us: self.now_us - call.started_us,
            child_us: call.child_us,
            outcome,
        };
        let guard = &mut self.services[service][target].guard;
        guard.complete(now, index as u64, completion);
        self.reply(index);
        if self.scenario.control != Control::Baseline {
            self.poll(service, target);
        }
    }
}

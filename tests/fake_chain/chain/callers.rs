//! The callers: arriving requests, and the end of their attempts.

use sassafrasgap::core::Priority;
use sassafrasgap::core::RequestId;

use super::super::report::Done;
use super::super::report::Lost;
use super::super::scenario::DEADLINE_MS;
use super::super::scenario::Order;
use super::CALLER_US;
use super::Chain;
use super::Event;
use super::ROUTES;
use super::Root;
use super::SHALLOW;

impl Chain<'_> {
    pub(super) fn arrival(&mut self) {
        let now_ms = self.now_us / 1_000;
        let deep_share = (100 - self.scenario.shallow_percent) as f64 / 100.0;
        let rate = self.scenario.rate(now_ms) / deep_share;
        let gap_us = self.exponential(1e6 / rate);
        self.after(gap_us, Event::Arrival);
        let draw = self.rng.u64(0..100);
        let mut sum = 0;
        let class = self.scenario.classes.iter().position(|share| {
            sum += share;
            draw < sum
        });
        let root = Root {
            id: self.rng.u128(..),
            class: class.unwrap_or(3),
            shallow: self.rng.u64(0..100) < self.scenario.shallow_percent,
            first_sent_us: self.now_us,
            attempt: 0,
            sent_us: 0,
            ended: false,
            work_us: 0,
            spent_us: 0,
        };
        self.roots.push(root);
        self.after(CALLER_US, Event::Send(self.roots.len() - 1));
    }

    pub(super) fn priority(&self, root: &Root) -> Priority {
        let now_ms = root.sent_us / 1_000;
        let rank = match self.scenario.order {
            Order::Rank => RequestId(root.id).rank(),
            Order::Fifo => (now_ms / 2) as u16,
            Order::Lifo => u16::MAX - (now_ms / 2) as u16,
            Order::Deadline => ((now_ms + DEADLINE_MS[root.class]) / 2) as u16,
        };
        Priority::new(root.class as u8, rank)
    }

    pub(super) fn route(&self, root: usize) -> &'static str {
        match self.roots[root].shallow {
            true => SHALLOW,
            false => ROUTES[self.roots[root].class],
        }
    }

    pub(super) fn root_done(&mut self, index: usize, attempt: u32) {
        let root = &mut self.roots[index];
        if root.ended || root.attempt != attempt {
            return;
        }
        root.ended = true;
        self.report.wasted_us += root.spent_us;
        self.report.done.push(Done {
            at_ms: self.now_us / 1_000,
            first_sent_ms: root.first_sent_us / 1_000,
            latency_us: self.now_us + CALLER_US - root.sent_us,
            class: root.class,
        });
    }

    pub(super) fn attempt_failed(&mut self, index: usize, attempt: u32, retry_after_ms: u64) {
        let root = &mut self.roots[index];
        if root.ended || root.attempt != attempt {
            return;
        }
        self.report.failed_at_ms.push(self.now_us / 1_000);
        root.spent_us += root.work_us;
        root.work_us = 0;
        root.attempt += 1;
        if root.attempt > self.scenario.resends {
            root.ended = true;
            self.report.wasted_us += root.spent_us;
            let lost = Lost {
                first_sent_ms: root.first_sent_us / 1_000,
                class: root.class,
            };
            self.report.lost.push(lost);
            return;
        }
        if self.scenario.new_rank {
            root.id = self.rng.u128(..);
        }
        let wait_ms = if self.scenario.polite {
            retry_after_ms
        } else {
            self.scenario.resend_ms
        };
        let jitter_us = self.rng.u64(0..=wait_ms * 200);
        self.after(
            2 * CALLER_US + wait_ms * 900 + jitter_us,
            Event::Send(index),
        );
    }
}

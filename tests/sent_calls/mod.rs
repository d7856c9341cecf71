//! The calls of all nodes in a simulation, checked against the bound on retries.

use sassafrasgap::retry::RetryBound;

pub const STEPS_PER_WINDOW: usize = 100;

/// First attempts and retries of all nodes, by step.
#[derive(Debug, Default)]
pub struct Sent {
    pub first: Vec<u32>,
    pub retried: Vec<u32>,
}

impl Sent {
    pub fn push(&mut self, first: u32, retried: u32) {
        self.first.push(first);
        self.retried.push(retried);
    }

    /// The number of calls in the window that begins with a step.
    pub fn in_window(calls: &[u32], from: usize) -> u32 {
        calls.iter().skip(from).take(STEPS_PER_WINDOW).sum()
    }

    /// The most by which a window's retries exceed the bound; negative while all keep it. The first
    /// attempts are those of the window itself, of the one before it, or of the one that begins half
    /// a window earlier.
    pub fn excess(&self, bound: RetryBound) -> f32 {
        let windows = STEPS_PER_WINDOW..self.first.len() - STEPS_PER_WINDOW;
        let excess = windows.map(|from| {
            let earlier = [0, STEPS_PER_WINDOW / 2, STEPS_PER_WINDOW];
            let first = earlier.map(|earlier| Self::in_window(&self.first, from - earlier));
            let most = first.into_iter().max().unwrap_or(0);
            let retried = Self::in_window(&self.retried, from);
            retried as f32 - (most as f32 * bound.ratio + bound.slack)
        });
        excess.fold(f32::MIN, f32::max)
    }
}

//! What a failure domain asks for and uses of one account.

use crate::accounts::DecayedRate;
use crate::core::TimeMs;

/// Memory of demand, in milliseconds. A surge shows by the short one, within a report or two, and the long
/// one holds on through the gaps between the few requests of a small account.
const SHORT_MS: f32 = 400.0;
const LONG_MS: f32 = 1_200.0;
/// The memory of demand by which failure domains share: chance must not move their parts to and fro.
const SHARED_MS: f32 = 3_000.0;

/// One account, as its use shows to a keeper.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DomainUsage {
    /// Of the own failure domain.
    short: DecayedRate,
    long: DecayedRate,
    shared: DecayedRate,
    /// What may be used beyond the rate; below 0 where more was used than that.
    pub saved: f32,
    pub saved_at: TimeMs,
    /// When anything was last heard of it here.
    pub heard: TimeMs,
    /// The own failure domain's part, as last agreed with all others.
    pub part: f32,
    /// That part is more than a guess by the nodes that are known.
    pub is_agreed: bool,
    /// The part that is let in, as last worked out.
    pub let_in: f32,
}

impl DomainUsage {
    /// Nothing has come yet; all of it is let in.
    pub fn new(now: TimeMs, part: f32, saved: f32) -> Self {
        Self {
            saved,
            saved_at: now,
            heard: now,
            part,
            let_in: 1.0,
            ..Self::default()
        }
    }

    /// So many requests came.
    pub fn note_wanted(&mut self, now: TimeMs, wanted: f32) {
        self.heard = now;
        self.short.note(now, wanted, SHORT_MS);
        self.long.note(now, wanted, LONG_MS);
        self.shared.note(now, wanted, SHARED_MS);
    }

    /// The demand by which failure domains share.
    pub fn shared_per_s(&self, now: TimeMs) -> f32 {
        self.shared.per_s(now, SHARED_MS)
    }

    /// The demand of the moment. A few requests in a short time say little, so of those only what is hardly chance counts.
    pub fn demand_per_s(&self, now: TimeMs) -> f32 {
        let short = self.short.per_s(now, SHORT_MS) * SHORT_MS / 1_000.0;
        let sure = (short - short.sqrt()).max(0.0) * 1_000.0 / SHORT_MS;
        sure.max(self.long.per_s(now, LONG_MS))
    }
}

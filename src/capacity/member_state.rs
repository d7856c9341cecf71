//! One node's membership filled with all members of the full size, in memory.

use std::time::Instant;

use fastrand::Rng;
use serde::Deserialize;
use serde::Serialize;

use crate::capacity::ProcessUsage;
use crate::capacity::layout;
use crate::core::Target;
use crate::core::TimeMs;
use crate::core::View;
use crate::errors::CapacityError;
use crate::membership::Membership;
use crate::membership::MembershipSettings;

/// How many copies are filled, so that the kernel's count of pages is fine enough.
const COPIES: usize = 40;
/// How many times one member changes, for the time that a change takes.
const CHANGES: u64 = 200;
const SEED: u64 = 720;

/// Memory and time of the state of membership.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct MemberState {
    pub members: usize,
    pub services: usize,
    /// Memory of the member table with all its bookkeeping.
    pub table_bytes: f64,
    /// Memory of the published view beside it.
    pub view_bytes: f64,
    /// Time to take in all members at once, as after joining.
    pub fill_ms: f64,
    /// Time to take in one change and to publish the view anew.
    pub change_us: f64,
}

impl MemberState {
    /// Fills memberships and measures them.
    ///
    /// # Errors
    /// When the kernel does not tell the memory of this process.
    pub fn measure(members: usize) -> Result<Self, CapacityError> {
        let targets = layout::targets(members);
        let before_bytes = resident_bytes()?;
        let started = Instant::now();
        let mut copies: Vec<Membership> = (0..COPIES).map(|_| filled(&targets)).collect();
        let fill_ms = started.elapsed().as_secs_f64() * 1_000.0 / COPIES as f64;
        let filled_bytes = resident_bytes()?;
        let views: Vec<View> = copies.iter_mut().map(Membership::view).collect();
        let viewed_bytes = resident_bytes()?;
        let services = views[0].services.len();
        drop(views);
        Ok(Self {
            members,
            services,
            table_bytes: (filled_bytes - before_bytes) / COPIES as f64,
            view_bytes: (viewed_bytes - filled_bytes) / COPIES as f64,
            fill_ms,
            change_us: change_us(&mut copies[0], &targets[1]),
        })
    }
}

fn filled(targets: &[Target]) -> Membership {
    let own = targets[0].clone();
    let from = targets[1].control_address;
    let settings = MembershipSettings::default();
    let rng = Rng::with_seed(SEED);
    let mut membership = Membership::new(own, vec![from], settings, rng, TimeMs(0));
    let decoded: Vec<Target> = targets[1..].iter().map(as_decoded).collect();
    membership.merge(TimeMs(1), from, &decoded);
    membership
}

/// A copy that shares no names, as when it was decoded from a message.
fn as_decoded(target: &Target) -> Target {
    let bytes = postcard::to_stdvec(target).expect("plain structs always encode");
    postcard::from_bytes(&bytes).expect("what was encoded decodes")
}

fn change_us(membership: &mut Membership, target: &Target) -> f64 {
    let from = target.control_address;
    let mut changed = target.clone();
    let started = Instant::now();
    for change in 1..=CHANGES {
        changed.incarnation += 1;
        changed.slots = change as u32;
        membership.merge(TimeMs(1 + change), from, std::slice::from_ref(&changed));
        std::hint::black_box(membership.view());
    }
    started.elapsed().as_secs_f64() * 1_000_000.0 / CHANGES as f64
}

fn resident_bytes() -> Result<f64, CapacityError> {
    let usage = ProcessUsage::of(std::process::id())?;
    Ok(usage.resident_bytes as f64)
}

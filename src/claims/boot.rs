//! What tells a process that its predecessor is gone.

use std::fs;
use std::net::SocketAddr;

use crate::core::stable_hash;

/// Where Linux names the present run of the machine.
const BOOT_ID_PATH: &str = "/proc/sys/kernel/random/boot_id";
/// Names the run of the VM together with an address that this process has bound.
///
/// A second process with the same value could only bind the address after this one is gone, be
/// it paused or not. Where the machine does not name its run, the value is random: then nothing is
/// concluded, and a restarted node waits like any other.
pub fn boot_fingerprint(bound: SocketAddr) -> u64 {
    let Ok(boot_id) = fs::read_to_string(BOOT_ID_PATH) else {
        return fastrand::u64(..);
    };
    let text = format!("{} {bound}", boot_id.trim());
    stable_hash(text.bytes())
}

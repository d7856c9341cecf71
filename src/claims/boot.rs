//! Fingerprint by which a process recognises that its predecessor has ended.

use std::fs;
use std::net::SocketAddr;

use crate::core::stable_hash;

/// Path of the Linux boot id, which changes with every boot of the machine.
const BOOT_ID_PATH: &str = "/proc/sys/kernel/random/boot_id";

/// Hashes the boot id of the VM together with an address that this process has bound.
///
/// A second process with the same value can bind the address only after the first one has ended; a
/// paused process still holds its address. If the boot id cannot be read, the value is random. It
/// then matches no predecessor, and a restarted node waits like any other member.
pub fn boot_fingerprint(bound: SocketAddr) -> u64 {
    let Ok(boot_id) = fs::read_to_string(BOOT_ID_PATH) else {
        return fastrand::u64(..);
    };
    let text = format!("{} {bound}", boot_id.trim());
    stable_hash(text.bytes())
}

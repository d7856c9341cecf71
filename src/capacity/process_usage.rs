//! Processor time and memory of a process, as the kernel counts them.

use std::fs;

use crate::errors::CapacityError;

/// The kernel's unit of processor time in `/proc`: always 100 a second on Linux.
const TICKS_PER_S: u64 = 100;
/// Where the user time stands among the fields after the command's name.
const USER_TIME_FIELD: usize = 11;
const RESIDENT_FIELD: &str = "VmRSS:";

/// What one process used so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessUsage {
    pub cpu_ms: u64,
    pub resident_bytes: u64,
}

impl ProcessUsage {
    /// Reads the figures of a process.
    ///
    /// # Errors
    /// When the process is gone or the kernel says something unexpected.
    pub fn of(pid: u32) -> Result<Self, CapacityError> {
        let unreadable = || CapacityError::ProcessGone { pid };
        let stat = fs::read_to_string(format!("/proc/{pid}/stat")).map_err(|_| unreadable())?;
        let status = fs::read_to_string(format!("/proc/{pid}/status")).map_err(|_| unreadable())?;
        Ok(Self {
            cpu_ms: cpu_ms(&stat).ok_or_else(unreadable)?,
            resident_bytes: resident_bytes(&status).ok_or_else(unreadable)?,
        })
    }
}

fn cpu_ms(stat: &str) -> Option<u64> {
    // The name of the command stands in parentheses and may contain spaces.
    let (_, fields) = stat.rsplit_once(") ")?;
    let mut fields = fields.split(' ').skip(USER_TIME_FIELD);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some((user + system) * 1_000 / TICKS_PER_S)
}

fn resident_bytes(status: &str) -> Option<u64> {
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix(RESIDENT_FIELD))?;
    let kilobytes: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kilobytes * 1024)
}

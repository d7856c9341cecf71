//! Processor time and memory of a process, as the operating system counts them.

use std::fs;

/// Ticks in which /proc counts processor time; 100 a second on every Linux that we know.
const TICK_MS: u64 = 10;
/// Places after the name of the program in /proc/<pid>/stat.
const USER_TICKS: usize = 11;
const SYSTEM_TICKS: usize = 12;

/// What a process has used so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessUsage {
    pub processor_ms: u64,
    pub resident_kb: u64,
}

impl ProcessUsage {
    /// Reads the figures; nothing when there is no such process.
    pub fn of(pid: u32) -> Option<Self> {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        Some(Self {
            processor_ms: processor_ms(&stat)?,
            resident_kb: resident_kb(&status)?,
        })
    }
}

fn processor_ms(stat: &str) -> Option<u64> {
    let (_, after_name) = stat.rsplit_once(')')?;
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let user: u64 = fields.get(USER_TICKS)?.parse().ok()?;
    let system: u64 = fields.get(SYSTEM_TICKS)?.parse().ok()?;
    Some((user + system) * TICK_MS)
}

fn resident_kb(status: &str) -> Option<u64> {
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

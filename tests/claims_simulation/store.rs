//! A substitute for the platform's table: one row with compare-and-set writes, and faults.

use sassafrasgap::claims::ReadResult;
use sassafrasgap::claims::SlotMap;
use sassafrasgap::claims::WriteResult;

#[derive(Default)]
pub struct Store {
    row: Option<(u64, SlotMap)>,
    versions: u64,
    pub is_down: bool,
    /// The longest extra delay of each request and each answer.
    pub slow_ms: u64,
    pub reads: u64,
    pub writes: u64,
}

impl Store {
    pub fn map(&self) -> Option<&SlotMap> {
        self.row.as_ref().map(|(_, map)| map)
    }

    pub fn read(&mut self) -> ReadResult {
        self.reads += 1;
        if self.is_down {
            return ReadResult::Failed;
        }
        ReadResult::Row(self.row.clone())
    }

    /// Writes the row. Checks that no epoch decreases and that every change of an owner increases
    /// it.
    pub fn write(&mut self, expected: Option<u64>, map: SlotMap) -> WriteResult {
        self.writes += 1;
        if self.is_down {
            return WriteResult::NotWritten;
        }
        if self.row.as_ref().map(|(version, _)| *version) != expected {
            return WriteResult::Conflict;
        }
        if let Some((_, before)) = &self.row {
            for (old, new) in before.slots.iter().zip(&map.slots) {
                let raised = u64::from(old.owner != new.owner);
                assert!(
                    new.epoch >= old.epoch + raised,
                    "an epoch decreased, or an owner changed without a new epoch"
                );
            }
        }
        let value = map.encode();
        let map = SlotMap::decode(value.as_bytes()).expect("the row reads back");
        self.versions += 1;
        self.row = Some((self.versions, map));
        WriteResult::Applied {
            version: self.versions,
        }
    }
}

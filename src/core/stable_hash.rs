//! A hash that is the same in every version of the program.

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// FNV-1a over the bytes.
///
/// It is implemented here rather than taken from a library. If two nodes had library versions that
/// hash differently, they would send one key to two owners, and both would run it.
pub fn stable_hash(bytes: impl Iterator<Item = u8>) -> u64 {
    bytes.fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}

//! The hash of a preset document.

const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0000_0100_0000_01b3;

/// The FNV-1a hash of the document in hexadecimal. It must be the same in every build, because
/// nodes of two program versions compare it. The hasher of the hash maps does not guarantee that.
pub fn document_hash(document: &str) -> String {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    let hash = document.bytes().fold(OFFSET_BASIS, step);
    format!("{hash:016x}")
}

//! Stable hashes. Every host of a fleet must compute the same values, whatever its build.

mod rendezvous;

pub use rendezvous::rank_hosts;

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns the 64-bit hash of `text` (FNV-1a, followed by the finalizer of SplitMix64).
pub fn hash_text(text: &str) -> u64 {
    let fnv = text
        .bytes()
        .fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME));
    mix(fnv)
}

/// Mixes the bits of `value` (finalizer of SplitMix64).
pub fn mix(value: u64) -> u64 {
    let mut z = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

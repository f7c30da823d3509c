//! Eras of the log. The log may come back from an older copy of itself: what was written since is
//! lost, and offsets are given out again. Each time a new era begins.
//!
//! An offset carries its era in its high bits, so that it is higher than every offset of earlier
//! eras and never means two records. Fencing tokens, which are offsets, only grow for the same
//! reason.

use super::*;

/// Number of times that the log was restored from an older copy.
pub type LogEra = u64;

/// Number of low bits of an offset that count the records of a topic; the others are the era.
const NUMBER_BITS: u32 = 40;

/// Returns the offset of the record with a number in an era.
pub fn offset_in(era: LogEra, number: u64) -> LogOffset {
    (era << NUMBER_BITS) | number
}

/// Returns the era of an offset.
pub fn era_of(offset: LogOffset) -> LogEra {
    offset >> NUMBER_BITS
}

/// Returns the number of an offset's record, by which the log itself names it.
pub fn number_of(offset: LogOffset) -> u64 {
    offset & ((1 << NUMBER_BITS) - 1)
}

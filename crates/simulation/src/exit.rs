//! Exit codes of the commands.

/// Everything settled and no rule was broken.
pub const GOOD: u8 = 0;
/// Not so, or it was interrupted.
pub const BROKEN: u8 = 1;
/// A file or an option can't be used.
pub const BAD_INPUT: u8 = 2;

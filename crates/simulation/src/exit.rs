//! Exit codes of the commands.

/// Every job settled and no rule was broken.
pub const GOOD: u8 = 0;
/// A job did not settle, a rule was broken, or the command was interrupted.
pub const BROKEN: u8 = 1;
/// A file or an option cannot be used.
pub const BAD_INPUT: u8 = 2;

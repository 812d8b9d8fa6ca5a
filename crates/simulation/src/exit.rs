//! Exit codes of the commands.

/// Every run was good: see `Outcome::is_good`.
pub const GOOD: u8 = 0;
/// A run was not good (a job did not settle, a rule was broken, the operators would count the
/// run as failed, or a controller exited by itself), or the command was interrupted.
pub const BROKEN: u8 = 1;
/// A file or an option cannot be used.
pub const BAD_INPUT: u8 = 2;

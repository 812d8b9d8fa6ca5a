//! Checks a recorded history against the rules of the protocol page: names every violation,
//! and determines the outcome of each job, which groups of jobs starved, and whether the
//! objectives were met. It shares no code with the controllers, so that a mistake of theirs is
//! not repeated here.

pub mod aims;
pub mod answers;
pub mod breach;
mod calm;
mod cancelled;
pub mod failed_day;
pub mod groups;
pub mod history;
mod placement;
mod possible;
mod room;
pub mod rules;
pub mod settle;
pub mod starved;
mod unanswered;
pub mod waiting;

pub use aims::{Aims, ClassFigures};
pub use breach::{Breach, Rule};
pub use failed_day::Failure;
pub use groups::GroupFigures;
pub use history::{Event, History, What};
pub use rules::Checker;
pub use settle::{End, Settled};
pub use starved::Least;
pub use waiting::Wait;

//! Checks a recorded history against the rules of the protocol page: names every violation,
//! and determines the outcome of each job, which groups of jobs starved, and whether the
//! objectives were met. It shares no code with the controllers, so that a mistake of theirs is
//! not repeated here.

pub mod aims;
mod cancelled;
mod capacity;
pub mod failed_day;
mod feasibility;
pub mod groups;
pub mod history;
mod placement;
mod quiet_periods;
pub mod responses;
pub mod rules;
pub mod settle;
pub mod starvation;
mod unanswered;
pub mod violation;
pub mod waiting;

pub use aims::{Aims, ClassFigures};
pub use failed_day::Failure;
pub use groups::GroupFigures;
pub use history::{Event, History, What};
pub use rules::Checker;
pub use settle::{End, Settled};
pub use starvation::{Least, Share};
pub use violation::{Breach, Rule};
pub use waiting::Wait;

//! Checks a recorded history against the rules of the protocol page: names every violation,
//! and determines the outcome of each job, which groups of jobs starved, and whether the
//! objectives were met. It shares no code with the controllers, so that a mistake of theirs is
//! not repeated here.

mod cancelled;
mod capacity;
pub mod failed_day;
mod feasibility;
pub mod groups;
pub mod history;
pub mod measurements;
mod placement;
mod quiet_periods;
pub mod responses;
pub mod rules;
pub mod settle;
pub mod starvation;
mod unanswered;
pub mod violation;
pub mod waiting;

pub use failed_day::Failure;
pub use groups::GroupFigures;
pub use history::{Event, History, What};
pub use measurements::{ClassFigures, Measurements};
pub use rules::Checker;
pub use settle::{End, Settled};
pub use starvation::{LeastServed, Share};
pub use violation::{Rule, Violation};
pub use waiting::Wait;

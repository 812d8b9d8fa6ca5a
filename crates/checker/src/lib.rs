//! Checks a recorded history by the protocol page alone: every rule, what
//! became of each job, who starved, and the aims. It shares no code with the controllers,
//! so a mistake of theirs is not repeated here.

pub mod aims;
pub mod breach;
pub mod history;
pub mod rules;
pub mod settle;
pub mod starved;

pub use aims::{Aims, ClassFigures};
pub use breach::{Breach, Rule};
pub use history::{Event, History, What};
pub use rules::Checker;
pub use settle::{End, Settled};
pub use starved::Least;

//! Log of the latest changes, from which watches are served.

use cherrywood_limits::store as limits;
use cherrywood_wire::store::WatchEvent;
use rmpv::Value;
use std::collections::VecDeque;
use std::collections::vec_deque::Iter;

/// The requested changes are older than those that the log still holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("changes that old are compacted")]
pub struct Compacted;

#[derive(Debug, Clone)]
struct LoggedChange {
    revision: u64,
    key: String,
    /// The value that was set; None: the key was deleted.
    value: Option<Value>,
}

/// The latest changes, the oldest first; older changes are compacted.
#[derive(Debug, Default)]
pub(crate) struct ChangeLog {
    changes: VecDeque<LoggedChange>,
    /// Revision of the newest change that was compacted.
    compacted_revision: u64,
}

impl ChangeLog {
    /// Appends a change; a value of None is a deletion. Revisions must never decrease.
    pub(crate) fn append(&mut self, revision: u64, key: String, value: Option<Value>) {
        self.changes.push_back(LoggedChange {
            revision,
            key,
            value,
        });
        while self.changes.len() > limits::CHANGE_LOG_MAX
            && let Some(oldest) = self.changes.pop_front()
        {
            self.compacted_revision = oldest.revision;
        }
    }

    fn after(&self, revision: u64) -> Iter<'_, LoggedChange> {
        let first = self.changes.partition_point(|c| c.revision <= revision);
        self.changes.range(first..)
    }

    /// Returns the changes after the revision `from` of keys with the prefix.
    pub(crate) fn events(
        &self,
        prefix: &str,
        from: u64,
    ) -> Result<Vec<WatchEvent<Value>>, Compacted> {
        if from < self.compacted_revision {
            return Err(Compacted);
        }
        let watched = self.after(from).filter(|c| c.key.starts_with(prefix));
        Ok(watched.map(LoggedChange::to_event).collect())
    }

    /// Returns whether [`ChangeLog::events`] would return anything but an empty list, at less
    /// cost.
    pub(crate) fn has_changed(&self, prefix: &str, from: u64) -> bool {
        from < self.compacted_revision || self.after(from).any(|c| c.key.starts_with(prefix))
    }
}

impl LoggedChange {
    fn to_event(&self) -> WatchEvent<Value> {
        let deleted = self.value.is_none();
        WatchEvent {
            put_key: (!deleted).then(|| self.key.clone()),
            deleted_key: deleted.then(|| self.key.clone()),
            value: self.value.clone(),
            revision: self.revision,
        }
    }
}

//! The largest amounts of room on any of some machines: tells whether one of the machines has room
//! for a task, without a look at each machine for each task.

use crate::resources::Resources;

/// The largest amounts of room on any machine: each is exceeded by no other one in all resources.
#[derive(Debug, Clone, Default)]
pub(super) struct LargestRooms(Vec<Resources>);

impl LargestRooms {
    /// Adds the room on a machine.
    pub(super) fn add(&mut self, room: Resources) {
        if self.0.iter().any(|larger| room.fits_in(*larger)) {
            return;
        }
        self.0.retain(|smaller| !smaller.fits_in(room));
        self.0.push(room);
    }

    /// Whether a machine has room for the request.
    pub(super) fn has_room_for(&self, request: Resources) -> bool {
        self.0.iter().any(|room| request.fits_in(*room))
    }
}

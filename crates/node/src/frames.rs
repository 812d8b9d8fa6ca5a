//! Sizes of frames between controllers. A receiver does not read a frame larger than
//! [`limits::PEER_FRAME_BYTES_MAX`], so content that does not fit goes into the next frame. Sizes
//! are upper bounds on the size of a value that `bitcode` has encoded.

use cherrywood_limits as limits;
use cherrywood_wire::agent::{Command, DirectCommands, Heartbeat};

/// Bytes of a heartbeat besides its texts: numbers, and the lengths of its texts and lists.
const HEARTBEAT_BYTES: usize = 64;
/// Bytes of a task in a heartbeat, or of a measured run time, besides its text.
const TASK_BYTES: usize = 24;
/// Bytes of a machine's direct commands, or of the response to its heartbeat, besides texts and
/// commands.
const MACHINE_BYTES: usize = 32;
/// Bytes of a command besides its task.
const COMMAND_BYTES: usize = 20;

/// Upper bound on the bytes of a heartbeat with the run times that its shard owner measured.
pub fn heartbeat_bytes(heartbeat: &Heartbeat, run_times: &[(String, f64)]) -> usize {
    let texts = [
        &heartbeat.machine,
        &heartbeat.address,
        &heartbeat.machine_type,
        &heartbeat.zone,
    ];
    let texts: usize = texts.iter().map(|text| text.len()).sum();
    let tasks = heartbeat.tasks.iter().map(|t| t.task.len() + TASK_BYTES);
    let run_times = run_times.iter().map(|(task, _)| task.len() + TASK_BYTES);
    HEARTBEAT_BYTES + texts + tasks.sum::<usize>() + run_times.sum::<usize>()
}

/// Upper bound on the bytes of the commands for one machine, with its fencing token.
pub fn commands_bytes(commands: &[Command]) -> usize {
    let bytes = |c: &Command| match c {
        Command::Start { task, .. } | Command::Stop { task, .. } | Command::Forget { task, .. } => {
            task.len() + COMMAND_BYTES
        }
    };
    MACHINE_BYTES + commands.iter().map(bytes).sum::<usize>()
}

/// A machine, its worker's address and the commands for the worker.
pub type MachineCommands = (String, String, DirectCommands);

/// Splits commands into as few frames as can hold them in their order. A commit to the ledger
/// starts about 900 rows of neighbouring tasks, all of which may be on machines of one
/// controller's shard.
pub fn split(commands: Vec<MachineCommands>) -> Vec<Vec<MachineCommands>> {
    let mut frames: Vec<Vec<MachineCommands>> = Vec::new();
    let mut room = 0;
    for machine in commands {
        let bytes = machine.0.len() + machine.1.len() + commands_bytes(&machine.2.commands);
        match frames.last_mut().filter(|_| bytes <= room) {
            Some(frame) => frame.push(machine),
            None => {
                frames.push(vec![machine]);
                room = limits::PEER_FRAME_BYTES_MAX;
            }
        }
        room = room.saturating_sub(bytes);
    }
    frames
}

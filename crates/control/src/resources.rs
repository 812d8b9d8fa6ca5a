//! Conversion of messages of the wire protocol to [`Resources`].

pub(crate) use cherrywood_sched::Resources;
use cherrywood_wire::cloud::MachineType;
use cherrywood_wire::user::Submission;

/// Returns the resources that each task of the submission requests.
pub(crate) fn task_request(spec: &Submission) -> Resources {
    Resources {
        cpus: spec.cpus,
        gpus: spec.gpus,
        memory_gb: spec.memory_gb,
    }
}

/// Returns the resources that a machine of this type has for tasks.
pub(crate) fn machine_capacity(machine_type: &MachineType) -> Resources {
    Resources {
        cpus: machine_type.cpus,
        gpus: machine_type.gpus,
        memory_gb: machine_type.memory_gb,
    }
}

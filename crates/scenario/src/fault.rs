//! Faults that a scenario injects at set times: into controllers, the key-value store, the cloud,
//! machines, zones and the requests of users.

use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Controllers that a fault affects.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Who {
    /// The controller that leads when the fault begins.
    Leader,
    /// A controller that does not lead, drawn from the seed.
    Follower,
    /// Any controller, drawn from the seed.
    #[default]
    Any,
    All,
}

/// Treatment of packets on a partitioned network path.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
#[schemars(rename = "Cut")]
pub enum PartitionMode {
    /// Packets are held back, and delivered in order once the partition heals.
    #[default]
    Hold,
    /// Connections are reset.
    Reset,
}

/// Peers of a controller that a network partition separates it from.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum Side {
    State,
    Cloud,
    Workers,
    Users,
    Peers,
}

impl Side {
    pub const ALL: [Side; 5] = [
        Side::State,
        Side::Cloud,
        Side::Workers,
        Side::Users,
        Side::Peers,
    ];
}

fn all_sides() -> Vec<Side> {
    Side::ALL.to_vec()
}

macro_rules! faults {
    ($(
        $(#[doc = $about:literal])*
        $(#[serde(alias = $old_name:literal)])?
        $name:ident {
            $( $(#[$field_meta:meta])* $field:ident : $ty:ty ),* $(,)?
        }
    )*) => {
        /// A fault to inject; `at_s` counts from the beginning of the scenario.
        #[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
        #[serde(rename_all = "snake_case", deny_unknown_fields)]
        #[schemars(rename = "Trouble")]
        pub enum Fault {
            $(
                $(#[doc = $about])*
                $(#[serde(alias = $old_name)])?
                $name(#[garde(dive)] $name),
            )*
        }

        $(
            $(#[doc = $about])*
            #[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
            #[serde(deny_unknown_fields)]
            pub struct $name {
                #[garde(range(min = 0.0, max = 86_400.0))]
                pub at_s: f64,
                $( $(#[$field_meta])* pub $field: $ty, )*
            }
        )*

        impl Fault {
            pub fn at_s(&self) -> f64 {
                match self { $( Fault::$name(t) => t.at_s, )* }
            }

            pub fn set_at_s(&mut self, at_s: f64) {
                match self { $( Fault::$name(t) => t.at_s = at_s, )* }
            }
        }
    };
}

faults! {
    /// Controllers are killed and restarted.
    NodeCrash {
        #[serde(default)]
        #[garde(skip)]
        who: Who,
    }
    /// All controllers are restarted, one after the other (rolling restart).
    NodeRoll {
        #[garde(range(min = 0.5, max = 600.0))]
        every_s: f64,
    }
    /// Controllers are killed repeatedly, and restarted in between.
    NodeEnds {
        #[garde(range(min = 0.1, max = 600.0))]
        every_s: f64,
        #[garde(range(min = 1, max = 1000))]
        times: u32,
        #[serde(default)]
        #[garde(skip)]
        who: Who,
    }
    /// Controller processes are paused while their clocks advance.
    NodeFreeze {
        #[garde(range(min = 0.1, max = 3600.0))]
        for_s: f64,
        #[serde(default)]
        #[garde(skip)]
        who: Who,
    }
    /// Controllers compute more slowly: each of their steps is delayed by `lag_ms`.
    NodeSlow {
        #[garde(range(min = 0.1, max = 3600.0))]
        for_s: f64,
        #[serde(default)]
        #[garde(skip)]
        who: Who,
        /// Delay (ms) of each step, plus or minus half of it.
        #[garde(range(min = 1.0, max = 10_000.0))]
        lag_ms: f64,
    }
    /// Controllers are partitioned from the network, or from a part of it.
    NodeCut {
        #[garde(range(min = 0.1, max = 3600.0))]
        for_s: f64,
        #[serde(default)]
        #[garde(skip)]
        who: Who,
        /// Peers that become unreachable; all of them if not given.
        #[serde(default = "all_sides")]
        #[garde(length(min = 1))]
        from: Vec<Side>,
        #[serde(default)]
        #[garde(skip)]
        mode: PartitionMode,
    }
    /// The key-value store responds 503 to these controllers only.
    NodeRefused {
        #[garde(range(min = 0.1, max = 3600.0))]
        for_s: f64,
        #[serde(default)]
        #[garde(skip)]
        who: Who,
    }
    /// Connections between controllers are refused.
    PeersRefuse {
        #[garde(range(min = 0.1, max = 3600.0))]
        for_s: f64,
    }
    /// The key-value store responds 503 to every request.
    StateOutage {
        #[garde(range(min = 0.1, max = 3600.0))]
        for_s: f64,
    }
    /// A share of the responses of the key-value store takes longer.
    StateSlow {
        #[garde(range(min = 0.1, max = 3600.0))]
        for_s: f64,
        #[garde(range(min = 0.0, max = 1.0))]
        share: f64,
        /// Time (ms) that such a response takes.
        #[garde(range(min = 1.0, max = 60_000.0))]
        ms: f64,
    }
    /// The capacity of the key-value store drops: only this share of its request rates is left.
    StateBehind {
        #[garde(range(min = 0.1, max = 3600.0))]
        for_s: f64,
        #[garde(range(min = 0.01, max = 1.0))]
        share: f64,
    }
    /// The key-value store has the limits of `deployment.state.next` from this time on; limits
    /// that are not given there stay.
    StateLimits {}
    /// A share of the responses of the key-value store is lost.
    StateLoses {
        #[garde(range(min = 0.1, max = 3600.0))]
        for_s: f64,
        #[garde(range(min = 0.0, max = 1.0))]
        share: f64,
        #[serde(default)]
        #[garde(skip)]
        when: Lost,
        /// Delay (s) after which a late request is executed.
        #[serde(default = "default_late_s")]
        #[garde(range(min = 0.1, max = 600.0))]
        late_s: f64,
    }
    /// A share of the transactions gets no response and is executed 2 to 12 s later, after
    /// newer transactions.
    LateWrites {
        #[garde(range(min = 0.1, max = 3600.0))]
        for_s: f64,
        #[garde(range(min = 0.0, max = 1.0))]
        share: f64,
        /// The transactions are executed at once, and only their responses are lost.
        #[serde(default)]
        #[garde(skip)]
        at_once: bool,
    }
    /// Watch requests get their response when this fault ends; all other requests are served.
    WatchLag {
        #[garde(range(min = 0.1, max = 3600.0))]
        for_s: f64,
    }
    /// The cloud responds 503 to every request.
    CloudOutage {
        #[garde(range(min = 0.1, max = 3600.0))]
        for_s: f64,
    }
    /// The cloud has no capacity left, in any zone or in the given one.
    CloudFull {
        #[garde(range(min = 0.1, max = 3600.0))]
        for_s: f64,
        #[serde(default)]
        #[garde(skip)]
        zone: Option<String>,
    }
    /// The cloud executes a share of its requests late: a machine is granted or deleted after
    /// the request of the caller timed out.
    CloudLate {
        #[garde(range(min = 0.1, max = 3600.0))]
        for_s: f64,
        #[garde(range(min = 0.0, max = 1.0))]
        share: f64,
        #[garde(range(min = 0.1, max = 600.0))]
        by_s: f64,
    }
    /// The machine list of the cloud is older by `lag_s`, so that it goes back in time.
    CloudStale {
        #[garde(range(min = 0.1, max = 3600.0))]
        for_s: f64,
        #[garde(range(min = 0.1, max = 600.0))]
        lag_s: f64,
    }
    /// Machines that are rented during this fault boot late, or never.
    BootsLate {
        #[garde(range(min = 0.1, max = 3600.0))]
        for_s: f64,
        #[garde(range(min = 0.0, max = 1.0))]
        late: f64,
        #[garde(range(min = 1.0, max = 100.0))]
        times: f64,
        #[serde(default)]
        #[garde(range(min = 0.0, max = 1.0))]
        never: f64,
        #[serde(default)]
        #[garde(skip)]
        zone: Option<String>,
    }
    /// Machines stop, and everything on them is lost.
    MachineDie {
        #[garde(range(min = 1, max = 100_000))]
        count: u32,
        #[serde(default)]
        #[garde(skip)]
        zone: Option<String>,
    }
    /// Machines hang, and may resume later.
    MachineHang {
        #[garde(range(min = 1, max = 100_000))]
        count: u32,
        #[garde(range(min = 0.1, max = 3600.0))]
        for_s: f64,
    }
    /// Machines run their tasks more slowly.
    MachineSlow {
        #[garde(range(min = 1, max = 100_000))]
        count: u32,
        #[garde(range(min = 0.1, max = 3600.0))]
        for_s: f64,
        #[garde(range(min = 1.0, max = 100.0))]
        times: f64,
    }
    /// Every task that is started on these machines fails.
    MachineFaulty {
        #[garde(range(min = 1, max = 100_000))]
        count: u32,
        #[garde(range(min = 0.1, max = 3600.0))]
        for_s: f64,
    }
    /// Machines are partitioned from the network.
    MachineCut {
        #[garde(range(min = 1, max = 100_000))]
        count: u32,
        #[garde(range(min = 0.1, max = 3600.0))]
        for_s: f64,
        #[serde(default)]
        #[garde(skip)]
        mode: PartitionMode,
    }
    /// One-way partition: heartbeats of these machines arrive, while no response and no command
    /// reaches them.
    MachineDeaf {
        #[garde(range(min = 1, max = 100_000))]
        count: u32,
        #[garde(range(min = 0.1, max = 3600.0))]
        for_s: f64,
        #[serde(default)]
        #[garde(skip)]
        zone: Option<String>,
    }
    /// One-way partition: workers cannot connect to any controller, while direct commands reach
    /// them.
    MachineMute {
        #[garde(range(min = 0.1, max = 3600.0))]
        for_s: f64,
        /// Number of workers; if not given, `share` of them, or else all; only workers of `zone`
        /// if that is given.
        #[serde(default)]
        #[garde(inner(range(min = 1, max = 100_000)))]
        count: Option<u32>,
        #[serde(default)]
        #[garde(inner(range(min = 0.0, max = 1.0)))]
        share: Option<f64>,
        #[serde(default)]
        #[garde(skip)]
        zone: Option<String>,
    }
    /// Duplicates of a share of the heartbeats arrive at any controller, from 2 s to well over a
    /// lease later.
    #[serde(alias = "report_copies")]
    LateReports {
        #[garde(range(min = 0.1, max = 3600.0))]
        for_s: f64,
        #[garde(range(min = 0.0, max = 1.0))]
        share: f64,
        /// Maximum delay (s) of the duplicates; the minimum is then 0.
        #[serde(default)]
        #[garde(inner(range(min = 0.1, max = 600.0)))]
        late_s: Option<f64>,
        /// The duplicates are kept until another controller leads, and then arrive there.
        #[serde(default)]
        #[garde(skip)]
        for_next: bool,
    }
    /// A share of the direct commands is delayed on the network without a response, and executed
    /// 2 to 16 s late if token and session still match.
    LateCommands {
        #[garde(range(min = 0.1, max = 3600.0))]
        for_s: f64,
        #[garde(range(min = 0.0, max = 1.0))]
        share: f64,
    }
    /// A share of the spot machines is reclaimed by the cloud.
    SpotWave {
        #[garde(range(min = 0.0, max = 1.0))]
        share: f64,
        #[garde(range(min = 0.0, max = 3600.0))]
        over_s: f64,
        /// Notice (s) before a machine is reclaimed; 0 for none.
        #[serde(default)]
        #[garde(range(min = 0.0, max = 600.0))]
        notice_s: f64,
    }
    /// A zone is partitioned from all others, while traffic inside it continues.
    ZoneCut {
        #[garde(range(min = 0.1, max = 3600.0))]
        for_s: f64,
        #[garde(length(min = 1))]
        zone: String,
        #[serde(default)]
        #[garde(skip)]
        mode: PartitionMode,
    }
    /// Jobs of a class are submitted `times` as often.
    JobBurst {
        #[garde(range(min = 0.1, max = 3600.0))]
        for_s: f64,
        #[garde(length(min = 1))]
        class: String,
        #[garde(range(min = 1.0, max = 100.0))]
        times: f64,
    }
    /// Users send status queries `times` as often.
    PollStorm {
        #[garde(range(min = 0.1, max = 3600.0))]
        for_s: f64,
        #[garde(range(min = 1.0, max = 100.0))]
        times: f64,
    }
    /// Users cancel `count` running jobs with a long remaining run time, within 0.2 s.
    CancelNow {
        #[garde(range(min = 1, max = 10_000))]
        count: u32,
        /// Time (s) for which up to eight machines with tasks of these jobs hang.
        #[serde(default)]
        #[garde(inner(range(min = 0.1, max = 3600.0)))]
        hang_s: Option<f64>,
    }
    /// Users cancel a share of the jobs at the moment when their last task ends.
    CancelAtEnd {
        #[garde(range(min = 0.1, max = 3600.0))]
        for_s: f64,
        #[garde(range(min = 0.0, max = 1.0))]
        share: f64,
    }
    /// Invalid and redundant requests: users repeat submissions of unfinished jobs, cancel jobs
    /// that are done, and submit jobs that fit no machine or lack a field.
    OddRequests {
        #[garde(range(min = 0.1, max = 3600.0))]
        for_s: f64,
    }
    /// Users send status queries to all controllers within milliseconds after a job was accepted,
    /// ended or was cancelled.
    CloseLooks {
        #[garde(range(min = 0.1, max = 3600.0))]
        for_s: f64,
    }
}

fn default_late_s() -> f64 {
    5.0
}

/// Whether a request whose response is lost is executed by the key-value store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Lost {
    /// The request is not executed.
    Before,
    /// The request is executed.
    #[default]
    After,
    /// The request is executed later.
    Late,
}

impl Fault {
    /// Returns the duration (s) of the fault; None if it is instantaneous.
    pub fn for_s(&self) -> Option<f64> {
        use Fault as F;
        match self {
            F::NodeCrash(_) | F::NodeRoll(_) | F::MachineDie(_) | F::StateLimits(_) => None,
            F::CancelNow(t) => t.hang_s,
            F::NodeEnds(t) => Some(t.every_s * f64::from(t.times)),
            F::SpotWave(t) => Some(t.over_s),
            F::NodeFreeze(t) => Some(t.for_s),
            F::NodeSlow(t) => Some(t.for_s),
            F::NodeCut(t) => Some(t.for_s),
            F::NodeRefused(t) => Some(t.for_s),
            F::PeersRefuse(t) => Some(t.for_s),
            F::StateOutage(t) => Some(t.for_s),
            F::StateSlow(t) => Some(t.for_s),
            F::StateBehind(t) => Some(t.for_s),
            F::StateLoses(t) => Some(t.for_s),
            F::LateWrites(t) => Some(t.for_s),
            F::WatchLag(t) => Some(t.for_s),
            F::CloudOutage(t) => Some(t.for_s),
            F::CloudFull(t) => Some(t.for_s),
            F::CloudLate(t) => Some(t.for_s),
            F::CloudStale(t) => Some(t.for_s),
            F::BootsLate(t) => Some(t.for_s),
            F::MachineHang(t) => Some(t.for_s),
            F::MachineSlow(t) => Some(t.for_s),
            F::MachineFaulty(t) => Some(t.for_s),
            F::MachineCut(t) => Some(t.for_s),
            F::MachineDeaf(t) => Some(t.for_s),
            F::MachineMute(t) => Some(t.for_s),
            F::LateReports(t) => Some(t.for_s),
            F::LateCommands(t) => Some(t.for_s),
            F::CancelAtEnd(t) => Some(t.for_s),
            F::OddRequests(t) => Some(t.for_s),
            F::CloseLooks(t) => Some(t.for_s),
            F::ZoneCut(t) => Some(t.for_s),
            F::JobBurst(t) => Some(t.for_s),
            F::PollStorm(t) => Some(t.for_s),
        }
    }

    /// Returns the name of the fault in a scenario file.
    pub fn name(&self) -> &'static str {
        use Fault as F;
        match self {
            F::NodeCrash(_) => "node_crash",
            F::NodeRoll(_) => "node_roll",
            F::NodeEnds(_) => "node_ends",
            F::NodeFreeze(_) => "node_freeze",
            F::NodeSlow(_) => "node_slow",
            F::NodeCut(_) => "node_cut",
            F::NodeRefused(_) => "node_refused",
            F::PeersRefuse(_) => "peers_refuse",
            F::StateOutage(_) => "state_outage",
            F::StateSlow(_) => "state_slow",
            F::StateBehind(_) => "state_behind",
            F::StateLimits(_) => "state_limits",
            F::StateLoses(_) => "state_loses",
            F::LateWrites(_) => "late_writes",
            F::WatchLag(_) => "watch_lag",
            F::CloudOutage(_) => "cloud_outage",
            F::CloudFull(_) => "cloud_full",
            F::CloudLate(_) => "cloud_late",
            F::CloudStale(_) => "cloud_stale",
            F::BootsLate(_) => "boots_late",
            F::MachineDie(_) => "machine_die",
            F::MachineHang(_) => "machine_hang",
            F::MachineSlow(_) => "machine_slow",
            F::MachineFaulty(_) => "machine_faulty",
            F::MachineCut(_) => "machine_cut",
            F::MachineDeaf(_) => "machine_deaf",
            F::MachineMute(_) => "machine_mute",
            F::LateReports(_) => "late_reports",
            F::LateCommands(_) => "late_commands",
            F::CancelNow(_) => "cancel_now",
            F::CancelAtEnd(_) => "cancel_at_end",
            F::OddRequests(_) => "odd_requests",
            F::CloseLooks(_) => "close_looks",
            F::SpotWave(_) => "spot_wave",
            F::ZoneCut(_) => "zone_cut",
            F::JobBurst(_) => "job_burst",
            F::PollStorm(_) => "poll_storm",
        }
    }

    /// Whether the fault can be injected into real processes on loopback, where network paths
    /// cannot be partitioned and the processor cannot be slowed down.
    pub fn can_run_on_loopback(&self) -> bool {
        use Fault as F;
        !matches!(
            self,
            F::NodeSlow(_) | F::NodeCut(_) | F::PeersRefuse(_) | F::MachineCut(_) | F::ZoneCut(_)
        )
    }
}

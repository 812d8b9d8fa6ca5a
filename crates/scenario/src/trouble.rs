//! What can go wrong.

use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Which controllers a trouble hits.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Who {
    /// The one that leads at that moment.
    Leader,
    /// One that doesn't lead, drawn from the seed.
    Follower,
    /// Any one, drawn from the seed.
    #[default]
    Any,
    All,
}

/// What becomes of packets on a broken path.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Cut {
    /// Held back, and delivered in order when the path is whole again.
    #[default]
    Hold,
    /// Connections are reset.
    Reset,
}

/// What a controller is cut off from.
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

macro_rules! troubles {
    ($(
        $(#[doc = $about:literal])*
        $(#[serde(alias = $old_name:literal)])?
        $name:ident {
            $( $(#[$field_meta:meta])* $field:ident : $ty:ty ),* $(,)?
        }
    )*) => {
        /// A trouble; `at_s` counts from the beginning of the scenario.
        #[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
        #[serde(rename_all = "snake_case", deny_unknown_fields)]
        pub enum Trouble {
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

        impl Trouble {
            pub fn at_s(&self) -> f64 {
                match self { $( Trouble::$name(t) => t.at_s, )* }
            }

            pub fn set_at_s(&mut self, at_s: f64) {
                match self { $( Trouble::$name(t) => t.at_s = at_s, )* }
            }
        }
    };
}

troubles! {
    /// Controllers are killed, and started again.
    NodeCrash {
        #[serde(default)]
        #[garde(skip)]
        who: Who,
    }
    /// All controllers are restarted, one after the other.
    NodeRoll {
        #[garde(range(min = 0.5, max = 600.0))]
        every_s: f64,
    }
    /// Controllers are killed again and again, started again in between.
    NodeEnds {
        #[garde(range(min = 0.1, max = 600.0))]
        every_s: f64,
        #[garde(range(min = 1, max = 1000))]
        times: u32,
        #[serde(default)]
        #[garde(skip)]
        who: Who,
    }
    /// Controllers stand still while their clocks run on.
    NodeFreeze {
        #[garde(range(min = 0.1, max = 3600.0))]
        for_s: f64,
        #[serde(default)]
        #[garde(skip)]
        who: Who,
    }
    /// Controllers compute slower: whatever they do comes this much later.
    NodeSlow {
        #[garde(range(min = 0.1, max = 3600.0))]
        for_s: f64,
        #[serde(default)]
        #[garde(skip)]
        who: Who,
        /// ms that each step is late, give or take half.
        #[garde(range(min = 1.0, max = 10_000.0))]
        lag_ms: f64,
    }
    /// Controllers lose the network, or a part of it.
    NodeCut {
        #[garde(range(min = 0.1, max = 3600.0))]
        for_s: f64,
        #[serde(default)]
        #[garde(skip)]
        who: Who,
        /// From whom; all if it isn't given.
        #[serde(default = "all_sides")]
        #[garde(length(min = 1))]
        from: Vec<Side>,
        #[serde(default)]
        #[garde(skip)]
        mode: Cut,
    }
    /// The state service answers 503 to these controllers alone.
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
    /// The state service answers 503 to all.
    StateOutage {
        #[garde(range(min = 0.1, max = 3600.0))]
        for_s: f64,
    }
    /// A share of its answers takes longer.
    StateSlow {
        #[garde(range(min = 0.1, max = 3600.0))]
        for_s: f64,
        #[garde(range(min = 0.0, max = 1.0))]
        share: f64,
        /// ms that such an answer takes.
        #[garde(range(min = 1.0, max = 60_000.0))]
        ms: f64,
    }
    /// It falls behind: only this share of its rates is left.
    StateBehind {
        #[garde(range(min = 0.1, max = 3600.0))]
        for_s: f64,
        #[garde(range(min = 0.01, max = 1.0))]
        share: f64,
    }
    /// From now on it has the limits of `deployment.state.next`; those that are not
    /// given there stay.
    StateLimits {}
    /// Answers of the state service are lost.
    StateLoses {
        #[garde(range(min = 0.1, max = 3600.0))]
        for_s: f64,
        #[garde(range(min = 0.0, max = 1.0))]
        share: f64,
        #[serde(default)]
        #[garde(skip)]
        when: Lost,
        /// s by which a late request is executed late.
        #[serde(default = "late_s")]
        #[garde(range(min = 0.1, max = 600.0))]
        late_s: f64,
    }
    /// A share of the transactions gets no answer and is executed 2 to 12 s later, after
    /// newer ones.
    LateWrites {
        #[garde(range(min = 0.1, max = 3600.0))]
        for_s: f64,
        #[garde(range(min = 0.0, max = 1.0))]
        share: f64,
        /// They are executed at once, and only their answers are lost.
        #[serde(default)]
        #[garde(skip)]
        at_once: bool,
    }
    /// Watches are answered when this is over, while all else is served.
    WatchLag {
        #[garde(range(min = 0.1, max = 3600.0))]
        for_s: f64,
    }
    /// The cloud answers 503 to all.
    CloudOutage {
        #[garde(range(min = 0.1, max = 3600.0))]
        for_s: f64,
    }
    /// It has no capacity left, anywhere or in a zone.
    CloudFull {
        #[garde(range(min = 0.1, max = 3600.0))]
        for_s: f64,
        #[serde(default)]
        #[garde(skip)]
        zone: Option<String>,
    }
    /// It executes a share of its requests late: a machine is granted, or
    /// deleted, after the caller gave up.
    CloudLate {
        #[garde(range(min = 0.1, max = 3600.0))]
        for_s: f64,
        #[garde(range(min = 0.0, max = 1.0))]
        share: f64,
        #[garde(range(min = 0.1, max = 600.0))]
        by_s: f64,
    }
    /// Its machine list is this much older, and goes backwards.
    CloudStale {
        #[garde(range(min = 0.1, max = 3600.0))]
        for_s: f64,
        #[garde(range(min = 0.1, max = 600.0))]
        lag_s: f64,
    }
    /// Machines rented meanwhile boot late, or never.
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
    /// Machines stop, with all that is on them.
    MachineDie {
        #[garde(range(min = 1, max = 100_000))]
        count: u32,
        #[serde(default)]
        #[garde(skip)]
        zone: Option<String>,
    }
    /// Machines stand still, and may go on later.
    MachineHang {
        #[garde(range(min = 1, max = 100_000))]
        count: u32,
        #[garde(range(min = 0.1, max = 3600.0))]
        for_s: f64,
    }
    /// Machines run their tasks slower.
    MachineSlow {
        #[garde(range(min = 1, max = 100_000))]
        count: u32,
        #[garde(range(min = 0.1, max = 3600.0))]
        for_s: f64,
        #[garde(range(min = 1.0, max = 100.0))]
        times: f64,
    }
    /// Machines fail every task that they start.
    MachineFaulty {
        #[garde(range(min = 1, max = 100_000))]
        count: u32,
        #[garde(range(min = 0.1, max = 3600.0))]
        for_s: f64,
    }
    /// Machines lose the network.
    MachineCut {
        #[garde(range(min = 1, max = 100_000))]
        count: u32,
        #[garde(range(min = 0.1, max = 3600.0))]
        for_s: f64,
        #[serde(default)]
        #[garde(skip)]
        mode: Cut,
    }
    /// Machines whose reports arrive, and whom no answer and no command reaches.
    MachineDeaf {
        #[garde(range(min = 1, max = 100_000))]
        count: u32,
        #[garde(range(min = 0.1, max = 3600.0))]
        for_s: f64,
        #[serde(default)]
        #[garde(skip)]
        zone: Option<String>,
    }
    /// Workers open no connection to any controller, while direct commands reach them.
    MachineMute {
        #[garde(range(min = 0.1, max = 3600.0))]
        for_s: f64,
        /// How many; else `share` of them; else all, of the zone if one is given.
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
    /// Copies of a share of the reports arrive again, at any controller, from 2 s to well
    /// over a lease later.
    #[serde(alias = "report_copies")]
    LateReports {
        #[garde(range(min = 0.1, max = 3600.0))]
        for_s: f64,
        #[garde(range(min = 0.0, max = 1.0))]
        share: f64,
        /// s by which they are late at most, and at least none.
        #[serde(default)]
        #[garde(inner(range(min = 0.1, max = 600.0)))]
        late_s: Option<f64>,
        /// They are kept until another controller leads, and then arrive there.
        #[serde(default)]
        #[garde(skip)]
        for_next: bool,
    }
    /// A share of the direct commands is held up on its way, unanswered, and carried out
    /// 2 to 16 s late, if token and session still match.
    LateCommands {
        #[garde(range(min = 0.1, max = 3600.0))]
        for_s: f64,
        #[garde(range(min = 0.0, max = 1.0))]
        share: f64,
    }
    /// A share of the spot machines is taken back.
    SpotWave {
        #[garde(range(min = 0.0, max = 1.0))]
        share: f64,
        #[garde(range(min = 0.0, max = 3600.0))]
        over_s: f64,
        /// s of notice; 0 is none.
        #[serde(default)]
        #[garde(range(min = 0.0, max = 600.0))]
        notice_s: f64,
    }
    /// A zone is cut off from everything; inside, it goes on.
    ZoneCut {
        #[garde(range(min = 0.1, max = 3600.0))]
        for_s: f64,
        #[garde(length(min = 1))]
        zone: String,
        #[serde(default)]
        #[garde(skip)]
        mode: Cut,
    }
    /// Jobs of a class come several times as often.
    JobBurst {
        #[garde(range(min = 0.1, max = 3600.0))]
        for_s: f64,
        #[garde(length(min = 1))]
        class: String,
        #[garde(range(min = 1.0, max = 100.0))]
        times: f64,
    }
    /// Users ask many times as often.
    PollStorm {
        #[garde(range(min = 0.1, max = 3600.0))]
        for_s: f64,
        #[garde(range(min = 1.0, max = 100.0))]
        times: f64,
    }
    /// Users cancel this many jobs that run and have long to go, within 0.2 s.
    CancelNow {
        #[garde(range(min = 1, max = 10_000))]
        count: u32,
        /// s for which up to eight machines with tasks of these jobs stand still.
        #[serde(default)]
        #[garde(inner(range(min = 0.1, max = 3600.0)))]
        hang_s: Option<f64>,
    }
    /// Users cancel a share of the jobs at the moment at which their last task ends.
    CancelAtEnd {
        #[garde(range(min = 0.1, max = 3600.0))]
        for_s: f64,
        #[garde(range(min = 0.0, max = 1.0))]
        share: f64,
    }
    /// Users repeat submissions of unfinished jobs, cancel jobs that are done, and submit
    /// jobs that fit no machine or lack a field.
    OddRequests {
        #[garde(range(min = 0.1, max = 3600.0))]
        for_s: f64,
    }
    /// Users ask at all controllers within milliseconds after a job was accepted, ended or
    /// was cancelled.
    CloseLooks {
        #[garde(range(min = 0.1, max = 3600.0))]
        for_s: f64,
    }
}

fn late_s() -> f64 {
    5.0
}

/// When the answer of the state service is lost.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Lost {
    /// The request was not executed.
    Before,
    /// It was.
    #[default]
    After,
    /// It will be, later.
    Late,
}

impl Trouble {
    /// s until it is over; None for a moment.
    pub fn for_s(&self) -> Option<f64> {
        use Trouble as T;
        match self {
            T::NodeCrash(_) | T::NodeRoll(_) | T::MachineDie(_) | T::StateLimits(_) => None,
            T::CancelNow(t) => t.hang_s,
            T::NodeEnds(t) => Some(t.every_s * f64::from(t.times)),
            T::SpotWave(t) => Some(t.over_s),
            T::NodeFreeze(t) => Some(t.for_s),
            T::NodeSlow(t) => Some(t.for_s),
            T::NodeCut(t) => Some(t.for_s),
            T::NodeRefused(t) => Some(t.for_s),
            T::PeersRefuse(t) => Some(t.for_s),
            T::StateOutage(t) => Some(t.for_s),
            T::StateSlow(t) => Some(t.for_s),
            T::StateBehind(t) => Some(t.for_s),
            T::StateLoses(t) => Some(t.for_s),
            T::LateWrites(t) => Some(t.for_s),
            T::WatchLag(t) => Some(t.for_s),
            T::CloudOutage(t) => Some(t.for_s),
            T::CloudFull(t) => Some(t.for_s),
            T::CloudLate(t) => Some(t.for_s),
            T::CloudStale(t) => Some(t.for_s),
            T::BootsLate(t) => Some(t.for_s),
            T::MachineHang(t) => Some(t.for_s),
            T::MachineSlow(t) => Some(t.for_s),
            T::MachineFaulty(t) => Some(t.for_s),
            T::MachineCut(t) => Some(t.for_s),
            T::MachineDeaf(t) => Some(t.for_s),
            T::MachineMute(t) => Some(t.for_s),
            T::LateReports(t) => Some(t.for_s),
            T::LateCommands(t) => Some(t.for_s),
            T::CancelAtEnd(t) => Some(t.for_s),
            T::OddRequests(t) => Some(t.for_s),
            T::CloseLooks(t) => Some(t.for_s),
            T::ZoneCut(t) => Some(t.for_s),
            T::JobBurst(t) => Some(t.for_s),
            T::PollStorm(t) => Some(t.for_s),
        }
    }

    /// Its name in a scenario file.
    pub fn name(&self) -> &'static str {
        use Trouble as T;
        match self {
            T::NodeCrash(_) => "node_crash",
            T::NodeRoll(_) => "node_roll",
            T::NodeEnds(_) => "node_ends",
            T::NodeFreeze(_) => "node_freeze",
            T::NodeSlow(_) => "node_slow",
            T::NodeCut(_) => "node_cut",
            T::NodeRefused(_) => "node_refused",
            T::PeersRefuse(_) => "peers_refuse",
            T::StateOutage(_) => "state_outage",
            T::StateSlow(_) => "state_slow",
            T::StateBehind(_) => "state_behind",
            T::StateLimits(_) => "state_limits",
            T::StateLoses(_) => "state_loses",
            T::LateWrites(_) => "late_writes",
            T::WatchLag(_) => "watch_lag",
            T::CloudOutage(_) => "cloud_outage",
            T::CloudFull(_) => "cloud_full",
            T::CloudLate(_) => "cloud_late",
            T::CloudStale(_) => "cloud_stale",
            T::BootsLate(_) => "boots_late",
            T::MachineDie(_) => "machine_die",
            T::MachineHang(_) => "machine_hang",
            T::MachineSlow(_) => "machine_slow",
            T::MachineFaulty(_) => "machine_faulty",
            T::MachineCut(_) => "machine_cut",
            T::MachineDeaf(_) => "machine_deaf",
            T::MachineMute(_) => "machine_mute",
            T::LateReports(_) => "late_reports",
            T::LateCommands(_) => "late_commands",
            T::CancelNow(_) => "cancel_now",
            T::CancelAtEnd(_) => "cancel_at_end",
            T::OddRequests(_) => "odd_requests",
            T::CloseLooks(_) => "close_looks",
            T::SpotWave(_) => "spot_wave",
            T::ZoneCut(_) => "zone_cut",
            T::JobBurst(_) => "job_burst",
            T::PollStorm(_) => "poll_storm",
        }
    }

    /// Can it be made with real processes on loopback? Paths between them can't
    /// be broken there, nor their processor be slowed.
    pub fn on_loopback(&self) -> bool {
        use Trouble as T;
        !matches!(
            self,
            T::NodeSlow(_) | T::NodeCut(_) | T::PeersRefuse(_) | T::MachineCut(_) | T::ZoneCut(_)
        )
    }
}

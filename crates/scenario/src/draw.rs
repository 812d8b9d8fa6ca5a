//! Faults and deployments drawn from the seed.

use crate::fault::*;
use crate::{Fault, Scenario};
use garde::Validate;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

macro_rules! kinds {
    ($($(#[$alias:meta])? $name:ident),* $(,)?) => {
        /// Kinds of faults that can be drawn.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
        #[serde(rename_all = "snake_case")]
        pub enum Kind { $($(#[$alias])? $name),* }
        impl Kind {
            pub const ALL: &'static [Kind] = &[$(Kind::$name),*];
        }
    };
}

kinds!(
    NodeCrash,
    NodeRoll,
    NodeEnds,
    NodeFreeze,
    NodeSlow,
    NodeCut,
    NodeRefused,
    PeersRefuse,
    StateOutage,
    StateSlow,
    StateBehind,
    StateLoses,
    LateWrites,
    WatchLag,
    CloudOutage,
    CloudFull,
    CloudLate,
    CloudStale,
    BootsLate,
    MachineDie,
    MachineHang,
    MachineSlow,
    MachineFaulty,
    MachineCut,
    MachineDeaf,
    MachineMute,
    #[serde(alias = "report_copies")]
    LateReports,
    LateCommands,
    SpotWave,
    ZoneCut,
    JobBurst,
    PollStorm,
    CancelNow,
    CancelAtEnd,
    OddRequests,
    CloseLooks,
);

/// A number of faults at times drawn from the seed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Draw {
    #[garde(range(min = 1, max = 200))]
    pub count: u32,
    #[garde(range(min = 0.0, max = 86_400.0))]
    pub from_s: f64,
    #[garde(range(min = 0.0, max = 86_400.0))]
    pub to_s: f64,
    /// Kinds to draw from; all if none is given.
    #[serde(default)]
    #[garde(skip)]
    pub of: Vec<Kind>,
}

/// Ranges of a deployment that is drawn from the seed: the number of controllers, their restart
/// time, the size of each part of the capacity, and the machine types that exist at all.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Minimum and maximum number of controllers.
    #[garde(inner(range(min = 1, max = 25)))]
    pub controllers: [u32; 2],
    /// Minimum and maximum time (s) after which a controller that ended is restarted.
    #[garde(inner(range(min = 0.1, max = 600.0)))]
    pub restart_s: [f64; 2],
    /// Minimum and maximum factor on each number of machines: per machine type, per zone, and for
    /// on-demand and spot machines.
    #[garde(inner(range(min = 0.1, max = 10.0)))]
    pub times: [f64; 2],
    /// Share of scenarios with machines of a single type.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 1.0))]
    pub one_type: f64,
}

/// Returns the machine type with the most CPUs.
fn largest_machine_type(d: &crate::Deployment) -> Option<String> {
    let by_cpus = |a: &&crate::deployment::MachineType, b: &&crate::deployment::MachineType| {
        a.cpus.total_cmp(&b.cpus)
    };
    Some(d.machine_types.iter().max_by(by_cpus)?.name.clone())
}

impl Scenario {
    /// Returns the scenario with the deployment drawn from the seed, if it asks for one.
    #[must_use]
    pub fn with_fleet(mut self, seed: u64) -> Scenario {
        let Some(fleet) = self.drawn_fleet.take() else {
            return self;
        };
        let mut rng = Pcg64::seed_from_u64(seed ^ 0x666c_6565_7473_2121);
        let mut between = |[least, most]: [f64; 2]| rng.random_range(least..=most.max(least));
        let d = &mut self.deployment;
        let [least, most] = fleet.controllers.map(f64::from);
        d.controllers = between([least, most + 0.999]) as u32;
        d.node.restart_s = (between(fleet.restart_s) * 10.0).round() / 10.0;
        for c in &mut d.capacity {
            let times = between(fleet.times);
            let scaled = |n: u32| (f64::from(n) * times).round() as u32;
            (c.count, c.spot) = (scaled(c.count).max(1), scaled(c.spot));
            c.up = c.up.min(c.count);
        }
        if between([0.0, 1.0]) < fleet.one_type
            && let Some(only) = largest_machine_type(d)
        {
            // Every job fits the largest type.
            for c in &mut d.capacity {
                if c.kind != only {
                    (c.count, c.spot, c.up) = (0, 0, 0);
                }
            }
        }
        self
    }

    /// Returns the faults of the file and those drawn from the seed, ordered by time.
    pub fn all_faults(&self, seed: u64) -> Vec<Fault> {
        // A random stream of its own, so that other draws do not shift these.
        let mut rng = Pcg64::seed_from_u64(seed ^ 0x7472_6f75_626c_6573);
        let mut all = self.troubles.clone();
        for draw in &self.drawn {
            let of: &[Kind] = if draw.of.is_empty() {
                Kind::ALL
            } else {
                &draw.of
            };
            for _ in 0..draw.count {
                let kind = of[rng.random_range(0..of.len())];
                let at = rng.random_range(draw.from_s..draw.to_s.max(draw.from_s + 0.1));
                all.push(self.draw_fault(kind, (at * 10.0).round() / 10.0, &mut rng));
            }
        }
        all.sort_by(|a, b| a.at_s().total_cmp(&b.at_s()));
        all
    }

    /// Draws the parameters of a fault of this kind.
    fn draw_fault(&self, kind: Kind, at_s: f64, rng: &mut Pcg64) -> Fault {
        let d = &self.deployment;
        let mut between =
            |least: f64, most: f64| (rng.random_range(least..most) * 10.0).round() / 10.0;
        let for_s = between(4.0, 40.0);
        let share = between(0.1, 0.9);
        let times = between(2.0, 6.0);
        let who = [Who::Leader, Who::Follower, Who::Any][rng.random_range(0..3)];
        let mode = [PartitionMode::Hold, PartitionMode::Reset][rng.random_range(0..2)];
        let when = [Lost::Before, Lost::After, Lost::Late][rng.random_range(0..3)];
        let zone = d.zones[rng.random_range(0..d.zones.len())].clone();
        let classes = &self.workload.classes;
        let class = classes[rng.random_range(0..classes.len())].name.clone();
        let machines: u32 = d.capacity.iter().map(|c| c.count + c.spot).sum();
        let count = rng.random_range(1..=(machines / 8).max(1));
        let from = match rng.random_range(0..5) {
            0 => Side::ALL.to_vec(),
            1 => vec![Side::State],
            2 => vec![Side::Workers],
            3 => vec![Side::State, Side::Peers],
            _ => vec![Side::Peers],
        };
        let late_s = for_s / 2.0;
        match kind {
            Kind::NodeCrash => Fault::NodeCrash(NodeCrash {
                at_s,
                who: if for_s < 12.0 { Who::All } else { who },
            }),
            Kind::NodeRoll => Fault::NodeRoll(NodeRoll {
                at_s,
                every_s: for_s,
            }),
            Kind::NodeEnds => Fault::NodeEnds(NodeEnds {
                at_s,
                every_s: (for_s / 10.0).max(0.3),
                times: times.round() as u32,
                who,
            }),
            Kind::NodeFreeze => Fault::NodeFreeze(NodeFreeze { at_s, for_s, who }),
            Kind::NodeSlow => Fault::NodeSlow(NodeSlow {
                at_s,
                for_s,
                who,
                lag_ms: (for_s * 10.0).round(),
            }),
            Kind::NodeCut => Fault::NodeCut(NodeCut {
                at_s,
                for_s,
                who,
                from,
                mode,
            }),
            Kind::NodeRefused => Fault::NodeRefused(NodeRefused { at_s, for_s, who }),
            Kind::PeersRefuse => Fault::PeersRefuse(PeersRefuse { at_s, for_s }),
            Kind::StateOutage => Fault::StateOutage(StateOutage { at_s, for_s }),
            Kind::StateSlow => Fault::StateSlow(StateSlow {
                at_s,
                for_s,
                share,
                ms: for_s * 50.0,
            }),
            Kind::StateBehind => Fault::StateBehind(StateBehind {
                at_s,
                for_s,
                share: share.max(0.15),
            }),
            Kind::StateLoses => Fault::StateLoses(StateLoses {
                at_s,
                for_s,
                share: share / 2.0,
                when,
                late_s,
            }),
            Kind::LateWrites => Fault::LateWrites(LateWrites {
                at_s,
                for_s,
                share: share / 2.0,
                at_once: times > 4.0,
            }),
            Kind::WatchLag => Fault::WatchLag(WatchLag { at_s, for_s }),
            Kind::CloudOutage => Fault::CloudOutage(CloudOutage { at_s, for_s }),
            Kind::CloudFull => Fault::CloudFull(CloudFull {
                at_s,
                for_s,
                zone: (share > 0.5).then_some(zone),
            }),
            Kind::CloudLate => Fault::CloudLate(CloudLate {
                at_s,
                for_s,
                share,
                by_s: for_s,
            }),
            Kind::CloudStale => Fault::CloudStale(CloudStale {
                at_s,
                for_s,
                lag_s: for_s,
            }),
            Kind::BootsLate => Fault::BootsLate(BootsLate {
                at_s,
                for_s,
                late: share,
                times,
                never: share / 4.0,
                zone: (share > 0.5).then_some(zone),
            }),
            Kind::MachineDie => Fault::MachineDie(MachineDie {
                at_s,
                count,
                zone: None,
            }),
            Kind::MachineHang => Fault::MachineHang(MachineHang { at_s, count, for_s }),
            Kind::MachineSlow => Fault::MachineSlow(MachineSlow {
                at_s,
                count,
                for_s,
                times,
            }),
            Kind::MachineFaulty => Fault::MachineFaulty(MachineFaulty { at_s, count, for_s }),
            Kind::MachineCut => Fault::MachineCut(MachineCut {
                at_s,
                count,
                for_s,
                mode,
            }),
            Kind::MachineDeaf => Fault::MachineDeaf(MachineDeaf {
                at_s,
                for_s,
                count,
                zone: None,
            }),
            Kind::MachineMute => Fault::MachineMute(MachineMute {
                at_s,
                for_s,
                count: (share <= 0.5).then_some(count),
                share: None,
                zone: (share > 0.5).then_some(zone),
            }),
            Kind::LateReports => Fault::LateReports(LateReports {
                at_s,
                for_s,
                share,
                late_s: None,
                for_next: times > 4.0,
            }),
            Kind::LateCommands => Fault::LateCommands(LateCommands { at_s, for_s, share }),
            Kind::SpotWave => Fault::SpotWave(SpotWave {
                at_s,
                share: share / 2.0,
                over_s: for_s,
                notice_s: if share > 0.5 { 10.0 } else { 0.0 },
            }),
            Kind::ZoneCut => Fault::ZoneCut(ZoneCut {
                at_s,
                for_s,
                zone,
                mode,
            }),
            Kind::JobBurst => Fault::JobBurst(JobBurst {
                at_s,
                for_s,
                class,
                times,
            }),
            Kind::PollStorm => Fault::PollStorm(PollStorm { at_s, for_s, times }),
            Kind::CancelNow => Fault::CancelNow(CancelNow {
                at_s,
                count: times.round() as u32 * 2,
                hang_s: (share > 0.5).then_some(for_s),
            }),
            Kind::CancelAtEnd => Fault::CancelAtEnd(CancelAtEnd { at_s, for_s, share }),
            Kind::OddRequests => Fault::OddRequests(OddRequests { at_s, for_s }),
            Kind::CloseLooks => Fault::CloseLooks(CloseLooks { at_s, for_s }),
        }
    }
}

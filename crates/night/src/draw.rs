//! Troubles drawn from the seed.

use crate::trouble::*;
use crate::{Night, Trouble};
use garde::Validate;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

macro_rules! kinds {
    ($($name:ident),* $(,)?) => {
        /// What can be drawn.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
        #[serde(rename_all = "snake_case")]
        pub enum Kind { $($name),* }
        impl Kind {
            pub const ALL: &'static [Kind] = &[$(Kind::$name),*];
        }
    };
}

kinds!(
    NodeCrash,
    NodeRoll,
    NodeFreeze,
    NodeSlow,
    NodeCut,
    NodeRefused,
    PeersRefuse,
    StateOutage,
    StateSlow,
    StateBehind,
    StateLoses,
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
    SpotWave,
    ZoneCut,
    JobBurst,
    PollStorm,
);

/// So many troubles at times drawn from the seed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Draw {
    #[garde(range(min = 1, max = 200))]
    pub count: u32,
    #[garde(range(min = 0.0, max = 86_400.0))]
    pub from_s: f64,
    #[garde(range(min = 0.0, max = 86_400.0))]
    pub to_s: f64,
    /// Of these kinds; all if none is given.
    #[serde(default)]
    #[garde(skip)]
    pub of: Vec<Kind>,
}

impl Night {
    /// The troubles of the file and those that the seed draws, by time.
    pub fn all_troubles(&self, seed: u64) -> Vec<Trouble> {
        // A stream of its own: other draws must not shift these.
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
                all.push(self.one(kind, (at * 10.0).round() / 10.0, &mut rng));
            }
        }
        all.sort_by(|a, b| a.at_s().total_cmp(&b.at_s()));
        all
    }

    fn one(&self, kind: Kind, at_s: f64, rng: &mut Pcg64) -> Trouble {
        let d = &self.deployment;
        let mut between =
            |least: f64, most: f64| (rng.random_range(least..most) * 10.0).round() / 10.0;
        let for_s = between(4.0, 40.0);
        let share = between(0.1, 0.9);
        let times = between(2.0, 6.0);
        let who = [Who::Leader, Who::Follower, Who::Any][rng.random_range(0..3)];
        let mode = [Cut::Hold, Cut::Reset][rng.random_range(0..2)];
        let when = [Lost::Before, Lost::After, Lost::Late][rng.random_range(0..3)];
        let zone = d.zones[rng.random_range(0..d.zones.len())].clone();
        let classes = &self.workload.classes;
        let class = classes[rng.random_range(0..classes.len())].name.clone();
        let machines: u32 = d.capacity.iter().map(|c| c.count + c.spot).sum();
        let count = rng.random_range(1..=(machines / 8).max(1));
        let from = match rng.random_range(0..4) {
            0 => Side::ALL.to_vec(),
            1 => vec![Side::State],
            2 => vec![Side::Workers],
            _ => vec![Side::Peers],
        };
        let late_s = for_s / 2.0;
        match kind {
            Kind::NodeCrash => Trouble::NodeCrash(NodeCrash {
                at_s,
                who: if for_s < 12.0 { Who::All } else { who },
            }),
            Kind::NodeRoll => Trouble::NodeRoll(NodeRoll {
                at_s,
                every_s: for_s,
            }),
            Kind::NodeFreeze => Trouble::NodeFreeze(NodeFreeze { at_s, for_s, who }),
            Kind::NodeSlow => Trouble::NodeSlow(NodeSlow {
                at_s,
                for_s,
                who,
                lag_ms: (for_s * 10.0).round(),
            }),
            Kind::NodeCut => Trouble::NodeCut(NodeCut {
                at_s,
                for_s,
                who,
                from,
                mode,
            }),
            Kind::NodeRefused => Trouble::NodeRefused(NodeRefused { at_s, for_s, who }),
            Kind::PeersRefuse => Trouble::PeersRefuse(PeersRefuse { at_s, for_s }),
            Kind::StateOutage => Trouble::StateOutage(StateOutage { at_s, for_s }),
            Kind::StateSlow => Trouble::StateSlow(StateSlow {
                at_s,
                for_s,
                share,
                ms: for_s * 50.0,
            }),
            Kind::StateBehind => Trouble::StateBehind(StateBehind {
                at_s,
                for_s,
                share: share.max(0.15),
            }),
            Kind::StateLoses => Trouble::StateLoses(StateLoses {
                at_s,
                for_s,
                share: share / 2.0,
                when,
                late_s,
            }),
            Kind::CloudOutage => Trouble::CloudOutage(CloudOutage { at_s, for_s }),
            Kind::CloudFull => Trouble::CloudFull(CloudFull {
                at_s,
                for_s,
                zone: (share > 0.5).then_some(zone),
            }),
            Kind::CloudLate => Trouble::CloudLate(CloudLate {
                at_s,
                for_s,
                share,
                by_s: for_s,
            }),
            Kind::CloudStale => Trouble::CloudStale(CloudStale {
                at_s,
                for_s,
                lag_s: for_s,
            }),
            Kind::BootsLate => Trouble::BootsLate(BootsLate {
                at_s,
                for_s,
                late: share,
                times,
                never: share / 4.0,
                zone: (share > 0.5).then_some(zone),
            }),
            Kind::MachineDie => Trouble::MachineDie(MachineDie {
                at_s,
                count,
                zone: None,
            }),
            Kind::MachineHang => Trouble::MachineHang(MachineHang { at_s, count, for_s }),
            Kind::MachineSlow => Trouble::MachineSlow(MachineSlow {
                at_s,
                count,
                for_s,
                times,
            }),
            Kind::MachineFaulty => Trouble::MachineFaulty(MachineFaulty { at_s, count, for_s }),
            Kind::MachineCut => Trouble::MachineCut(MachineCut {
                at_s,
                count,
                for_s,
                mode,
            }),
            Kind::SpotWave => Trouble::SpotWave(SpotWave {
                at_s,
                share: share / 2.0,
                over_s: for_s,
                notice_s: if share > 0.5 { 10.0 } else { 0.0 },
            }),
            Kind::ZoneCut => Trouble::ZoneCut(ZoneCut {
                at_s,
                for_s,
                zone,
                mode,
            }),
            Kind::JobBurst => Trouble::JobBurst(JobBurst {
                at_s,
                for_s,
                class,
                times,
            }),
            Kind::PollStorm => Trouble::PollStorm(PollStorm { at_s, for_s, times }),
        }
    }
}

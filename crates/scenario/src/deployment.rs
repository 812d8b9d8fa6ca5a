//! The deployment of a scenario: controllers, the systems that they use, machines, teams and
//! objectives. Every field has a default, so that a scenario sets only the fields that it is about.

use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Deployment {
    /// Number of controllers, distributed over the zones round robin.
    #[garde(range(min = 1, max = 25))]
    pub controllers: u32,
    #[garde(length(min = 1, max = 16))]
    pub zones: Vec<String>,
    #[garde(dive)]
    pub node: NodeLimits,
    #[garde(dive)]
    pub network: Network,
    #[garde(dive)]
    pub state: State,
    #[garde(dive)]
    pub cloud: Cloud,
    #[garde(dive)]
    pub workers: Workers,
    #[garde(dive)]
    pub spot: SpotMarket,
    #[garde(length(min = 1, max = 20), dive)]
    pub machine_types: Vec<MachineType>,
    #[garde(length(min = 1, max = 400), dive)]
    pub capacity: Vec<Capacity>,
    #[garde(length(min = 1, max = 100), dive)]
    pub teams: Vec<Team>,
    #[garde(dive)]
    pub aims: Vec<Aim>,
    /// Minimum service of every class and team; a class or team below it is starved.
    #[garde(dive)]
    pub served: Option<Served>,
}

impl Default for Deployment {
    fn default() -> Self {
        let capacity_of = |zone: &str, kind: &str, count, spot| Capacity {
            kind: kind.into(),
            zone: zone.into(),
            count,
            spot,
            up: 0,
        };
        let mut capacity = Vec::new();
        for zone in ["north", "south", "west"] {
            capacity.push(capacity_of(zone, "c8", 4, 4));
            capacity.push(capacity_of(zone, "c32", 2, 2));
        }
        let team = |name: &str, cpus, cpus_max| Team {
            name: name.into(),
            cpus,
            cpus_max,
            gpus: 0.0,
            gpus_max: 0.0,
            weight: 1.0,
        };
        Deployment {
            controllers: 3,
            zones: vec!["north".into(), "south".into(), "west".into()],
            node: NodeLimits::default(),
            network: Network::default(),
            state: State::default(),
            cloud: Cloud::default(),
            workers: Workers::default(),
            spot: SpotMarket::default(),
            machine_types: vec![
                MachineType {
                    name: "c8".into(),
                    cpus: 8.0,
                    ram_gb: 32.0,
                    price: 0.6,
                    spot_price: Some(0.16),
                    boot_s: 30.0,
                    ..MachineType::default()
                },
                MachineType {
                    name: "c32".into(),
                    cpus: 32.0,
                    ram_gb: 128.0,
                    price: 2.4,
                    spot_price: Some(0.62),
                    boot_s: 20.0,
                    ..MachineType::default()
                },
            ],
            capacity,
            teams: vec![team("day", 120.0, 300.0), team("night", 160.0, 360.0)],
            aims: vec![
                Aim::Finished {
                    class: "tiles".into(),
                    within_s: 150.0,
                    share: 0.95,
                },
                Aim::Finished {
                    class: "matching".into(),
                    within_s: 240.0,
                    share: 0.95,
                },
                Aim::Submit {
                    within_s: 1.0,
                    share: 0.98,
                },
                Aim::Useful { share: 0.6 },
                Aim::Price { most: 3.5 },
            ],
            served: None,
        }
    }
}

/// Minimum served share of every class, of the largest tenth of each class and of every team.
/// Cancelled jobs are not counted.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Served {
    #[garde(range(min = 0.0, max = 1.0))]
    pub share: f64,
    /// Time (s) from the first attempt to submit a job to its end.
    #[garde(range(min = 1.0, max = 86_400.0))]
    pub within_s: f64,
    /// Time (s) from when an accepted job of the largest tenth of its class is ready, within
    /// which it must begin.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(inner(range(min = 1.0, max = 86_400.0)))]
    pub begin_s: Option<f64>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct NodeLimits {
    /// Time (s) after which a controller that ended is restarted.
    #[garde(range(min = 0.1, max = 600.0))]
    pub restart_s: f64,
    /// Maximum number of connections of a controller.
    #[garde(range(min = 50, max = 65_000))]
    pub sockets: u32,
    /// Maximum error (ms) of the wall clock.
    #[garde(range(min = 0.0, max = 60_000.0))]
    pub clock_off_ms: f64,
    /// Maximum drift of monotonic clocks, as the share by which they run fast.
    #[garde(range(min = 0.0, max = 0.0005))]
    pub drift: f64,
}

impl Default for NodeLimits {
    fn default() -> Self {
        NodeLimits {
            restart_s: 5.0,
            sockets: 2000,
            clock_off_ms: 1000.0,
            drift: 0.0005,
        }
    }
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// One-way latency (ms) inside a zone.
    #[garde(range(min = 0.0, max = 1000.0))]
    pub same_zone_ms: f64,
    /// One-way latency (ms) between zones.
    #[garde(range(min = 0.0, max = 1000.0))]
    pub cross_zone_ms: f64,
    /// Maximum additional latency of a packet, as a share of its latency.
    #[garde(range(min = 0.0, max = 10.0))]
    pub jitter: f64,
    /// Share of packets that are lost and retransmitted.
    #[garde(range(min = 0.0, max = 0.2))]
    pub loss: f64,
}

impl Default for Network {
    fn default() -> Self {
        Network {
            same_zone_ms: 1.0,
            cross_zone_ms: 3.0,
            jitter: 0.25,
            loss: 0.0002,
        }
    }
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct State {
    /// Limit on requests per second.
    #[garde(range(min = 1.0, max = 1.0e6))]
    pub rps: f64,
    /// Limit on changes per second.
    #[garde(range(min = 1.0, max = 1.0e6))]
    pub write_rps: f64,
    #[garde(range(min = 4.0, max = 1024.0))]
    pub value_kb: f64,
    #[garde(range(min = 3, max = 10_000))]
    pub txn_ops: usize,
    /// Duration (ms) of a request.
    #[garde(range(min = 0.0, max = 10_000.0))]
    pub latency_ms: f64,
    /// Share of requests that take a few hundred ms.
    #[garde(range(min = 0.0, max = 1.0))]
    pub slow: f64,
    /// Limits that apply from the fault `state_limits` on, known to the controllers in advance;
    /// limits that are not given stay.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[garde(dive)]
    pub next: Option<NextLimits>,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct NextLimits {
    #[garde(inner(range(min = 1.0, max = 1.0e6)))]
    pub rps: Option<f64>,
    #[garde(inner(range(min = 1.0, max = 1.0e6)))]
    pub write_rps: Option<f64>,
    #[garde(inner(range(min = 1.0, max = 1024.0)))]
    pub value_kb: Option<f64>,
    #[garde(inner(range(min = 4, max = 10_000)))]
    pub txn_ops: Option<usize>,
}

impl Default for State {
    fn default() -> Self {
        State {
            rps: 300.0,
            write_rps: 120.0,
            value_kb: 32.0,
            txn_ops: 48,
            next: None,
            latency_ms: 3.0,
            slow: 0.002,
        }
    }
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Cloud {
    #[garde(range(min = 0.5, max = 10_000.0))]
    pub rps: f64,
    /// Lag (s) of the machine list.
    #[garde(range(min = 0.0, max = 600.0))]
    pub list_lag_s: f64,
    #[garde(range(min = 0.0, max = 10_000.0))]
    pub latency_ms: f64,
    /// Maximum deviation of spot prices from the nominal price, as a share of it.
    #[garde(range(min = 0.0, max = 0.34))]
    pub price_moves: f64,
}

impl Default for Cloud {
    fn default() -> Self {
        Cloud {
            rps: 5.0,
            list_lag_s: 5.0,
            latency_ms: 100.0,
            price_moves: 0.2,
        }
    }
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Workers {
    #[garde(range(min = 0.5, max = 60.0))]
    pub report_s: f64,
    #[garde(range(min = 2.0, max = 600.0))]
    pub lease_s: f64,
    /// Time (s) within which the tasks of a cancelled job must have ended.
    #[garde(range(min = 5.0, max = 3600.0))]
    pub cancel_s: f64,
    /// Variation in speed among machines of a type, as a share.
    #[garde(range(min = 0.0, max = 0.5))]
    pub speed_differs: f64,
    /// Whether concurrent image fetches share the fetch rate of the machine.
    #[garde(skip)]
    pub fetch_shared: bool,
}

impl Default for Workers {
    fn default() -> Self {
        Workers {
            report_s: 2.0,
            lease_s: 12.0,
            cancel_s: 42.0,
            speed_differs: 0.08,
            fetch_shared: true,
        }
    }
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct SpotMarket {
    /// Average number of times per hour that a spot machine is reclaimed.
    #[garde(range(min = 0.0, max = 60.0))]
    pub per_hour: f64,
    /// Notice (s) before a spot machine is reclaimed, plus or minus half of it.
    #[garde(range(min = 0.0, max = 600.0))]
    pub notice_s: f64,
    /// Share of spot machines that are reclaimed without notice.
    #[garde(range(min = 0.0, max = 1.0))]
    pub silent: f64,
}

impl Default for SpotMarket {
    fn default() -> Self {
        SpotMarket {
            per_hour: 0.4,
            notice_s: 15.0,
            silent: 0.3,
        }
    }
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct MachineType {
    #[garde(length(min = 1, max = 60))]
    pub name: String,
    #[garde(range(min = 0.1, max = 10_000.0))]
    pub cpus: f64,
    #[garde(range(min = 0.0, max = 1000.0))]
    pub gpus: f64,
    #[garde(range(min = 0.1, max = 100_000.0))]
    pub ram_gb: f64,
    /// Size (GB) of the image cache.
    #[garde(range(min = 0.1, max = 100_000.0))]
    pub cache_gb: f64,
    #[garde(range(min = 0.001, max = 1000.0))]
    pub fetch_gb_per_s: f64,
    /// Price per hour.
    #[garde(range(min = 0.0, max = 10_000.0))]
    pub price: f64,
    #[garde(inner(range(min = 0.0, max = 10_000.0)))]
    pub spot_price: Option<f64>,
    #[garde(range(min = 0.5, max = 3600.0))]
    pub boot_s: f64,
    /// Share of machines whose boot takes several times as long.
    #[garde(range(min = 0.0, max = 1.0))]
    pub boot_late: f64,
    /// Share of machines that never boot.
    #[garde(range(min = 0.0, max = 1.0))]
    pub boot_never: f64,
}

impl Default for MachineType {
    fn default() -> Self {
        MachineType {
            name: "c8".into(),
            cpus: 8.0,
            gpus: 0.0,
            ram_gb: 32.0,
            cache_gb: 30.0,
            fetch_gb_per_s: 0.5,
            price: 0.6,
            spot_price: None,
            boot_s: 30.0,
            boot_late: 0.05,
            boot_never: 0.02,
        }
    }
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Capacity {
    #[serde(rename = "type")]
    #[garde(length(min = 1))]
    pub kind: String,
    #[garde(length(min = 1))]
    pub zone: String,
    /// Number of on-demand machines.
    #[serde(default)]
    #[garde(range(max = 100_000))]
    pub count: u32,
    /// Number of spot machines.
    #[serde(default)]
    #[garde(range(max = 100_000))]
    pub spot: u32,
    /// Number of on-demand machines that are up when the scenario begins.
    #[serde(default)]
    #[garde(range(max = 100_000))]
    pub up: u32,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Team {
    #[garde(length(min = 1, max = 60))]
    pub name: String,
    /// Guaranteed CPUs; 0 for no guarantee.
    #[serde(default)]
    #[garde(range(min = 0.0))]
    pub cpus: f64,
    /// Maximum CPUs; 0 for no limit.
    #[serde(default)]
    #[garde(range(min = 0.0))]
    pub cpus_max: f64,
    /// Guaranteed GPUs; 0 for no guarantee.
    #[serde(default)]
    #[garde(range(min = 0.0))]
    pub gpus: f64,
    /// Maximum GPUs; 0 for no limit.
    #[serde(default)]
    #[garde(range(min = 0.0))]
    pub gpus_max: f64,
    /// Weight of the team in the draw for a job whose class names no team.
    #[serde(default = "default_weight")]
    #[garde(range(min = 0.001, max = 1000.0))]
    pub weight: f64,
}

fn default_weight() -> f64 {
    1.0
}

/// An objective of the deployment, measured as the protocol specifies.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Aim {
    /// Share of the tasks of a class that start within `within_s`.
    Wait {
        #[garde(skip)]
        class: String,
        #[garde(range(min = 0.0))]
        within_s: f64,
        #[garde(range(min = 0.0, max = 1.0))]
        share: f64,
    },
    /// Share of the jobs of a class that are done within `within_s`.
    Finished {
        #[garde(skip)]
        class: String,
        #[garde(range(min = 0.0))]
        within_s: f64,
        #[garde(range(min = 0.0, max = 1.0))]
        share: f64,
    },
    /// Share of the tasks within the guarantee of their team that start within `within_s`.
    Guarantee {
        #[garde(range(min = 0.0))]
        within_s: f64,
        #[garde(range(min = 0.0, max = 1.0))]
        share: f64,
    },
    /// Share of the jobs that are accepted within `within_s`.
    Submit {
        #[garde(range(min = 0.0))]
        within_s: f64,
        #[garde(range(min = 0.0, max = 1.0))]
        share: f64,
    },
    /// Share of the cost that is spent on useful work.
    Useful {
        #[garde(range(min = 0.0, max = 1.0))]
        share: f64,
    },
    /// Maximum ratio of the cost to the cost of the useful work at the lowest nominal price.
    Price {
        #[garde(range(min = 0.0))]
        most: f64,
    },
}

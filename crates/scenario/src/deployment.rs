//! What is deployed: controllers, the systems they serve, teams and aims.
//! Every field has a default, so that a scenario names only what it is about.

use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Deployment {
    /// Controllers, spread over the zones in turn.
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
    /// What every class and team must have of its jobs; else somebody starves.
    #[garde(dive)]
    pub served: Option<Served>,
}

impl Default for Deployment {
    fn default() -> Self {
        let room = |zone: &str, kind: &str, count, spot| Capacity {
            kind: kind.into(),
            zone: zone.into(),
            count,
            spot,
            up: 0,
        };
        let mut capacity = Vec::new();
        for zone in ["north", "south", "west"] {
            capacity.push(room(zone, "c8", 4, 4));
            capacity.push(room(zone, "c32", 2, 2));
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

/// The least served share of every class, of the largest tenth of each class, and of every
/// team, of the jobs that nobody cancelled.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Served {
    #[garde(range(min = 0.0, max = 1.0))]
    pub share: f64,
    /// s from the first attempt to submit a job to its end.
    #[garde(range(min = 1.0, max = 86_400.0))]
    pub within_s: f64,
    /// s in which an accepted job of the largest tenth of its class must begin, from when
    /// it is ready.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(inner(range(min = 1.0, max = 86_400.0)))]
    pub begin_s: Option<f64>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct NodeLimits {
    /// s until a controller that ended is started again.
    #[garde(range(min = 0.1, max = 600.0))]
    pub restart_s: f64,
    /// Connections a controller may have.
    #[garde(range(min = 50, max = 65_000))]
    pub sockets: u32,
    /// ms by which the time of day may be off.
    #[garde(range(min = 0.0, max = 60_000.0))]
    pub clock_off_ms: f64,
    /// Share by which steady clocks may run fast.
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
    /// ms one way.
    #[garde(range(min = 0.0, max = 1000.0))]
    pub same_zone_ms: f64,
    #[garde(range(min = 0.0, max = 1000.0))]
    pub cross_zone_ms: f64,
    /// Share by which a packet may take longer.
    #[garde(range(min = 0.0, max = 10.0))]
    pub jitter: f64,
    /// Share of packets that are lost and sent again.
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
    /// Requests and changes a second.
    #[garde(range(min = 1.0, max = 1.0e6))]
    pub rps: f64,
    #[garde(range(min = 1.0, max = 1.0e6))]
    pub write_rps: f64,
    #[garde(range(min = 4.0, max = 1024.0))]
    pub value_kb: f64,
    #[garde(range(min = 3, max = 10_000))]
    pub txn_ops: usize,
    /// ms that a request takes.
    #[garde(range(min = 0.0, max = 10_000.0))]
    pub latency_ms: f64,
    /// Share of requests that take a few hundred ms.
    #[garde(range(min = 0.0, max = 1.0))]
    pub slow: f64,
    /// The limits from some moment on (the trouble `state_limits`), which controllers
    /// know of; those not given stay.
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
    /// s by which the machine list lags.
    #[garde(range(min = 0.0, max = 600.0))]
    pub list_lag_s: f64,
    #[garde(range(min = 0.0, max = 10_000.0))]
    pub latency_ms: f64,
    /// Share by which spot prices move around the nominal one.
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
    /// s in which the tasks of a cancelled job must be gone.
    #[garde(range(min = 5.0, max = 3600.0))]
    pub cancel_s: f64,
    /// Share by which machines of a type differ in speed.
    #[garde(range(min = 0.0, max = 0.5))]
    pub speed_differs: f64,
    /// Do several fetches at a time share the machine's rate?
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
    /// Times an hour that a spot machine is taken back, on average.
    #[garde(range(min = 0.0, max = 60.0))]
    pub per_hour: f64,
    /// s of notice, give or take half.
    #[garde(range(min = 0.0, max = 600.0))]
    pub notice_s: f64,
    /// Share taken without notice.
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
    /// GB of images that it keeps.
    #[garde(range(min = 0.1, max = 100_000.0))]
    pub cache_gb: f64,
    #[garde(range(min = 0.001, max = 1000.0))]
    pub fetch_gb_per_s: f64,
    /// Of an hour.
    #[garde(range(min = 0.0, max = 10_000.0))]
    pub price: f64,
    #[garde(inner(range(min = 0.0, max = 10_000.0)))]
    pub spot_price: Option<f64>,
    #[garde(range(min = 0.5, max = 3600.0))]
    pub boot_s: f64,
    /// Shares of machines that boot several times as long, and never.
    #[garde(range(min = 0.0, max = 1.0))]
    pub boot_late: f64,
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
    /// Machines at the full price, and spot machines.
    #[serde(default)]
    #[garde(range(max = 100_000))]
    pub count: u32,
    #[serde(default)]
    #[garde(range(max = 100_000))]
    pub spot: u32,
    /// Ordinary ones that are up when the scenario begins.
    #[serde(default)]
    #[garde(range(max = 100_000))]
    pub up: u32,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Team {
    #[garde(length(min = 1, max = 60))]
    pub name: String,
    /// Guaranteed, and at most; 0 is none, and no limit.
    #[serde(default)]
    #[garde(range(min = 0.0))]
    pub cpus: f64,
    #[serde(default)]
    #[garde(range(min = 0.0))]
    pub cpus_max: f64,
    #[serde(default)]
    #[garde(range(min = 0.0))]
    pub gpus: f64,
    #[serde(default)]
    #[garde(range(min = 0.0))]
    pub gpus_max: f64,
    /// Its share of jobs whose class has several teams.
    #[serde(default = "one")]
    #[garde(range(min = 0.001, max = 1000.0))]
    pub weight: f64,
}

fn one() -> f64 {
    1.0
}

/// What the deployment is to reach; counted as the protocol page says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Aim {
    /// Share of the tasks of a class that start in time.
    Wait {
        #[garde(skip)]
        class: String,
        #[garde(range(min = 0.0))]
        within_s: f64,
        #[garde(range(min = 0.0, max = 1.0))]
        share: f64,
    },
    /// Share of the jobs of a class that are done in time.
    Finished {
        #[garde(skip)]
        class: String,
        #[garde(range(min = 0.0))]
        within_s: f64,
        #[garde(range(min = 0.0, max = 1.0))]
        share: f64,
    },
    /// Share of the tasks within their team's guarantee that start in time.
    Guarantee {
        #[garde(range(min = 0.0))]
        within_s: f64,
        #[garde(range(min = 0.0, max = 1.0))]
        share: f64,
    },
    /// Share of the jobs accepted in time.
    Submit {
        #[garde(range(min = 0.0))]
        within_s: f64,
        #[garde(range(min = 0.0, max = 1.0))]
        share: f64,
    },
    /// Share of the money that is spent on useful work.
    Useful {
        #[garde(range(min = 0.0, max = 1.0))]
        share: f64,
    },
    /// Money over what the useful work costs at the lowest nominal price.
    Price {
        #[garde(range(min = 0.0))]
        most: f64,
    },
}

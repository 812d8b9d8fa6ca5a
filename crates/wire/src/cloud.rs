//! Messages between controllers and the cloud's API.

use serde::{Deserialize, Serialize};

/// A type of machine that the cloud rents, with its current prices.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name of the type.
    #[serde(rename = "sku")]
    pub name: String,
    /// CPUs of a machine.
    pub cpus: f64,
    /// GPUs of a machine.
    #[serde(rename = "accelerators")]
    pub gpus: f64,
    /// Memory of a machine in GB.
    #[serde(rename = "ram_gb")]
    pub memory_gb: f64,
    /// Image cache of a machine in GB.
    #[serde(rename = "local_gb")]
    pub cache_gb: f64,
    /// Nominal rate of image fetches in GB per second.
    pub fetch_gb_per_s: f64,
    /// Price per hour of an on-demand machine.
    #[serde(rename = "hourly")]
    pub price_per_hour: f64,
    /// Current price per hour of a spot machine; None if the type has no spot machines.
    #[serde(rename = "spot_price", default)]
    pub spot_price_per_hour: Option<f64>,
    /// Nominal boot time in seconds.
    #[serde(rename = "startup_s")]
    pub boot_s: f64,
    /// Zones in which the type is available.
    #[serde(rename = "pastures")]
    pub zones: Vec<String>,
}

/// The response to `GET /machine_types`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineTypes {
    /// All machine types.
    #[serde(rename = "breeds_of_box")]
    pub types: Vec<MachineType>,
}

/// A request to rent machines: `POST /machines`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RentalRequest {
    /// Idempotency key: repeating a key rents no further machines, so keys are never reused.
    #[serde(rename = "hire")]
    pub request_id: String,
    /// Requested machine type.
    #[serde(rename = "box_breed")]
    pub machine_type: String,
    /// Requested zone.
    #[serde(rename = "pasture")]
    pub zone: String,
    /// Whether spot machines are requested.
    #[serde(rename = "strays")]
    pub spot: bool,
    /// Number of machines requested; the cloud may rent out fewer.
    pub count: u32,
}

/// Names of machines that were rented or are to be deleted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineNames {
    /// The names.
    #[serde(rename = "mounts")]
    pub machines: Vec<String>,
}

/// State of a machine in the cloud's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListedMachineState {
    /// Rented but not up yet.
    #[serde(rename = "starting")]
    Booting,
    /// Up.
    #[serde(rename = "running")]
    Running,
    /// Stopped by itself; listed until it is deleted.
    #[serde(rename = "failed")]
    Failed,
}

/// A machine in the cloud's list, which may be several seconds old.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Name of the machine.
    #[serde(rename = "name_id")]
    pub name: String,
    /// Its machine type.
    #[serde(rename = "box_breed")]
    pub machine_type: String,
    /// Its zone.
    #[serde(rename = "pasture")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "strays")]
    pub spot: bool,
    /// Its state at the time that the list describes.
    #[serde(rename = "gait")]
    pub state: ListedMachineState,
    /// Seconds since it was rented, at that time.
    #[serde(rename = "held_s")]
    pub age_s: f64,
    /// Address at which its worker accepts direct commands.
    #[serde(rename = "endpoint", default, skip_serializing_if = "Option::is_none")]
    pub address: Option<String>,
}

/// A page of the cloud's list: the response to `GET /machines`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineListPage {
    /// Machines in the order of their names.
    #[serde(rename = "mounts")]
    pub machines: Vec<ListedMachine>,
    /// Whether more machines follow these.
    #[serde(rename = "truncated", default)]
    pub more: bool,
}

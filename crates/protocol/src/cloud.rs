//! Messages of the cloud's API: machine types, rentals, releases and the machine list.

use serde::{Deserialize, Serialize};

/// A machine type that the cloud rents, at its current prices.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct MachineType {
    /// Name of the type in requests.
    #[serde(rename = "sku")]
    pub name: String,
    /// Number of CPU cores.
    #[serde(rename = "cores")]
    pub cpus: f64,
    /// Number of GPUs.
    #[serde(rename = "accelerators", default)]
    pub gpus: f64,
    /// Memory, in GB.
    pub memory_gb: f64,
    /// Local storage for images, in GB; 0 if unknown.
    #[serde(rename = "local_gb", default)]
    pub cache_gb: f64,
    /// Rate at which images are fetched, in GB per second.
    #[serde(default)]
    pub fetch_gb_per_s: f64,
    /// Price of an on-demand machine, per hour.
    pub price: f64,
    /// Current price of a spot machine, per hour.
    #[serde(rename = "market_price")]
    pub spot_price: f64,
    /// Usual boot time, in seconds.
    #[serde(rename = "startup_s", default)]
    pub boot_s: f64,
    /// Zones in which the type is available.
    #[serde(rename = "halls")]
    pub zones: Vec<String>,
}

impl MachineType {
    /// Returns the price per hour, of a spot machine or of an on-demand one.
    pub fn price_of(&self, spot: bool) -> f64 {
        if spot { self.spot_price } else { self.price }
    }
}

/// The response to `GET /machine_types`.
#[derive(Debug, Deserialize, Serialize)]
pub struct MachineTypes {
    /// All machine types.
    #[serde(rename = "rigs")]
    pub types: Vec<MachineType>,
}

/// Maximum number of machines that one rental may request.
pub const MAX_MACHINES_PER_REQUEST: u32 = 50;

/// A scale-out request: the body of `POST /hosts`. Repeating a request that was granted
/// rents no further machines, so a request id must never be used for another request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineRequest {
    /// Request id, unique over all terms and controllers.
    #[serde(rename = "hire_ask")]
    pub request_id: String,
    /// Name of the machine type.
    #[serde(rename = "rig")]
    pub type_name: String,
    /// Name of the zone.
    #[serde(rename = "hall")]
    pub zone: String,
    /// Whether to rent spot machines, which the cloud may reclaim.
    #[serde(rename = "lendback")]
    pub spot: bool,
    /// Number of machines, at most `MAX_MACHINES_PER_REQUEST`.
    pub count: u32,
}

/// Names of machines that were granted or have to be released.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineNames {
    /// The machine names.
    #[serde(rename = "posts")]
    pub machines: Vec<String>,
}

/// State of a machine in the cloud's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
pub enum ListedState {
    /// The machine was not up when the list was made.
    #[serde(rename = "booting")]
    Booting,
    /// The machine is up, or has been dead for less than about 30 s.
    #[serde(rename = "running")]
    Running,
    /// The machine stopped by itself and stays listed until it is released.
    #[serde(rename = "failed")]
    Failed,
}

/// A machine in the cloud's list, which lags behind the actual state.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct ListedMachine {
    /// Name of the machine.
    #[serde(rename = "ref")]
    pub id: String,
    /// Address on which the machine's worker accepts direct commands.
    #[serde(default)]
    pub addr: String,
    /// Name of the machine type.
    #[serde(rename = "rig")]
    pub type_name: String,
    /// Name of the zone.
    #[serde(rename = "hall")]
    pub zone: String,
    /// Whether the machine is a spot machine, which the cloud may reclaim.
    #[serde(rename = "lendback")]
    pub spot: bool,
    /// State of the machine at the time that the list describes.
    #[serde(rename = "stage")]
    pub state: ListedState,
    /// Seconds from the request for the machine to the time that the cloud's machine list
    /// describes.
    #[serde(default)]
    pub age_s: f64,
}

/// A page of the machine list, ordered by name.
#[derive(Debug, Deserialize, Serialize)]
pub struct MachineList {
    /// The machines of this page.
    #[serde(rename = "posts")]
    pub machines: Vec<ListedMachine>,
    /// Whether there are further pages.
    #[serde(default)]
    pub more: bool,
}

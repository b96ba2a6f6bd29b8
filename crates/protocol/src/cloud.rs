//! The cloud's interface: machine types, rentals, releases, the list.

use serde::{Deserialize, Serialize};

/// A type of machine that the cloud rents, at its current prices.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct MachineType {
    /// Its name in requests.
    #[serde(rename = "sku")]
    pub name: String,
    /// CPU cores.
    #[serde(rename = "cores")]
    pub cpus: f64,
    /// GPUs.
    #[serde(rename = "accelerators", default)]
    pub gpus: f64,
    /// Memory, in GB.
    pub memory_gb: f64,
    /// Local space for images, in GB; 0: not known.
    #[serde(rename = "local_gb", default)]
    pub cache_gb: f64,
    /// Rate at which images are fetched, in GB a second.
    #[serde(default)]
    pub fetch_gb_per_s: f64,
    /// Price of an ordinary machine, an hour.
    pub price: f64,
    /// Current price of a spot machine, an hour.
    #[serde(rename = "market_price")]
    pub spot_price: f64,
    /// Usual boot time, in seconds.
    #[serde(rename = "startup_s", default)]
    pub boot_s: f64,
    /// Zones in which it can be had.
    #[serde(rename = "halls")]
    pub zones: Vec<String>,
}

impl MachineType {
    /// The price an hour, as a spot machine or as an ordinary one.
    pub fn price_of(&self, spot: bool) -> f64 {
        if spot { self.spot_price } else { self.price }
    }
}

/// The answer to `GET /machine_types`.
#[derive(Debug, Deserialize, Serialize)]
pub struct MachineTypes {
    /// All types.
    #[serde(rename = "rigs")]
    pub types: Vec<MachineType>,
}

/// Machines that one rental may ask for.
pub const MAX_MACHINES_PER_REQUEST: u32 = 50;

/// A scale-out: the body of `POST /hosts`. Repeating a request that was granted rents
/// nothing more, so its id must never recur.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineRequest {
    /// Unique over all terms and controllers.
    #[serde(rename = "hire_ask")]
    pub request_id: String,
    /// The machine type.
    #[serde(rename = "rig")]
    pub type_name: String,
    /// The zone.
    #[serde(rename = "hall")]
    pub zone: String,
    /// Spot machines, which the cloud may reclaim.
    #[serde(rename = "lendback")]
    pub spot: bool,
    /// How many, at most `MAX_MACHINES_PER_REQUEST`.
    pub count: u32,
}

/// Names of machines, as granted or to be released.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineNames {
    /// The names.
    #[serde(rename = "posts")]
    pub machines: Vec<String>,
}

/// The state of a machine in the cloud's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
pub enum ListedState {
    /// Not up yet, as far as the list knows.
    #[serde(rename = "booting")]
    Booting,
    /// Up, or dead for less than about 30 s.
    #[serde(rename = "running")]
    Running,
    /// It stopped by itself and stays listed until it is released.
    #[serde(rename = "failed")]
    Failed,
}

/// A machine in the cloud's list, which lags.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct ListedMachine {
    /// Its name.
    #[serde(rename = "ref")]
    pub id: String,
    /// Where its worker takes direct commands.
    #[serde(default)]
    pub addr: String,
    /// Its type.
    #[serde(rename = "rig")]
    pub type_name: String,
    /// Its zone.
    #[serde(rename = "hall")]
    pub zone: String,
    /// The cloud may reclaim it.
    #[serde(rename = "lendback")]
    pub spot: bool,
    /// Its state at the time that the list describes.
    #[serde(rename = "stage")]
    pub state: ListedState,
    /// Seconds since it was requested, at that time.
    #[serde(default)]
    pub age_s: f64,
}

/// A page of the list, in the order of names.
#[derive(Debug, Deserialize, Serialize)]
pub struct MachineList {
    /// The machines of this page.
    #[serde(rename = "posts")]
    pub machines: Vec<ListedMachine>,
    /// There are further pages.
    #[serde(default)]
    pub more: bool,
}

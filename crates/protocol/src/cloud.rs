//! The cloud's interface: machine types, rentals, releases, the list.

use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct MachineType {
    #[serde(rename = "sku")]
    pub name: String,
    #[serde(rename = "cores")]
    pub cpus: f64,
    #[serde(rename = "accelerators", default)]
    pub gpus: f64,
    pub memory_gb: f64,
    #[serde(rename = "local_gb", default)]
    pub cache_gb: f64,
    #[serde(default)]
    pub fetch_gb_per_s: f64,
    pub price: f64,
    #[serde(rename = "market_price")]
    pub spot_price: f64,
    #[serde(rename = "startup_s", default)]
    pub boot_s: f64,
    #[serde(rename = "halls")]
    pub zones: Vec<String>,
}

impl MachineType {
    pub fn price_of(&self, spot: bool) -> f64 {
        if spot { self.spot_price } else { self.price }
    }
}

#[derive(Debug, Deserialize, Serialize)]
pub struct MachineTypes {
    #[serde(rename = "rigs")]
    pub types: Vec<MachineType>,
}

/// Machines that one rental may ask for.
pub const MAX_MACHINES_PER_REQUEST: u32 = 50;

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineRequest {
    #[serde(rename = "hire_ask")]
    pub request_id: String,
    #[serde(rename = "rig")]
    pub type_name: String,
    #[serde(rename = "hall")]
    pub zone: String,
    #[serde(rename = "lendback")]
    pub spot: bool,
    pub count: u32,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineNames {
    #[serde(rename = "posts")]
    pub machines: Vec<String>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
pub enum ListedState {
    #[serde(rename = "booting")]
    Booting,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "failed")]
    Failed,
}

#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct ListedMachine {
    #[serde(rename = "ref")]
    pub id: String,
    #[serde(default)]
    pub addr: String,
    #[serde(rename = "rig")]
    pub type_name: String,
    #[serde(rename = "hall")]
    pub zone: String,
    #[serde(rename = "lendback")]
    pub spot: bool,
    #[serde(rename = "stage")]
    pub state: ListedState,
    #[serde(default)]
    pub age_s: f64,
}

#[derive(Debug, Deserialize, Serialize)]
pub struct MachineList {
    #[serde(rename = "posts")]
    pub machines: Vec<ListedMachine>,
    #[serde(default)]
    pub more: bool,
}

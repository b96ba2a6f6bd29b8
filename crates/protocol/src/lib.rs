//! What travels between processes, as serde types. Names that only the
//! installation's wire format uses appear here as renames and nowhere else.

pub mod cloud;
pub mod market;
pub mod peers;
pub mod settings;
pub mod state;
pub mod status;
pub mod users;
pub mod workers;

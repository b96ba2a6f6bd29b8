//! What must stay as it is, byte for byte, whatever types and fields are
//! called in the code: what other processes send, read and keep. The fixtures
//! are the expectation and are never edited.

#[path = "compatibility/wire.rs"]
mod wire;

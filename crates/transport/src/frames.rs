//! The protocol between controllers: CBOR messages, each behind its length as
//! a big-endian `u32`.
//!
//! Here: encoding and decoding, the server ([`serve`]) and the client
//! ([`PeerClient`]). The messages are those of `pathwinch_protocol::peers`;
//! handling them is the callers' part.

mod client;
mod server;

pub use client::PeerClient;
pub use server::serve;

use crate::SharedTcpStream;
use futures_lite::AsyncReadExt;
use pathwinch_protocol::peers::{Frame, MAX_FRAME, VERSION};
use serde::{Serialize, de::DeserializeOwned};
use std::io;
use thiserror::Error;

const LENGTH_BYTES: usize = 4;

/// Why a frame can't be written or read.
#[derive(Debug, Error)]
pub enum FrameError {
    /// It is longer than the protocol allows.
    #[error("frame of {bytes} bytes is too large")]
    TooLarge {
        /// Length without the length prefix.
        bytes: usize,
    },
    /// The peer speaks another version of the protocol.
    #[error("peer speaks version {version}, this is {VERSION}")]
    Version {
        /// The peer's version.
        version: u16,
    },
    /// The message can't be written as CBOR.
    #[error(transparent)]
    Encode(#[from] ciborium::ser::Error<io::Error>),
    /// The bytes are not the expected message in CBOR.
    #[error(transparent)]
    Decode(#[from] ciborium::de::Error<io::Error>),
    /// The connection failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

fn check_length(bytes: usize) -> Result<(), FrameError> {
    match bytes <= MAX_FRAME {
        true => Ok(()),
        false => Err(FrameError::TooLarge { bytes }),
    }
}

/// Writes a message as a frame, with its length prefix.
pub fn encode<T: Serialize>(body: T) -> Result<Vec<u8>, FrameError> {
    let mut out = vec![0; LENGTH_BYTES];
    ciborium::into_writer(&Frame { v: VERSION, body }, &mut out)?;
    let length = out.len() - LENGTH_BYTES;
    check_length(length)?;
    out[..LENGTH_BYTES].copy_from_slice(&(length as u32).to_be_bytes());
    Ok(out)
}

/// Reads a message from the bytes of a frame without its length prefix.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, FrameError> {
    let frame: Frame<T> = ciborium::from_reader(bytes)?;
    match frame.v == VERSION {
        true => Ok(frame.body),
        false => Err(FrameError::Version { version: frame.v }),
    }
}

async fn read_frame(stream: &mut SharedTcpStream) -> Result<Vec<u8>, FrameError> {
    let mut length = [0; LENGTH_BYTES];
    stream.read_exact(&mut length).await?;
    let length = u32::from_be_bytes(length) as usize;
    check_length(length)?;
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).await?;
    Ok(bytes)
}

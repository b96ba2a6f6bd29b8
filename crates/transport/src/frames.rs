//! Framed protocol between controllers. A frame is a CBOR message preceded by
//! its length as a big-endian `u32`.
//!
//! This module encodes and decodes frames and contains the server ([`serve`])
//! and the client ([`PeerClient`]). The messages are defined in
//! `pathwinch_protocol::peers` and handled by the callers.

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

/// Size of the length prefix of a frame.
const LENGTH_PREFIX_BYTES: usize = 4;

/// Error of writing or reading a frame.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The frame is longer than the protocol allows.
    #[error("frame of {bytes} bytes exceeds the limit of {MAX_FRAME} bytes")]
    TooLarge {
        /// Length of the frame without the length prefix.
        bytes: usize,
    },
    /// The peer uses another version of the protocol.
    #[error("peer uses protocol version {version}, expected {VERSION}")]
    Version {
        /// Protocol version of the peer.
        version: u16,
    },
    /// The message can't be encoded as CBOR.
    #[error(transparent)]
    Encode(#[from] ciborium::ser::Error<io::Error>),
    /// The bytes are not the CBOR encoding of the expected message.
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

/// Encodes a message as a frame, including the length prefix. Fails if the
/// frame would be longer than the protocol allows.
pub fn encode<T: Serialize>(body: T) -> Result<Vec<u8>, FrameError> {
    let mut frame = vec![0; LENGTH_PREFIX_BYTES];
    ciborium::into_writer(&Frame { v: VERSION, body }, &mut frame)?;
    let length = frame.len() - LENGTH_PREFIX_BYTES;
    check_length(length)?;
    frame[..LENGTH_PREFIX_BYTES].copy_from_slice(&(length as u32).to_be_bytes());
    Ok(frame)
}

/// Decodes a message from the bytes of a frame without its length prefix. Fails
/// if the frame has another protocol version.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, FrameError> {
    let frame: Frame<T> = ciborium::from_reader(bytes)?;
    match frame.v == VERSION {
        true => Ok(frame.body),
        false => Err(FrameError::Version { version: frame.v }),
    }
}

/// Reads one frame and returns its bytes without the length prefix.
async fn read_frame(stream: &mut SharedTcpStream) -> Result<Vec<u8>, FrameError> {
    let mut length = [0; LENGTH_PREFIX_BYTES];
    stream.read_exact(&mut length).await?;
    let length = u32::from_be_bytes(length) as usize;
    check_length(length)?;
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).await?;
    Ok(bytes)
}

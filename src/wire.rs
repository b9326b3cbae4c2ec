//! Messages between carobreel processes.
//!
//! A frame is its length as little-endian `u32`, followed by an [`Envelope`] encoded with postcard.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

use error_stack::{Report, ResultExt};
use quinn::{RecvStream, SendStream};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::cell::request::{LeaderRequest, Reply};
use crate::claim::{ClaimAnswer, ClaimId, ClaimRecord, ClaimRequest, Completion};
use crate::clock::HybridTime;
use crate::event::EventRecord;
use crate::raft::{Message, ReplicaId};

/// The largest frame, in bytes.
pub const FRAME_BYTES_MAX: usize = 16 << 20;

/// A request from one process to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {
    /// Raft messages of a cell; not answered.
    Raft(RaftBatch),
    /// A request to the leader of a cell.
    Cell(CellRequest),
    /// Asks a replica whether the named cell was founded.
    FoundingStatus(String),
    /// Claims a request id.
    Claim(ClaimRequest),
    /// Releases a claim whose request was not run.
    ReleaseClaim(ClaimRequest),
    /// Stores the response to a claimed request.
    CompleteClaim(Box<Completion>),
    /// Lists all claims that the named host should also hold.
    ListClaims(String),
    /// A caller's request for the receiver's region; a body follows the response.
    Forward(Box<ForwardedRequest>),
    /// A request to the leader of the directory.
    Directory(crate::directory::protocol::DirectoryRequest),
    /// Asks for the receiver's recent events.
    Timeline,
    /// Checks that the receiver is alive.
    Ping,
}

/// Messages between replicas of one cell.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RaftBatch {
    /// The cell's name.
    pub cell: String,
    /// The sender's host.
    pub host: String,
    /// The messages, in order.
    pub messages: Vec<Message>,
}

/// A request to the leader of a cell.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CellRequest {
    /// The cell's name.
    pub cell: String,
    /// The request.
    pub request: LeaderRequest,
}

/// An HTTP header field.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// The name, in lower case.
    pub name: String,
    /// The value.
    pub value: Vec<u8>,
}

/// A caller's request that is forwarded to its home region.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ForwardedRequest {
    /// The HTTP method.
    pub method: String,
    /// The path and query.
    pub path: String,
    /// The headers to pass on.
    pub headers: Vec<Header>,
    /// The body.
    pub body: Vec<u8>,
    /// Time until the caller's timeout, in milliseconds.
    pub timeout_ms: u64,
    /// Whether the sender already claimed the request's id.
    pub claimed: bool,
}

/// The head of the response to a forwarded request; the body follows on the stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ForwardedResponseHead {
    /// The HTTP status.
    pub status: u16,
    /// The headers to pass on.
    pub headers: Vec<Header>,
}

/// A replica's response to whether its cell was founded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FoundingStatus {
    /// The replica's identity.
    pub replica: ReplicaId,
    /// Whether the replica's log or vote shows that the cell was founded.
    pub founded: bool,
}

/// The response to a [`Request`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Response {
    /// The request was received or carried out.
    Ack,
    /// The receiver doesn't serve this kind of request.
    Unsupported,
    /// The response of a cell.
    Cell(Reply),
    /// The response to [`Request::FoundingStatus`].
    FoundingStatus(FoundingStatus),
    /// The response of a host that keeps claims.
    Claim(ClaimAnswer),
    /// The requested claims, or `None` while the receiver doesn't hold all of them itself.
    Claims(Option<Vec<(ClaimId, ClaimRecord)>>),
    /// The response of the directory.
    Directory(crate::directory::protocol::Reply),
    /// The head of a forwarded request's response.
    Forward(ForwardedResponseHead),
    /// The receiver's recent events.
    Timeline(Vec<EventRecord>),
}

/// A message with the sender's hybrid time.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Envelope<B> {
    /// The time of sending.
    pub time: HybridTime,
    /// The message.
    pub body: B,
}

/// Why a frame can't be read or written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WireError {
    /// The frame is longer than [`FRAME_BYTES_MAX`].
    TooLong(usize),
    /// The content can't be decoded or encoded.
    Malformed,
    /// The stream ended or was reset.
    Closed,
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WireError::TooLong(len) => {
                write!(f, "a frame of {len} bytes, more than {FRAME_BYTES_MAX}")
            }
            WireError::Malformed => f.write_str("a frame that can't be decoded"),
            WireError::Closed => f.write_str("the stream was closed"),
        }
    }
}

impl std::error::Error for WireError {}

/// Returns an encoded frame.
///
/// # Errors
///
/// [`WireError::TooLong`] when it is longer than [`FRAME_BYTES_MAX`].
pub fn encode_frame<B: Serialize>(envelope: &Envelope<B>) -> Result<Vec<u8>, Report<WireError>> {
    let mut buf = vec![0; 4];
    buf = postcard::to_extend(envelope, buf).change_context(WireError::Malformed)?;
    let len = buf.len() - 4;
    if len > FRAME_BYTES_MAX {
        return Err(Report::new(WireError::TooLong(len)));
    }
    buf[..4].copy_from_slice(&(len as u32).to_le_bytes());
    Ok(buf)
}

/// Writes a frame.
pub async fn write_frame<B: Serialize>(
    tx: &mut SendStream,
    envelope: &Envelope<B>,
) -> Result<(), Report<WireError>> {
    let buf = encode_frame(envelope)?;
    tx.write_all(&buf).await.change_context(WireError::Closed)
}

/// Reads a frame.
///
/// # Errors
///
/// [`WireError::TooLong`] before any content of an overlong frame is read, [`WireError::Malformed`]
/// when the content doesn't decode, [`WireError::Closed`] when the stream ends early.
pub async fn read_frame<B: DeserializeOwned>(
    rx: &mut RecvStream,
) -> Result<Envelope<B>, Report<WireError>> {
    read_counted_frame(rx, &AtomicU64::new(0)).await
}

/// Reads a frame as [`read_frame`] does, and adds its bytes to `received` as they arrive.
pub async fn read_counted_frame<B: DeserializeOwned>(
    rx: &mut RecvStream,
    received: &AtomicU64,
) -> Result<Envelope<B>, Report<WireError>> {
    let mut len = [0; 4];
    fill(rx, &mut len, received).await?;
    let len = u32::from_le_bytes(len) as usize;
    if len > FRAME_BYTES_MAX {
        return Err(Report::new(WireError::TooLong(len)));
    }
    let mut buf = vec![0; len];
    fill(rx, &mut buf, received).await?;
    postcard::from_bytes(&buf).change_context(WireError::Malformed)
}

async fn fill(
    rx: &mut RecvStream,
    mut buf: &mut [u8],
    received: &AtomicU64,
) -> Result<(), Report<WireError>> {
    while !buf.is_empty() {
        let read = rx.read(buf).await.change_context(WireError::Closed)?;
        let Some(len) = read else {
            return Err(Report::new(WireError::Closed));
        };
        received.fetch_add(len as u64, Ordering::Relaxed);
        buf = &mut buf[len..];
    }
    Ok(())
}

//! Messages between carobreel's own processes.
//!
//! A frame is its length as `u32` little-endian, then an [`Envelope`] encoded by postcard.

use std::fmt;

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

/// What one process asks of another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {
    /// Messages of a cell's log; not answered.
    Raft(RaftBatch),
    /// A request to the leader of a cell.
    Cell(CellRequest),
    /// Whether a cell was founded, as the asked replica knows it.
    FoundingStatus(String),
    /// Claims a request id.
    Claim(ClaimRequest),
    /// Gives a claim back: the request was not run.
    ReleaseClaim(ClaimRequest),
    /// Stores the answer of a claimed request.
    CompleteClaim(Box<Completion>),
    /// All claims that the named host should hold too.
    ListClaims(String),
    /// A caller's request for a region that the receiver is in; a body follows the answer.
    Forward(Box<ForwardedRequest>),
    /// A request to the leader of the directory.
    Directory(crate::directory::protocol::DirectoryRequest),
    /// The receiver's events.
    Timeline,
    /// Whether the receiver lives.
    Ping,
}

/// Messages between replicas of one cell.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RaftBatch {
    /// The cell.
    pub cell: String,
    /// The sender's host.
    pub host: String,
    /// The messages.
    pub messages: Vec<Message>,
}

/// A request to the leader of a cell.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CellRequest {
    /// The cell.
    pub cell: String,
    /// The request.
    pub request: LeaderRequest,
}

/// A header line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// The name, in lower case.
    pub name: String,
    /// The value.
    pub value: Vec<u8>,
}

/// A caller's request on its way to the home region.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ForwardedRequest {
    /// The HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers to pass on.
    pub headers: Vec<Header>,
    /// The body.
    pub body: Vec<u8>,
    /// What is left of the caller's patience, in milliseconds.
    pub timeout_ms: u64,
    /// Whether the sender already claimed the request's id.
    pub claimed: bool,
}

/// The answer to a forwarded request; its body follows on the stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ForwardedResponseHead {
    /// The HTTP status.
    pub status: u16,
    /// Headers to pass on.
    pub headers: Vec<Header>,
}

/// What a replica knows of its cell's founding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FoundingStatus {
    /// The replica's identity.
    pub replica: ReplicaId,
    /// Whether its log or its vote shows that the cell was founded.
    pub founded: bool,
}

/// The answer to a [`Request`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Response {
    /// Noted.
    Ack,
    /// The receiver doesn't serve this request.
    Unsupported,
    /// From a cell.
    Cell(Reply),
    /// To a question about founding.
    FoundingStatus(FoundingStatus),
    /// From a keeper of claims.
    Claim(ClaimAnswer),
    /// Claims, or `None` while the receiver doesn't hold all of them itself.
    Claims(Option<Vec<(ClaimId, ClaimRecord)>>),
    /// From the directory.
    Directory(crate::directory::protocol::Reply),
    /// The head of an answer.
    Forward(ForwardedResponseHead),
    /// Events.
    Timeline(Vec<EventRecord>),
}

/// A message with its sender's hybrid time.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Envelope<B> {
    /// When it was sent.
    pub time: HybridTime,
    /// The content.
    pub body: B,
}

/// Why a frame can't be read or written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WireError {
    /// The frame is longer than [`FRAME_BYTES_MAX`].
    TooLong(usize),
    /// The content isn't what is expected.
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

/// Encodes a frame.
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
/// [`WireError::TooLong`] before anything of a long frame is read, [`WireError::Malformed`] when the
/// content doesn't decode, [`WireError::Closed`] when the stream ends early.
pub async fn read_frame<B: DeserializeOwned>(
    rx: &mut RecvStream,
) -> Result<Envelope<B>, Report<WireError>> {
    let mut len = [0; 4];
    rx.read_exact(&mut len)
        .await
        .change_context(WireError::Closed)?;
    let len = u32::from_le_bytes(len) as usize;
    if len > FRAME_BYTES_MAX {
        return Err(Report::new(WireError::TooLong(len)));
    }
    let mut buf = vec![0; len];
    rx.read_exact(&mut buf)
        .await
        .change_context(WireError::Closed)?;
    postcard::from_bytes(&buf).change_context(WireError::Malformed)
}

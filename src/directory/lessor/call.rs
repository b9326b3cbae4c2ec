//! Calls to upstreams about their keys, and their results.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::super::model::Key;

/// Identifies a call among all calls that a process makes. Numbers begin anew with each leadership, while calls
/// of an earlier one may still be in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CallId {
    /// The leader's term.
    pub term: u64,
    /// The number of the call in that term.
    pub number: u64,
}

/// The kind of a call to an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallKind {
    /// Grants keys or renews their grant.
    Grant {
        /// How long the upstream may hold the keys, in milliseconds.
        hold_ms: u64,
        /// The handover data of the previous owner.
        handover: Option<String>,
        /// Whether the upstream has acknowledged a grant of these keys under this fencing token before.
        is_renewal: bool,
    },
    /// Asks the upstream to release keys.
    Release,
}

impl CallKind {
    /// Returns the name used in logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            CallKind::Grant { .. } => "grant",
            CallKind::Release => "release",
        }
    }
}

/// A call to an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// Identifies the call in its result.
    pub id: CallId,
    /// The address to call.
    pub address: SocketAddr,
    /// The id of the upstream that the call is for. Another upstream at the address must refuse it.
    pub upstream: String,
    /// The service, used in logs.
    pub service: String,
    /// The first key.
    pub from: Key,
    /// The last key.
    pub to: Key,
    /// The fencing token.
    pub fence: u64,
    /// What the upstream is asked to do.
    pub kind: CallKind,
    /// The timeout, in milliseconds.
    pub timeout_ms: u64,
}

/// The result of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallResult {
    /// The call was carried out. Contains the handover data of a release.
    Done(Option<String>),
    /// The upstream has seen a higher fencing token.
    Fenced,
    /// No connection could be opened, so nothing was sent.
    NotSent,
    /// The leader's lease ended before the call could be written, so nothing was sent.
    LeaseEnded,
    /// Another upstream has the address and refused the call.
    Misdirected,
    /// No valid answer arrived; the call may have been carried out or may still be.
    Unknown,
    /// What arrived is the answer to another call; this one may have been carried out or may still be.
    Mismatched,
}

impl CallResult {
    /// Returns the name used in logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            CallResult::Done(_) => "done",
            CallResult::Fenced => "fenced",
            CallResult::NotSent => "not_sent",
            CallResult::LeaseEnded => "lease_ended",
            CallResult::Misdirected => "elsewhere",
            CallResult::Unknown => "unanswered",
            CallResult::Mismatched => "answer_to_another_call",
        }
    }
}

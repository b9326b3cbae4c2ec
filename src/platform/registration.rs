//! Parses the registration messages of upstreams.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::clock::unix_ms;
use crate::directory::model::{Incarnation, Phase, Upstream};
use crate::duration::parse_ms;

/// Maximum length of a name, a version or an address, in bytes.
const TEXT_BYTES_MAX: usize = 256;
/// Maximum number of requests that an upstream can execute concurrently.
const SLOTS_MAX: u32 = 65_536;
/// How far in the future a process may have started, in milliseconds: clocks differ. A later time would make
/// each later process at its address look older.
const BORN_AHEAD_MAX_MS: u64 = 24 * 3_600_000;

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Heartbeat {
    service: String,
    address: String,
    zone: String,
    #[serde(default)]
    version: String,
    slots: u32,
    state: String,
    /// How much longer the upstream stays cold. Without it the upstream is warm.
    #[serde(default)]
    cold_remaining: Option<String>,
    /// Grows with each heartbeat of a process. A heartbeat without it is taken as the newest one.
    #[serde(default)]
    sequence: Option<u64>,
    /// Start time of the process, in Unix milliseconds.
    #[serde(default)]
    born: u64,
}

#[derive(Debug, Default, Deserialize)]
struct Leave {
    #[serde(default)]
    born: u64,
}

/// Parses a heartbeat of the upstream `id`.
///
/// # Errors
///
/// A description of what is invalid.
///
/// # Examples
///
/// ```
/// use carobreel::platform::registration::parse_heartbeat;
///
/// let text = br#"{"service":"maps","address":"10.0.0.9:8080","zone":"a","version":"v1",
///     "slots":4,"state":"ready","coldRemaining":"0ms","sequence":4,"born":1700000000000}"#;
/// let upstream = parse_heartbeat("i-1", text).unwrap();
/// assert_eq!(upstream.incarnation.born_ms, 1_700_000_000_000);
/// assert!(parse_heartbeat("i-1", b"{}").is_err());
/// ```
pub fn parse_heartbeat(id: &str, text: &[u8]) -> Result<Upstream, String> {
    let heartbeat: Heartbeat =
        serde_json::from_slice(text).map_err(|e| format!("the heartbeat can't be read: {e}"))?;
    let phase = match heartbeat.state.as_str() {
        "ready" => Phase::Ready,
        "draining" => Phase::Draining,
        other => return Err(format!("state {other:?} is neither ready nor draining")),
    };
    check_id(id)?;
    check_born(heartbeat.born)?;
    let address = parse_address(&heartbeat.address)?;
    let texts = [&heartbeat.service, &heartbeat.zone, &heartbeat.version];
    if texts.iter().any(|text| text.len() > TEXT_BYTES_MAX) {
        return Err("service, zone or version is too long".to_string());
    }
    if heartbeat.service.is_empty() {
        return Err("the service is empty".to_string());
    }
    if heartbeat.slots == 0 || heartbeat.slots > SLOTS_MAX {
        return Err(format!("{} slots are out of range", heartbeat.slots));
    }
    let cold_remaining_ms = match &heartbeat.cold_remaining {
        Some(text) => parse_ms(text).ok_or_else(|| {
            let shown: String = text.chars().take(TEXT_BYTES_MAX).collect();
            format!("coldRemaining {shown:?} is not a time")
        })?,
        None => 0,
    };
    Ok(Upstream {
        incarnation: Incarnation {
            id: id.to_string(),
            born_ms: heartbeat.born,
        },
        service: heartbeat.service,
        address,
        zone: heartbeat.zone,
        version: heartbeat.version,
        slots: heartbeat.slots,
        phase,
        is_cold: cold_remaining_ms > 0,
        cold_sequence: heartbeat.sequence,
    })
}

/// Parses a deregistration and returns the process that leaves. An empty body means the newest process with
/// this id.
///
/// # Errors
///
/// A description of what is invalid in the body.
pub fn parse_leave(id: &str, text: &[u8]) -> Result<Incarnation, String> {
    let leave = if text.is_empty() {
        Leave::default()
    } else {
        serde_json::from_slice(text).map_err(|e| format!("the message can't be read: {e}"))?
    };
    check_id(id)?;
    check_born(leave.born)?;
    Ok(Incarnation {
        id: id.to_string(),
        born_ms: leave.born,
    })
}

/// Checks that an id can be sent in a header.
fn check_id(id: &str) -> Result<(), String> {
    let is_valid = !id.is_empty()
        && id.len() <= TEXT_BYTES_MAX
        && id.bytes().all(|byte| byte.is_ascii_graphic());
    match is_valid {
        true => Ok(()),
        false => Err("the id is empty, too long or not printable".to_string()),
    }
}

fn check_born(born_ms: u64) -> Result<(), String> {
    match born_ms > unix_ms().saturating_add(BORN_AHEAD_MAX_MS) {
        true => Err(format!("the start time {born_ms} lies in the future")),
        false => Ok(()),
    }
}

/// Parses an address that connections can be opened to.
fn parse_address(text: &str) -> Result<SocketAddr, String> {
    let address: Option<SocketAddr> = match text.len() <= TEXT_BYTES_MAX {
        true => text.parse().ok(),
        false => None,
    };
    let is_usable = |a: &SocketAddr| {
        let ip = a.ip();
        a.port() != 0 && !ip.is_unspecified() && !ip.is_multicast()
    };
    address.filter(is_usable).ok_or_else(|| {
        let shown: String = text.chars().take(TEXT_BYTES_MAX).collect();
        format!("address {shown:?} is not IP:PORT")
    })
}

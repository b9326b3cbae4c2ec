//! What upstreams say of themselves.

use serde::Deserialize;

use crate::directory::model::{Incarnation, Phase, Upstream};

#[derive(Debug, Deserialize)]
struct Heartbeat {
    service: String,
    address: String,
    zone: String,
    slots: u32,
    state: String,
    /// When the process started, in Unix milliseconds.
    #[serde(default)]
    born: u64,
}

#[derive(Debug, Default, Deserialize)]
struct Leave {
    #[serde(default)]
    born: u64,
}

/// Reads an announcement of the upstream `id`.
///
/// # Errors
///
/// What is wrong with it; it then names no upstream to use.
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
    let address = heartbeat
        .address
        .parse()
        .map_err(|_| format!("address {:?} is not IP:PORT", heartbeat.address))?;
    if id.is_empty() || heartbeat.service.is_empty() {
        return Err("id or service is empty".to_string());
    }
    Ok(Upstream {
        incarnation: Incarnation {
            id: id.to_string(),
            born_ms: heartbeat.born,
        },
        service: heartbeat.service,
        address,
        zone: heartbeat.zone,
        slots: heartbeat.slots,
        phase,
    })
}

/// Reads which process leaves; a message without a body means the newest one of that id.
///
/// # Errors
///
/// What is wrong with the body.
pub fn parse_leave(id: &str, text: &[u8]) -> Result<Incarnation, String> {
    let leave = if text.is_empty() {
        Leave::default()
    } else {
        serde_json::from_slice(text).map_err(|e| format!("the message can't be read: {e}"))?
    };
    Ok(Incarnation {
        id: id.to_string(),
        born_ms: leave.born,
    })
}

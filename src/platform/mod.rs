//! Converts the platform's messages to and from the crate's own types. Other modules don't depend on
//! the formats of these messages.

pub mod api;
pub mod config;
mod evacuation;
pub mod grant_client;
pub mod headers;
pub mod registration;

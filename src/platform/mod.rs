//! Converts the platform's messages to and from the crate's own types. The formats of these messages are
//! only known in this module.

pub mod api;
pub mod config;
pub mod grant_client;
pub mod headers;
pub mod registration;

//! The platform's messages, translated into the product's types and back. Nothing outside this
//! folder knows how they are spelled.

pub mod api;
pub mod config;
pub mod grant_client;
pub mod headers;
pub mod registration;

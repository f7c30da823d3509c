//! Simulated dependencies of ebonyspread (the platform, model engines and plain HTTP services) and
//! a load generator that verifies every response. Used only by the tests, the demo and the
//! measurements.

pub mod engine;
pub mod load;
pub mod platform;
pub mod service;
pub mod text;

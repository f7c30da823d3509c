//! Stand-ins for the systems that ebonyspread meets: the platform, model engines and plain
//! services; and a load tool that checks every answer. They serve tests and the demo only.

pub mod engine;
pub mod load;
pub mod platform;
pub mod service;
pub mod text;

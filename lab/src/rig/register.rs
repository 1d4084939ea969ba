//! The register's wire, as the gateway has it: the rig's tests drive participants through the very same code.

pub use switchhill::net::agreement::{drive, Wire};

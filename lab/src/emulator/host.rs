//! Machines of the emulated deployment, by role.

use std::fmt;

/// A machine, or the operator who calls from outside.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Host {
    /// A core machine; a replacement has a number of its own.
    Core(usize),
    /// An edge machine, with an agent and a data plane.
    Edge(usize),
    /// A place for a worker; its incarnations follow one another.
    Worker(usize),
    /// The operator.
    Operator,
}

impl Host {
    /// Whether this is a core machine.
    pub fn is_core(self) -> bool {
        matches!(self, Host::Core(_))
    }

    /// Address at which the other machines reach this one.
    pub fn address(self) -> String {
        match self {
            Host::Core(number) => format!("10.0.0.{}:7000", number + 1),
            Host::Edge(number) => format!("10.0.1.{}:7000", number + 1),
            Host::Worker(number) => format!("10.0.2.{}:8080", number + 1),
            Host::Operator => "10.0.3.1:9000".to_owned(),
        }
    }
}

impl fmt::Display for Host {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Host::Core(number) => write!(f, "core-{number}"),
            Host::Edge(number) => write!(f, "edge-{number}"),
            Host::Worker(number) => write!(f, "worker-{number}"),
            Host::Operator => write!(f, "operator"),
        }
    }
}

//! Broken invariants.

use std::fmt;

/// What has to hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Invariant {
    /// A request that was read whole gets a whole answer, also around planned work.
    Lost,
    /// A request in calm surroundings is answered by its deadline.
    Unanswered,
    /// A gatekeeper fails no request in calm surroundings before its deadline.
    Failed,
    /// What may not be repeated runs at most once.
    Twice,
    /// What may not be repeated and was refused has not run and never runs.
    Refused,
    /// An answer is that of the worker to this request, whole and each event once.
    Mixed,
    /// A gatekeeper that ends says when to come back.
    RefusalWithoutAdvice,
    /// A gatekeeper that ends refuses at once what it will not send.
    RefusedLate,
    /// An acknowledged configuration is in force in time, and no machine goes back.
    Configuration,
    /// No process ends by itself.
    ProcessEnd,
    /// No log holds an error, a panic or a violated invariant.
    Log,
    /// Requests are served again soon after the last trouble.
    Recovery,
}

impl fmt::Display for Invariant {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = match self {
            Invariant::Lost => "LOST",
            Invariant::Unanswered => "UNANSWERED",
            Invariant::Failed => "FAILED",
            Invariant::Twice => "TWICE",
            Invariant::Refused => "REFUSED",
            Invariant::Mixed => "MIXED",
            Invariant::RefusalWithoutAdvice => "REFUSAL-WITHOUT-ADVICE",
            Invariant::RefusedLate => "REFUSED-LATE",
            Invariant::Configuration => "CONFIGURATION",
            Invariant::ProcessEnd => "PROCESS-END",
            Invariant::Log => "LOG",
            Invariant::Recovery => "RECOVERY",
        };
        out.write_str(name)
    }
}

/// One case in which an invariant was broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// What was broken.
    pub invariant: Invariant,
    /// How, with all times that matter.
    pub story: String,
}

impl Finding {
    /// A case.
    pub fn new(invariant: Invariant, story: impl Into<String>) -> Finding {
        Finding { invariant, story: story.into() }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}: {}", self.invariant, self.story)
    }
}

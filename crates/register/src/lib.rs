//! Compare-and-swap register over replicas: ballots, two quorum rounds, reconfiguration, read repair.

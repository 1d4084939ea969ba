//! Internal messages between the programs and their framing.

//! Append-only file of checksummed records, rewritten when long.

//! The operator's configuration: reading, checking, changes, differences, numbered result codes.

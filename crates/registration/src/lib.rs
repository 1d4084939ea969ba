//! Workers: instances, heartbeats by sequence, draining, gone, suspected.

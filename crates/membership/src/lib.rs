//! Members of the core: heartbeats, who is heard both ways, quorum contact, roles by agreed order.

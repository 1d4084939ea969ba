//! Which worker holds which model and adapter: orders, their fencing, the store rate.

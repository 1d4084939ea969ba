//! Smoothed price of a route and the admission test.

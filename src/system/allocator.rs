//! What the allocator of the C library does with memory that the program has freed.
//!
//! Without settings it raises the size from which a block is mapped by itself to that of the largest block ever freed. Later
//! ones of that size come from the heap and leave holes there that slightly larger ones do not fit into: a configuration that
//! grows would hold several times its size.
#![allow(unsafe_code)]

/// Size in bytes from which a block is mapped by itself, and unmapped when it is freed.
const MAPPED_FROM_BYTES: libc::c_int = 256 << 10;

/// Free bytes at the end of the heap that are kept for the next use.
const KEPT_AT_END_BYTES: libc::c_int = 1 << 20;

/// Sets the allocator up. Called once, at the start of a process.
#[cfg(target_env = "gnu")]
pub(crate) fn set_up() {
    // SAFETY: `mallopt` takes any values, and no other thread runs yet.
    let is_set = unsafe {
        libc::mallopt(libc::M_MMAP_THRESHOLD, MAPPED_FROM_BYTES) == 1
            && libc::mallopt(libc::M_TRIM_THRESHOLD, KEPT_AT_END_BYTES) == 1
    };
    if !is_set {
        log::debug!("the allocator has refused its settings");
    }
}

/// Returns free memory of the heap to the system, also from between blocks in use.
#[cfg(target_env = "gnu")]
pub(crate) fn return_free_memory() {
    // SAFETY: `malloc_trim` takes the allocator's own locks and touches no block in use.
    unsafe { libc::malloc_trim(0) };
}

/// Another C library: nothing is set.
#[cfg(not(target_env = "gnu"))]
pub(crate) fn set_up() {}

/// Another C library: nothing is returned.
#[cfg(not(target_env = "gnu"))]
pub(crate) fn return_free_memory() {}

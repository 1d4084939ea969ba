//! Counters since the admission queue was created.

macro_rules! counters {
    ($($(#[doc = $doc:literal])* $name:ident),* $(,)?) => {
        /// Counters since the admission queue was created. The metrics use the field names.
        #[derive(Debug, Clone, Default, PartialEq, Eq)]
        pub struct Counters { $($(#[doc = $doc])* pub $name: u64),* }

        impl Counters {
            /// Names and values of all counters.
            #[must_use]
            pub fn entries(&self) -> Vec<(&'static str, u64)> {
                vec![$((stringify!($name), self.$name)),*]
            }
        }
    };
}

counters! {
    /// Streams admitted at once.
    passed,
    /// Streams queued.
    held,
    /// Streams dispatched after having been queued.
    handed_on,
    /// Streams whose client disconnected while they were queued.
    left,
    /// Refused on arrival: the subscriber has reached its limit of queued requests.
    refused_subscriber,
    /// Refused on arrival: the expected wait was too long.
    refused_wait,
    /// Refused because the queue was full, or evicted in favor of a shorter flow.
    refused_room,
    /// Refused on arrival: descriptors or memory were low.
    refused_scarce,
    /// Refused after the maximum time in the queue.
    refused_overdue,
    /// Refused after dispatch for lack of capacity, and given an appointment.
    refused_behind,
    /// Appointments made.
    appointments,
    /// Refused without an appointment: the subscriber has reached its limit of pending ones.
    booked_enough,
    /// Refused without an appointment: the slot table was full.
    book_full,
    /// Appointments that did not fit into the table of pending ones; their tickets are still valid.
    appointments_unnoted,
    /// Appointments redeemed.
    kept,
    /// Redeemed appointments dispatched within 500 ms of their time, or of the arrival if that was later.
    met,
    /// Redeemed appointments dispatched later or not at all.
    missed,
    /// Tickets accepted.
    tickets_kept,
    /// Tickets with an unknown format.
    tickets_malformed,
    /// Tickets whose signature matches no key.
    tickets_forged,
    /// Tickets presented too early or too late.
    tickets_untimely,
    /// Tickets issued to another subscriber or for another class.
    tickets_foreign,
    /// Tickets that were used before.
    tickets_replayed,
    /// Tickets rejected because the replay cache was full.
    tickets_no_room,
}

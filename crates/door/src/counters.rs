//! Counts since the start.

macro_rules! figures {
    ($($(#[doc = $doc:literal])* $name:ident),* $(,)?) => {
        /// What the door has counted since its start.
        #[derive(Debug, Clone, Default, PartialEq, Eq)]
        pub struct Counters { $($(#[doc = $doc])* pub $name: u64),* }

        impl Counters {
            /// Names and values.
            #[must_use]
            pub fn entries(&self) -> Vec<(&'static str, u64)> {
                vec![$((stringify!($name), self.$name)),*]
            }
        }
    };
}

figures! {
    /// Streams that passed at once.
    passed,
    /// Streams that were held.
    held,
    /// Streams handed on after having been held.
    handed_on,
    /// Streams whose client left while they were held.
    left,
    /// Refused on arrival: the subscriber has as much waiting as it may.
    refused_subscriber,
    /// Refused on arrival: the wait would have been too long.
    refused_wait,
    /// Refused: no place, or pushed out by one of a shorter queue.
    refused_room,
    /// Refused on arrival: descriptors or memory were short.
    refused_scarce,
    /// Refused after having been held as long as it may.
    refused_overdue,
    /// Refused behind the door for want of room, and given an appointment here.
    refused_behind,
    /// Appointments given.
    appointments,
    /// Refused without one: the subscriber has as many as it may have waiting.
    booked_enough,
    /// Refused without one: the book was full.
    book_full,
    /// Appointments that could not be remembered here; a ticket still counts.
    appointments_unnoted,
    /// Clients that came back when told.
    kept,
    /// Those handed on within 500 ms of the time told, or of their coming where that was later.
    met,
    /// Those handed on later, or not at all.
    missed,
    /// Tickets honoured.
    tickets_kept,
    /// Tickets in no form that is known.
    tickets_malformed,
    /// Tickets that no key has signed.
    tickets_forged,
    /// Tickets before their time or after it.
    tickets_untimely,
    /// Tickets of another subscriber or class.
    tickets_foreign,
    /// Tickets used before.
    tickets_replayed,
    /// Tickets that could not be remembered and were not honoured.
    tickets_no_room,
}

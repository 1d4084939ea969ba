//! The two sides of the desk through all their interleavings. Waits never time out there, so a wake-up that is lost is a
//! deadlock, which the run reports.

use super::*;
use shuttle::thread;
use std::panic::catch_unwind;

const HOST: &str = "host-1";

fn listing(revision: u64) -> Listing {
    Listing { stamp: (1, revision), ..Listing::default() }
}

/// How the thread rests after a round.
type Rest = fn(&Desk, &Asked);

/// What the thread has seen of what the loop asked.
#[derive(Debug, Default, Clone, PartialEq)]
struct Seen {
    offers: Vec<Vec<u8>>,
    listing: Option<Listing>,
    wishes: CordonRequests,
}

/// The rounds of the thread: it looks, and rests, until it has seen all or is to end.
fn keep(desk: &Desk, rest: impl Fn(&Desk, &Asked), is_all: impl Fn(&Seen) -> bool) -> Seen {
    let mut seen = Seen::default();
    while let Some(mut asked) = desk.take() {
        seen.offers.extend(asked.offer.take());
        seen.listing = asked.listing.as_deref().cloned();
        seen.wishes.clone_from(&asked.wishes);
        if is_all(&seen) {
            break;
        }
        rest(desk, &asked);
    }
    seen
}

fn rest(desk: &Desk, asked: &Asked) {
    desk.rest(Duration::from_secs(1), (&asked.listing, &asked.wishes));
}

/// The planted fault: it sleeps until it is woken, whatever was asked since it looked.
fn rest_without_looking(desk: &Desk, _: &Asked) {
    drop(desk.asked.wait(desk.slots()));
}

/// The loop asks, the thread looks until it has seen it, whatever the interleaving.
fn is_seen(rest: Rest, ask: fn(&Desk), is_all: fn(&Seen) -> bool) -> Seen {
    let desk = Arc::new(Desk::new(vec![0]));
    let other = desk.clone();
    let thread = thread::spawn(move || keep(&other, rest, is_all));
    ask(&desk);
    thread.join().expect("no panic")
}

/// Of two offers the last one is seen, and none after it.
fn the_last_offer_is_seen(rest: Rest) {
    let ask = |desk: &Desk| {
        desk.offer(vec![1]);
        desk.offer(vec![2]);
    };
    let seen = is_seen(rest, ask, |seen| seen.offers.last() == Some(&vec![2]));
    assert!(seen.offers == [vec![1], vec![2]] || seen.offers == [vec![2]], "{seen:?}");
}

fn a_listing_is_seen(rest: Rest) {
    is_seen(rest, |desk| desk.list(listing(7)), |seen| seen.listing == Some(listing(7)));
}

fn a_wish_is_seen(rest: Rest) {
    is_seen(rest, |desk| assert!(desk.wish(HOST, true)), |seen| seen.wishes.get(HOST) == Some(&true));
}

/// The thread ends when it is told to, whatever the interleaving.
fn it_ends(rest: Rest) {
    let desk = Arc::new(Desk::new(vec![0]));
    let other = desk.clone();
    let thread = thread::spawn(move || keep(&other, rest, |_| false));
    desk.offer(vec![1]);
    desk.leave();
    let seen = thread.join().expect("no panic");
    assert!(seen.offers.len() <= 1, "{seen:?}");
}

const RUNS: [fn(Rest); 4] = [the_last_offer_is_seen, a_listing_is_seen, a_wish_is_seen, it_ends];

#[test]
fn nothing_that_the_loop_asks_is_slept_over_in_any_interleaving() {
    RUNS.iter().for_each(|run| shuttle::check_dfs(move || run(rest), None));
}

#[test]
fn a_wish_that_is_met_meanwhile_is_not_lost_in_any_interleaving() {
    // The loop wishes while the thread takes away what is met: only the met one goes.
    shuttle::check_dfs(
        || {
            let desk = Arc::new(Desk::new(vec![0]));
            assert!(desk.wish("met", true));
            let other = desk.clone();
            let thread = thread::spawn(move || {
                other.keep_wishes(|wishes| wishes.into_iter().filter(|(host, _)| host != "met").collect());
            });
            assert!(desk.wish(HOST, true));
            thread.join().expect("no panic");
            assert_eq!(desk.wishes().into_keys().collect::<Vec<_>>(), [HOST]);
        },
        None,
    );
}

#[test]
fn planted_sleep_over_what_was_asked_is_noticed() {
    for run in RUNS {
        assert!(catch_unwind(|| shuttle::check_dfs(move || run(rest_without_looking), None)).is_err());
    }
}

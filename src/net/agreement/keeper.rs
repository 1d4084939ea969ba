//! The thread: the registers' reads and proposals, and the members' renewals, one blocking call at a time.

use super::desk::{Asked, Desk};
use super::link::Link;
use super::view::View;
use super::wire::Wire;
use super::{held, REGISTERS};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use switchhill_agreement::hosts::{compose, pending_requests, CordonRequests, Hosts};
use switchhill_agreement::{digest, Action, Members, Ms, Register, Settings};
use switchhill_recovery::staggered_start;

/// The first words of gateways that start together are spread over this long.
const SPREAD: Ms = 500;
/// The longest that the thread rests when there is nothing to do; what the loop asks wakes it.
const LONGEST_REST: Ms = 100;

/// Carries out the next thing `register` asks at `now` (milliseconds of `clock`), telling it the answer; false when
/// there was nothing to do. One at a time, so that a caller looks at what it acts on between two blocking calls.
pub fn drive(register: &mut Register, wire: &mut Wire, clock: impl Fn() -> Ms, announce_ms: Ms) -> bool {
    let Some(action) = register.poll_action(clock()) else { return false };
    match action {
        Action::Read { sent } => match wire.read() {
            Ok(answer) => register.read(clock(), sent, answer),
            Err(_) => register.read_failed(clock(), sent),
        },
        Action::Propose { version, expected } => {
            let outcome = wire.propose(version, expected, announce_ms);
            register.proposal_finished(clock(), outcome);
        }
        Action::Restore { version, settle_ms } => {
            wire.restore(version, settle_ms);
        }
    }
    true
}

/// The thread: the registers' reads and proposals, and the members' renewals, one call at a time.
pub(super) fn keep(
    (store, prefix, id): (std::net::SocketAddr, &str, &str),
    settings: Settings,
    (number, seed): ((u32, u32), u64),
    start: Instant,
    desk: &Desk,
    told: &Mutex<Arc<View>>,
) {
    let clock = || start.elapsed().as_millis() as Ms;
    let timeout = Duration::from_millis(settings.read_timeout_ms);
    let link = Link::new(store, timeout, seed, staggered_start(SPREAD, number.0, number.1, seed));
    let mut registers = [Register::new(settings, clock()), Register::new(settings, clock())];
    let mut wires = [
        Wire::over(link.clone(), prefix, REGISTERS[0], |_| true),
        Wire::over(link, prefix, REGISTERS[1], |bytes| Hosts::parse(bytes).is_ok()),
    ];
    let mut members = Members::new(settings, id);
    let mut next_listing = clock();
    let mut view = View::default();
    let mut composed_from = (None, false, None, CordonRequests::new());
    loop {
        let Some(Asked { offer, first, listing, mut wishes }) = desk.take() else {
            wires[0].leave(id);
            return;
        };
        if let Some(content) = first {
            let digest = digest(&content);
            wires[0].offered.insert(digest, content);
            registers[0].propose_initial(digest);
        }
        if let Some(content) = offer {
            want(&mut registers[0], &mut wires[0], Some(content));
        }
        let newest = view.hosts.content(registers[1].highest()).cloned();
        if !wishes.is_empty() {
            wishes = pending_requests(newest.as_deref(), wishes);
            desk.keep_wishes(|wishes| pending_requests(newest.as_deref(), wishes));
        }
        let from = (registers[1].highest(), newest.is_some(), listing.clone(), wishes.clone());
        if from != composed_from {
            // Without the newest content nothing is composed: it would undo what that content says.
            let knows = newest.is_some() || registers[1].highest().is_none();
            let next = knows.then(|| compose(newest.as_deref(), listing.as_deref(), &wishes)).flatten();
            want(&mut registers[1], &mut wires[1], next.map(|hosts| hosts.encode()));
        }
        composed_from = from;
        // Danger: what one blocking call has confirmed must not wait for the next one to be published: the loop would
        // take a lease for run out that was renewed.
        let mut publish = |registers: &[Register; 2], wires: &[Wire; 2], members: &Members| {
            view = View {
                settings: view.settings.next(&registers[0], &wires[0], |bytes| Some(bytes.clone())),
                hosts: view
                    .hosts
                    .next(&registers[1], &wires[1], |bytes| Hosts::parse(bytes).ok().map(Arc::new)),
                members: Some(members.view(clock())),
            };
            *held(told) = Arc::new(view.clone());
        };
        let mut busy = false;
        for n in 0..registers.len() {
            busy |= drive(&mut registers[n], &mut wires[n], clock, settings.announce_ms);
            publish(&registers, &wires, &members);
        }
        if clock() >= next_listing {
            let sent = clock();
            next_listing = sent + settings.period_ms;
            if let Ok(listed) = wires[0].members(id, settings.lease_ms) {
                members.record_listing(clock(), sent, listed);
            }
            publish(&registers, &wires, &members);
        }
        if !busy {
            let due = registers.iter().map(Register::next_due).fold(next_listing, Ms::min);
            let rest = Duration::from_millis(due.saturating_sub(clock()).clamp(1, LONGEST_REST));
            desk.rest(rest, (&composed_from.2, &composed_from.3));
        }
    }
}

/// Makes `content` what the register is to propose, or nothing.
fn want(register: &mut Register, wire: &mut Wire, content: Option<Vec<u8>>) {
    let Some(content) = content else { return register.withdraw() };
    let digest = digest(&content);
    if !wire.offered.contains_key(&digest) {
        wire.offered.clear();
        wire.offered.insert(digest, content);
    }
    register.propose(digest);
}

use crate::sim::{Store, Wire};
use crate::*;
use proptest::prelude::*;
use rstest::rstest;

const PERIOD: Ms = 1000.0;
const TIMEOUT: Ms = 200.0;

fn told(gateways: u32, ordinal: u32) -> Told {
    let seed = u64::from(ordinal) + 7;
    let (addresses, auth, resp3) = (1, None, false);
    Told {
        prefix: "p".into(),
        timeout: TIMEOUT,
        period: PERIOD,
        gateways,
        ordinal,
        seed,
        addresses,
        auth,
        resp3,
    }
}

fn client(gateways: u32, ordinal: u32, now: Ms) -> Client {
    Client::new(told(gateways, ordinal), now)
}

fn sent(customer: u64, units: f64) -> Sent {
    Sent::from([(customer, (units, 4.0))])
}

#[test]
fn what_is_sent_on_is_added_to_its_period_and_read_once_after_its_end() {
    let (mut client, mut store, mut wire) = (client(1, 0, 0.0), Store::default(), Wire::default());
    let mut now = 0.0;
    while now < 9000.0 {
        now = client.next(now);
        let at_work = (5000.0..6000.0).contains(&now);
        let act = client.turn(now, if at_work { sent(7, 1.0) } else { Sent::new() });
        wire.carry(&mut client, now, act, false);
        wire.pass(&mut client, &mut store, now);
    }
    assert_eq!(
        (store.total(4, 7), store.total(5, 7)),
        (1.0, 4.0),
        "what a turn brings is of the period before it"
    );
    let busy: Vec<f64> = wire.used.iter().filter(|(c, p)| *c == 7 && *p > 0.0).map(|u| u.1).collect();
    assert_eq!(busy, [25.0, 100.0], "{:?}", wire.used);
    assert_eq!(client.state(), State::Sound);
}

#[test]
fn a_batch_whose_answer_is_lost_is_asked_for_and_not_guessed() {
    for executed in [true, false] {
        let (mut client, mut store, mut wire) = (client(1, 0, 0.0), Store::default(), Wire::default());
        for now in [600.0, 850.0] {
            let act = client.turn(now, Sent::new());
            wire.carry(&mut client, now, act, false);
            wire.pass(&mut client, &mut store, now);
        }
        let act = client.turn(1100.0, sent(7, 2.0));
        wire.carry(&mut client, 1100.0, act, false);
        if executed {
            wire.arrive(&mut store);
        } else {
            wire.pending.clear();
        }
        let mut act = vec![];
        client.dropped(1110.0, &mut act);
        wire.give_up();
        for n in 0..20 {
            let now = 1200.0 + 40.0 * f64::from(n);
            let act = client.turn(now, Sent::new());
            wire.carry(&mut client, now, act, false);
            wire.pass(&mut client, &mut store, now);
        }
        assert_eq!(store.total(0, 7) + store.total(1, 7), 2.0, "executed {executed}");
        assert_eq!(client.untold(), 0.0);
    }
}

#[test]
fn a_batch_of_an_older_connection_that_arrives_late_is_not_counted() {
    let (mut client, mut store, mut wire) = (client(1, 0, 0.0), Store::default(), Wire::default());
    for now in [600.0, 850.0, 1310.0] {
        let act = client.turn(now, Sent::new());
        wire.carry(&mut client, now, act, false);
        wire.pass(&mut client, &mut store, now);
    }
    let act = client.turn(1500.0, sent(7, 2.0));
    wire.carry(&mut client, 1500.0, act, false);
    let act = client.turn(1750.0, Sent::new());
    assert!(act.contains(&Action::Close), "silence past the time-out");
    wire.carry(&mut client, 1750.0, act, false);
    assert_eq!(wire.late.len(), 1);
    for n in 0..20 {
        let now = 1770.0 + 10.0 * f64::from(n);
        let act = client.turn(now, Sent::new());
        wire.carry(&mut client, now, act, false);
        wire.pass(&mut client, &mut store, now);
    }
    let before = store.total(0, 7) + store.total(1, 7);
    wire.arrive_late(&mut store);
    assert_eq!((before, store.total(0, 7) + store.total(1, 7)), (2.0, 2.0));
}

#[test]
fn a_store_that_came_back_empty_is_told_again_and_one_from_before_is_another() {
    for older in [false, true] {
        let (mut client, mut store, mut wire) = (client(1, 0, 50_000.0), Store::default(), Wire::default());
        for n in 0..8 {
            let now = 50_600.0 + 250.0 * f64::from(n);
            let act = client.turn(now, sent(7, 1.0));
            wire.carry(&mut client, now, act, false);
            wire.pass(&mut client, &mut store, now);
        }
        assert_eq!((wire.lost, store.total(52, 7)), (0, 1.0));
        store.empty();
        if older {
            store.set("p:life", format!("{:016x}-{:x}", 1, 40_000));
        }
        for n in 0..8 {
            let now = 52_610.0 + 40.0 * f64::from(n);
            let act = client.turn(now, if n == 0 { sent(7, 1.0) } else { Sent::new() });
            wire.carry(&mut client, now, act, false);
            wire.pass(&mut client, &mut store, now);
        }
        assert_eq!((wire.lost, store.total(52, 7)), (1, 2.0), "older {older}");
        assert_eq!(client.state(), if older { State::Replaced } else { State::Forgetful });
    }
}

#[test]
fn whose_mark_is_missing_counts_as_granting_its_floor_and_one_that_is_gone_for_a_minute_does_not() {
    let mut store = Store::default();
    let mut clients: Vec<Client> = (0..4).map(|n| client(4, n, 0.0)).collect();
    let mut wires: Vec<Wire> = (0..4).map(|_| Wire::default()).collect();
    let mut step = |now: Ms, cut: &[usize], store: &mut Store| {
        for n in (0..4).filter(|n| !cut.contains(n)) {
            let units = if now as i64 % 250 == 0 { 0.25 } else { 0.0 };
            let act = clients[n].turn(now, sent(7, units));
            wires[n].carry(&mut clients[n], now, act, false);
            wires[n].pass(&mut clients[n], store, now);
        }
        let used = wires[0].used.drain(..).next_back().map(|(_, percent)| percent.round());
        (used, clients[0].state())
    };
    let mut run = |from: i64, to: i64, cut: &[usize], store: &mut Store| {
        let mut last = (None, State::Sound);
        for n in from * 20..to * 20 {
            let (used, state) = step(n as Ms * 50.0, cut, store);
            last = (used.or(last.0), state);
        }
        last
    };
    assert_eq!(run(0, 10, &[], &mut store), (Some(100.0), State::Sound));
    let (used, state) = run(10, 20, &[3], &mut store);
    assert_eq!((used, state), (Some(100.0), State::Split), "three quarters used, and one gateway's floor");
    assert_eq!(run(20, 90, &[3], &mut store), (Some(75.0), State::Sound));
}

#[test]
fn a_total_that_was_lost_alone_is_told_again_and_its_key_lives_no_longer_than_others() {
    let (mut client, mut store, mut wire) = (client(1, 0, 0.0), Store::default(), Wire::default());
    for now in [600.0, 850.0, 1310.0, 1400.0] {
        let act = client.turn(now, if now == 1400.0 { sent(7, 3.0) } else { Sent::new() });
        wire.carry(&mut client, now, act, false);
        wire.pass(&mut client, &mut store, now);
    }
    assert_eq!(store.total(1, 7), 3.0);
    store.values.remove("p:1:7");
    store.expiring.clear();
    for (now, units) in [(1450.0, 1.0), (1500.0, 0.0), (1550.0, 0.0)] {
        let act = client.turn(now, if units > 0.0 { sent(7, units) } else { Sent::new() });
        wire.carry(&mut client, now, act, false);
        wire.pass(&mut client, &mut store, now);
    }
    assert_eq!((store.total(1, 7), client.state(), wire.lost), (4.0, State::Forgetful, 0));
    assert!(store.expiring.contains("p:1:7"));
}

#[test]
fn a_gateway_whose_clock_is_late_is_waited_for_and_not_taken_for_missing() {
    let mut store = Store::default();
    let mut clients: Vec<Client> = (0..2).map(|n| client(2, n, 0.0)).collect();
    let mut wires: Vec<Wire> = (0..2).map(|_| Wire::default()).collect();
    for step in 0..800 {
        for (n, late) in [(0, 0.0), (1, 350.0)] {
            let now = f64::from(step) * 25.0 - late;
            let units = if step % 10 == 0 { 0.5 } else { 0.0 };
            let act = clients[n].turn(now.max(0.0), sent(7, units));
            wires[n].carry(&mut clients[n], now.max(0.0), act, false);
            wires[n].pass(&mut clients[n], &mut store, now.max(0.0));
        }
    }
    assert!(wires[0].turned.is_empty(), "{:?}", wires[0].turned);
    let late: Vec<f64> = wires[0].used.iter().rev().take(8).map(|(_, percent)| percent.round()).collect();
    assert!(late.iter().all(|percent| *percent == 100.0), "{late:?}");
}

/// Drives a client by hand: connects, and gives each of `replies` to the oldest command that is out.
fn hail(told: Told, replies: &[Reply]) -> (Client, Vec<Action>) {
    let mut client = Client::new(told, 0.0);
    let mut all = client.turn(600.0, Sent::new());
    all.extend(client.connected(601.0));
    for reply in replies {
        all.extend(client.reply(602.0, reply.clone()));
    }
    (client, all)
}

fn written(act: &[Action]) -> Vec<String> {
    let all = act.iter().filter_map(|a| if let Action::Write(commands) = a { Some(commands) } else { None });
    all.flatten().map(|command| command[..command.len().min(3)].join(" ")).collect()
}

#[rstest]
#[case::version_3(true, &[Reply::Many(vec![])], &["HELLO 3 AUTH", "SET p:life"], Some(3))]
#[case::unknown(true, &[Reply::Error("ERR unknown command 'HELLO'".into()), Reply::Text("OK".into())],
    &["HELLO 3 AUTH", "AUTH ann secret", "SET p:life"], Some(2))]
#[case::no_such_version(true, &[Reply::Error("NOPROTO unsupported".into()), Reply::Text("OK".into())],
    &["HELLO 3 AUTH", "AUTH ann secret", "SET p:life"], Some(2))]
#[case::version_2(false, &[Reply::Text("OK".into())], &["AUTH ann secret", "SET p:life"], Some(2))]
fn a_store_is_told_who_comes_before_anything_is_said(
    #[case] resp3: bool,
    #[case] replies: &[Reply],
    #[case] said: &[&str],
    #[case] version: Option<u8>,
) {
    let auth = Some(("ann".into(), "secret".into()));
    let (_, act) = hail(Told { resp3, auth, ..told(1, 0) }, replies);
    let found = written(&act);
    assert_eq!(found.len(), said.len() + 3, "{found:?}");
    assert!(found.iter().zip(said).all(|(found, said)| found.starts_with(said)), "{found:?}");
    let spoken = act.iter().rev().find_map(|a| if let Action::Speak(v) = a { Some(*v) } else { None });
    assert_eq!(spoken, version);
}

#[test]
fn a_user_who_is_not_let_in_says_nothing_more_and_tries_again_later() {
    let auth = Some(("ann".into(), "wrong".into()));
    let wrong = Reply::Error("WRONGPASS invalid username-password pair or user is disabled.".into());
    let (client, act) = hail(Told { auth, ..told(1, 0) }, &[wrong]);
    assert_eq!(written(&act), ["AUTH ann wrong"]);
    assert!(act.contains(&Action::Close) && client.state() == State::Silent && !client.is_reached());
}

#[test]
fn a_replica_is_left_for_the_next_address() {
    let ok = Reply::Text("OK".into());
    let replica = Reply::Error("READONLY You can't write against a read only replica.".into());
    let (mut client, act) = hail(Told { addresses: 2, ..told(1, 0) }, std::slice::from_ref(&replica));
    assert!(act.contains(&Action::Connect(0)) && act.contains(&Action::Close));
    assert!(client.turn(700.0, Sent::new()).contains(&Action::Connect(1)));
    client.connected(701.0);
    // With one address there is nowhere else to go.
    let (_, act) = hail(told(1, 0), &[replica, ok]);
    assert!(!act.contains(&Action::Close));
}

#[rstest]
#[case::late_once(&[(0.0, 150.0), (1.0, 10.0)], State::Sound)]
#[case::late_twice(&[(0.0, 150.0), (1.0, 150.0)], State::Slow)]
#[case::late_and_better(&[(0.0, 150.0), (1.0, 150.0), (900.0, 10.0)], State::Slow)]
#[case::better_for_long(&[(0.0, 150.0), (1.0, 150.0), (2500.0, 10.0)], State::Sound)]
fn a_link_is_slow_by_more_than_one_answer_and_sound_by_more_than_one(
    #[case] answers: &[(Ms, Ms)],
    #[case] state: State,
) {
    let mut link = crate::link::Link::new(2.0 * PERIOD, 0.0);
    for (at, took) in answers {
        link.answered(*at, *took, TIMEOUT);
        link.look(*at);
    }
    assert_eq!(link.state(), state);
}

#[test]
fn a_worse_state_is_taken_at_once_and_the_next_worst_is_told_when_it_is_over() {
    let mut link = crate::link::Link::new(100.0, 0.0);
    link.sign(0.0, State::Split, 0.0);
    link.sign(0.0, State::Refusing, 0.0);
    link.silent();
    let to = |turned: Option<Turned>| turned.map(|turned| turned.to);
    assert_eq!(to(link.look(0.0)), Some(State::Silent));
    assert_eq!(to(link.look(9_999.0)), None, "no time ends silence");
    link.sign(10_000.0, State::Split, 10_500.0);
    link.answered(10_000.0, 1.0, TIMEOUT);
    assert_eq!(to(link.look(10_000.0)), Some(State::Split));
    assert_eq!(to(link.look(10_499.0)), None);
    assert_eq!(link.look(10_500.0), Some(Turned { from: State::Split, to: State::Sound, lasted: 500.0 }));
}

#[test]
fn many_gateways_tell_a_lost_store_again_no_faster_than_all_may_together() {
    let mut account = crate::account::Account::new(PERIOD, 300, 5000.0);
    let parts: Sent = (0..40).map(|customer| (customer, (1.0, 4.0))).collect();
    account.turn(5250.0, parts);
    assert_eq!(account.batch().map(|batch| batch.adds.len()), Some(40));
    account.executed();
    account.lost(5500.0);
    let mut again = |times: usize| -> usize {
        (0..times)
            .map(|_| {
                let adds = account.batch().map_or(0, |batch| batch.adds.len());
                account.executed();
                adds
            })
            .sum()
    };
    assert_eq!(again(4), 1, "400 a second over 300 gateways, not one a batch each");
    assert_eq!(again(200), 39, "all of it in the end");
}

#[test]
fn a_batch_from_before_another_period_is_not_said_again() {
    let mut account = crate::account::Account::new(PERIOD, 2, 5000.0);
    account.turn(5250.0, sent(7, 2.0));
    assert_eq!(account.batch().map(|batch| batch.adds.len()), Some(1));
    account.retune(2.0 * PERIOD, 2, 5300.0);
    account.not_executed();
    assert_eq!((account.fence(), account.batch()), (Some(2), None), "shut out first");
    account.fenced(2);
    account.turn(5500.0, sent(7, 1.0));
    let batch = account.batch().expect("what came since");
    assert_eq!((batch.number, batch.adds[0].period, batch.adds[0].units), (3, 2, 1.0));
}

#[test]
fn the_bound_says_what_makes_it() {
    let plan = Plan { rate: 0.89, burst: 3.0, gateways: 5, period: 2000.0, timeout: 100.0 };
    let [lost, silent, split] = bounds(&plan);
    assert!((lost.units() - (1.78 + 0.3115)).abs() < 1e-9, "{lost:?}");
    assert!((silent.units() - (2.0 + 0.3115)).abs() < 1e-9, "{silent:?}");
    assert!(split.units() > silent.units() && split.terms.len() == 3);
    let alone = bounds(&Plan { gateways: 1, ..plan });
    assert!(alone[2].terms[0].1.abs() < 1e-9, "one gateway can hold no share beside its own");
}

/// What may happen to one gateway's wire.
#[derive(Clone, Copy, Debug)]
enum Step {
    Turn,
    Arrive,
    Answer,
    Drop,
    Late,
    Empty,
}

proptest! {
    /// Whatever is lost, late or emptied: once all is calm the store holds each unit once.
    #[test]
    fn every_unit_is_counted_once_whatever_the_wire_does(
        steps in prop::collection::vec((0..2usize, prop::sample::select(vec![
            Step::Turn, Step::Turn, Step::Arrive, Step::Arrive, Step::Answer, Step::Answer, Step::Drop, Step::Late, Step::Empty,
        ])), 1..120),
    ) {
        // One long period, so that nothing is dropped as too old to be asked for.
        let long = |ordinal| Told { timeout: 1e9, period: 1e9, ..told(2, ordinal) };
        let mut clients = [Client::new(long(0), 0.0), Client::new(long(1), 0.0)];
        let mut wires = [Wire::default(), Wire::default()];
        let (mut store, mut now, mut sent_on) = (Store::default(), 1000.0, 0.0);
        for (n, step) in steps {
            now += 40.0;
            let (client, wire) = (&mut clients[n], &mut wires[n]);
            match step {
                Step::Turn => {
                    sent_on += 1.0;
                    let act = client.turn(now, sent(7, 1.0));
                    wire.carry(client, now, act, false);
                }
                Step::Arrive => wire.arrive(&mut store),
                Step::Answer => wire.answer(client, now),
                Step::Drop if wire.open => {
                    wire.give_up();
                    client.dropped(now, &mut vec![]);
                }
                Step::Drop => {}
                Step::Late => wire.arrive_late(&mut store),
                Step::Empty => store.empty(),
            }
        }
        for n in 0..200 {
            now += 2100.0;
            for (client, wire) in clients.iter_mut().zip(&mut wires) {
                wire.arrive_late(&mut store);
                // A loss is found with the next word, which a period's end brings at the latest.
                let news = if n == 20 { sent(7, 1.0) } else { Sent::new() };
                sent_on += news.values().map(|(units, _)| units).sum::<f64>();
                let act = client.turn(now, news);
                wire.carry(client, now, act, false);
                wire.pass(client, &mut store, now);
            }
        }
        let untold: f64 = clients.iter().map(Client::untold).sum();
        prop_assert_eq!((store.total(0, 7), untold), (sent_on, 0.0));
    }
}

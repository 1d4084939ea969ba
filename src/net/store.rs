//! The shared store's socket in the loop, in RESP: `crates/store` decides what is said and what the answers mean.
//!
//! No stream ever waits for the store: without totals the module's readings grow old and its slices fall to their floor.

use super::poll::Interest;
use super::resp::{decode, encode};
use super::upstream::connect;
use super::{Conn, Due, Gateway};
use crate::core::Input;
use crate::interface::Millis;
use crate::memory::buffer::{Inbound, Outbound, ReadResult};
use crate::memory::pool::Token;
use crate::process::config::Store;
use std::net::{SocketAddr, TcpStream};
use switchhill_store::{Action, Client, State, Told};

/// Bytes of answers that may pile up.
const MOST_ANSWER: usize = 1024 * 1024;

/// The account that is kept with the shared store.
pub(super) struct Account {
    addresses: Vec<SocketAddr>,
    client: Client,
    token: Option<Token>,
}

/// The connection to the store.
pub(super) struct Link {
    socket: TcpStream,
    inbound: Inbound,
    outbound: Outbound,
    interest: Interest,
    connected: bool,
    /// Answers come in RESP3.
    resp3: bool,
}

impl Account {
    /// An account with the store, for one of so many gateways (their number and this one's) with its seed.
    pub(super) fn new(store: Store, period: Millis, now: Millis, number: (u32, u32), seed: u64) -> Self {
        let told = Told {
            prefix: store.prefix,
            timeout: store.timeout,
            period,
            gateways: number.0,
            ordinal: number.1,
            seed,
            addresses: store.addresses.len(),
            auth: store.auth,
            resp3: store.resp3,
        };
        Self { addresses: store.addresses, client: Client::new(told, now), token: None }
    }

    /// Whether the store has answered since the start.
    pub(super) fn is_reached(&self) -> bool {
        self.client.is_reached()
    }

    /// Other settings from now on.
    pub(super) fn retune(&mut self, period: Millis, gateways: u32, now: Millis) {
        self.client.retune(period, gateways, now);
    }

    /// The figure of how the link is.
    pub(super) fn figures(&self) -> String {
        format!("switchhill_store_state {}\n", self.client.state() as u8)
    }
}

impl Gateway {
    /// Writes what was sent on and reads what is due.
    pub(super) fn account_due(&mut self) {
        let Some(mut account) = self.account.take() else { return };
        let act = account.client.turn(self.now, self.core.take_sent_on());
        self.timers.push(account.client.next(self.now), Due::Account);
        let token = account.token;
        let mut link = token.and_then(|token| match self.slots.take(token) {
            Some(Conn::Store(link)) => Some(link),
            _ => None,
        });
        let mut kept = self.carry_out_store(&mut account, &mut link, act);
        if let (Some(token), Some(open)) = (token.filter(|_| kept), &mut link) {
            kept = self.write_store(token, open);
            if !kept {
                self.drop_store(&mut account, &mut link);
            }
        }
        self.account = Some(account);
        if let Some(token) = token {
            self.keep(token, link.filter(|_| kept).map(Conn::Store));
        }
    }

    /// Does what the client wants; false where the connection is to go.
    fn carry_out_store(&mut self, account: &mut Account, link: &mut Option<Link>, act: Vec<Action>) -> bool {
        let mut kept = true;
        for action in act {
            match action {
                Action::Connect(address) => self.open_store(account, address),
                Action::Close => {
                    if let Some(link) = link.take() {
                        self.poll.remove(&link.socket);
                    }
                    account.token = None;
                    kept = false;
                }
                Action::Speak(version) => {
                    if let Some(link) = link {
                        link.resp3 = version == 3;
                    }
                }
                Action::Write(commands) => {
                    self.core.counters.store_batches += 1;
                    if let Some(link) = link {
                        link.outbound.push(encode(commands));
                    }
                }
                Action::Use(customer, percent) => self.inputs.push(Input::Usage(customer, percent)),
                Action::Lost => {
                    self.core.counters.store_lives += 1;
                    tracing::warn!(
                        "the shared store has lost what it held: this gateway's part is added again"
                    );
                }
                Action::Turned(turned) => {
                    let (from, to, lasted) = (turned.from, turned.to, turned.lasted as u64);
                    if to == State::Sound {
                        tracing::info!(%from, %to, lasted_ms = lasted, "the shared store");
                    } else {
                        tracing::warn!(%from, %to, lasted_ms = lasted, "the shared store");
                    }
                }
                Action::Failed => self.core.counters.store_failures += 1,
            }
        }
        kept
    }

    fn open_store(&mut self, account: &mut Account, address: usize) {
        let token = self.slots.reserve();
        let interest = Interest { read: true, write: true };
        let socket = connect(account.addresses[address]);
        let added = socket.and_then(|socket| self.poll.add(&socket, token, interest).map(|()| socket));
        let Ok(socket) = added else {
            self.slots.release(token);
            let mut act = Vec::new();
            account.client.dropped(self.now, &mut act);
            self.carry_out_store(account, &mut None, act);
            return;
        };
        account.token = Some(token);
        let (inbound, outbound) = (Inbound::default(), Outbound::default());
        self.slots.put(
            token,
            Conn::Store(Link { socket, inbound, outbound, interest, connected: false, resp3: false }),
        );
    }

    /// The connection broke.
    fn drop_store(&mut self, account: &mut Account, link: &mut Option<Link>) {
        if let Some(link) = link.take() {
            self.poll.remove(&link.socket);
        }
        account.token = None;
        let mut act = Vec::new();
        account.client.dropped(self.now, &mut act);
        self.carry_out_store(account, link, act);
    }

    /// Handles an event; gives the connection back unless it is closed.
    pub(super) fn store_ready(&mut self, token: Token, link: Link, read: bool) -> Option<Link> {
        let mut account = self.account.take()?;
        let mut link = Some(link);
        if !self.exchange_with_store(token, &mut account, &mut link, read) {
            self.drop_store(&mut account, &mut link);
        }
        self.account = Some(account);
        link
    }

    /// False where the connection broke. One that the client closed is gone from `link`.
    fn exchange_with_store(
        &mut self,
        token: Token,
        account: &mut Account,
        link: &mut Option<Link>,
        read: bool,
    ) -> bool {
        let Some(open) = link else { return true };
        if !open.connected {
            if !matches!(open.socket.take_error(), Ok(None)) {
                return false;
            }
            open.connected = open.socket.peer_addr().is_ok();
            if !open.connected {
                return true;
            }
            let act = account.client.connected(self.now);
            self.carry_out_store(account, link, act);
        }
        let Some(open) = link else { return true };
        if read {
            loop {
                match open.inbound.read(&mut open.socket, &mut self.scratch) {
                    ReadResult::Data if open.inbound.bytes().len() <= MOST_ANSWER => {}
                    ReadResult::Blocked => break,
                    ReadResult::Data | ReadResult::Eof | ReadResult::Failed => return false,
                }
            }
            while let Some(open) = link {
                match decode(open.inbound.bytes(), open.resp3) {
                    Ok(Some((reply, used))) => {
                        open.inbound.consume(used);
                        let act = account.client.reply(self.now, reply);
                        self.carry_out_store(account, link, act);
                    }
                    Ok(None) => break,
                    Err(_) => return false,
                }
            }
        }
        link.as_mut().is_none_or(|open| self.write_store(token, open))
    }

    fn write_store(&mut self, token: Token, link: &mut Link) -> bool {
        if !link.connected {
            return true;
        }
        let Ok(done) = link.outbound.write(&mut link.socket) else { return false };
        let interest = Interest { read: true, write: !done };
        if interest == link.interest {
            return true;
        }
        link.interest = interest;
        self.poll.change(&link.socket, token, interest).is_ok()
    }
}

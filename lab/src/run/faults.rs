//! Carries out what a scenario does to gateways, upstream hosts and discovery while the load is played.

use super::files::{write_keys, GatewayFiles, KEYS};
use super::gateway::GatewayProcess;
use super::site::Site;
use crate::rig::faults::{Action, Rig};
use crate::scenario::{Spoil, Trouble};
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// An operator's call is answered within this.
const CALL_ANSWERED_WITHIN: Duration = Duration::from_secs(2);
/// The byte of a snapshot that names its format.
const SNAPSHOT_FORMAT: usize = 5;

impl Site {
    /// Carries out what the rig's plan has for a gateway.
    pub(super) async fn carry_out(&mut self, number: usize, action: Action) -> Result<(), String> {
        let gateway = &mut self.gateways[number];
        let Some(files) = gateway.files.clone() else { return Ok(()) };
        match action {
            Action::Stale(on) => self.discovery.go_back(on),
            Action::Spoil(how) => spoil_snapshot(&files, number, how)?,
            Action::Freeze => gateway.signal("-STOP"),
            Action::Wake => gateway.signal("-CONT"),
            Action::Kill => gateway.kill(),
            Action::Start => {
                if let Some(observer) = self.rig.as_ref().map(|rig| super::site::observer(rig, number)) {
                    gateway.restart(observer).await?;
                }
            }
            Action::File(meter) => {
                files.change(|config| config["settings"]["familyInfo"]["meterMs"] = json!(meter))?;
                gateway.signal("-HUP");
            }
            Action::CutFile => {
                files.truncate()?;
                gateway.signal("-HUP");
            }
            Action::Cordon(host, out) => cordon(gateway, number, host, out).await?,
        }
        Ok(())
    }

    /// Brings a trouble about that is not the rig's.
    pub(super) fn bring_about(&self, trouble: Trouble) -> Result<(), String> {
        match trouble {
            Trouble::Pause(number, _) | Trouble::Restart(number, _) => self.hosts[number].trouble(trouble),
            Trouble::Drain(number) => {
                self.hosts[number].trouble(trouble);
                self.discovery.drain(number);
            }
            Trouble::NewKey => {
                write_keys(&self.folder, &[KEYS[1], KEYS[0]])?;
                self.gateways.iter().for_each(|gateway| gateway.signal("-HUP"));
            }
            Trouble::Silent(count, seconds) => {
                for gateway in &self.gateways {
                    for _ in 0..count {
                        tokio::spawn(stay_silent(gateway.address, Duration::from_secs_f64(seconds)));
                    }
                }
            }
        }
        Ok(())
    }
}

fn spoil_snapshot(files: &GatewayFiles, number: usize, how: Spoil) -> Result<(), String> {
    let path = files.folder().join(Rig::snapshot(number));
    let mut bytes = std::fs::read(&path).map_err(|e| format!("{}: {e}", path.display()))?;
    match how {
        Spoil::Missing => return std::fs::remove_file(path).map_err(|e| e.to_string()),
        Spoil::Cut => bytes.truncate(bytes.len() / 2),
        Spoil::OldFormat => bytes[SNAPSHOT_FORMAT] = 0,
        Spoil::Foreign => {
            let other = files.folder().join(Rig::snapshot(number + 1));
            bytes = std::fs::read(other).map_err(|e| e.to_string())?;
        }
    }
    std::fs::write(path, bytes).map_err(|e| e.to_string())
}

/// An operator's call at a gateway that takes a host out or puts it back.
async fn cordon(gateway: &GatewayProcess, number: usize, host: usize, out: bool) -> Result<(), String> {
    let Some(control) = gateway.control else { return Ok(()) };
    let call = format!("{} box-{host}\n", if out { "cordon" } else { "uncordon" });
    let said = tokio::time::timeout(CALL_ANSWERED_WITHIN, call_operators(control, &call)).await;
    let said = said.ok().flatten();
    if said.as_ref().is_some_and(|text| text.starts_with("200")) {
        return Ok(());
    }
    Err(format!("gateway {number}: `{}` was answered {said:?}", call.trim()))
}

async fn call_operators(control: SocketAddr, call: &str) -> Option<String> {
    let mut socket = TcpStream::connect(control).await.ok()?;
    socket.write_all(call.as_bytes()).await.ok()?;
    let mut text = String::new();
    socket.read_to_string(&mut text).await.ok()?;
    Some(text)
}

/// A connection that says nothing: whatever is said to it is read.
async fn stay_silent(address: SocketAddr, span: Duration) {
    let Ok(mut socket) = TcpStream::connect(address).await else { return };
    let mut ignored = [0; 64];
    let read = async { while matches!(socket.read(&mut ignored).await, Ok(n) if n > 0) {} };
    let _ = tokio::time::timeout(span, read).await;
}

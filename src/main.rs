//! The gateway's program: reads its configuration and runs until it is told to stop.

use std::process::ExitCode;
use switchhill::net::Gateway;
use switchhill::process::config::Config;
use switchhill::process::signals::Signals;

fn run() -> Result<(), String> {
    let config = Config::from_environment()?;
    let signals = Signals::install().map_err(|e| format!("cannot take over signals: {e}"))?;
    let listen = config.listen;
    let mut gateway =
        Gateway::new(config, Some(signals)).map_err(|e| format!("cannot start on {listen}: {e}"))?;
    let address = gateway.address().map_err(|e| format!("no address: {e}"))?;
    eprintln!("listening on {address}");
    gateway.run().map_err(|e| format!("the loop failed: {e}"))?;
    eprint!("{}", gateway.counters());
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("switchhill: {message}");
            ExitCode::FAILURE
        }
    }
}

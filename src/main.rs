//! The gateway's program: reads its configuration and runs until it is told to stop.

use clap::{Parser, Subcommand};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use switchhill::net::Gateway;
use switchhill::process::config::{self, Config, Files};
use switchhill::process::logs::Logs;
use switchhill::process::signals::Signals;
use switchhill::process::store;
use switchhill::system::{self, command};

/// A gateway that keeps every customer's quota and decides at once what is worth sending on.
///
/// Without a command it serves, told by RELAY_CONFIG and SWITCHHILL_OPERATOR.
///
/// Exit codes: 0 all well, 1 it could not start or go on, 2 a bad command line or faults that `check` found.
#[derive(Parser)]
#[command(name = "switchhill", version, verbatim_doc_comment)]
struct Line {
    #[command(subcommand)]
    command: Option<Task>,
}

#[derive(Subcommand)]
enum Task {
    /// Runs the gateway until SIGTERM.
    Serve {
        /// The platform's configuration, in JSON [default: what RELAY_CONFIG names].
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
        /// The operator's file, in YAML or JSON [default: what SWITCHHILL_OPERATOR names, or none].
        #[arg(long, value_name = "FILE")]
        operator: Option<PathBuf>,
    },
    /// Reads files and prints every fault as `file:line: field: what is wrong`.
    Check {
        /// Configurations or operator's files, of the gateway or of the system; settings files of the system.
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
    },
    /// The shared store: its error stated beforehand, and how a running gateway finds it.
    Store {
        #[command(subcommand)]
        what: OfStore,
    },
}

#[derive(Subcommand)]
enum OfStore {
    /// Prints what each fault of the store may let through beyond a quota, by plan.
    Bound {
        /// The platform's configuration, in JSON [default: what RELAY_CONFIG names].
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
        /// The operator's file, in YAML or JSON [default: what SWITCHHILL_OPERATOR names].
        #[arg(long, value_name = "FILE")]
        operator: Option<PathBuf>,
    },
    /// Prints how the gateway at an address finds the store, and what to do about it.
    Status {
        /// Where the gateway takes requests.
        #[arg(long, value_name = "ADDRESS")]
        at: SocketAddr,
    },
}

fn serve(named: Option<PathBuf>, operator: Option<PathBuf>) -> Result<(), String> {
    let config = Config::from_environment(&Files::named(named, operator)?)?;
    let signals = Signals::install().map_err(|e| format!("cannot take over signals: {e}"))?;
    let listen = config.listen;
    let logs = Logs::begin(&config.operator.log);
    let mut gateway =
        Gateway::new(config, Some(signals)).map_err(|e| format!("cannot start on {listen}: {e}"))?;
    gateway.use_logs(logs);
    let address = gateway.address().map_err(|e| format!("no address: {e}"))?;
    eprintln!("listening on {address}");
    if let Some(control) = gateway.control_address() {
        eprintln!("operators call at {control}");
    }
    gateway.run().map_err(|e| format!("the loop failed: {e}"))?;
    eprint!("{}", gateway.counters());
    Ok(())
}

fn check(files: &[PathBuf]) -> ExitCode {
    let mut sound = true;
    for file in files {
        let checked = system::check::check(file).unwrap_or_else(|| config::check(file));
        if let Err(faults) = checked {
            sound = false;
            faults.in_file(file).for_each(|fault| println!("{fault}"));
        }
    }
    if sound {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(2)
    }
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if command::is_system_command(arguments.first().map(String::as_str)) {
        return command::run(&arguments);
    }
    let done = match Line::parse().command {
        None => serve(None, None),
        Some(Task::Serve { config, operator }) => serve(config, operator),
        Some(Task::Check { files }) => return check(&files),
        Some(Task::Store { what: OfStore::Bound { config, operator } }) => {
            Files::named(config, operator).and_then(|files| store::bound(&files)).map(|text| print!("{text}"))
        }
        Some(Task::Store { what: OfStore::Status { at } }) => store::status(at).map(|text| print!("{text}")),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("switchhill: {message}");
            ExitCode::FAILURE
        }
    }
}

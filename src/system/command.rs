//! Commands of the system's programs.

use super::allocator;
use super::first_settings::read_first;
use super::process_log::{log_end, log_panics, log_start};
use super::stop::Stop;
use crate::site_settings::{DecisionSettings, SiteSettings};
use argh::FromArgs;
use std::fmt;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Commands that this module understands; all others are those of the gateway.
const COMMANDS: [&str; 3] = ["data-plane", "agent", "control-plane"];

/// Programs of the system. Settings come from the file that SWITCHHILL_CONFIG names.
#[derive(FromArgs)]
struct SystemCommand {
    #[argh(subcommand)]
    program: Program,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Program {
    DataPlane(DataPlaneCommand),
    Agent(AgentCommand),
    ControlPlane(ControlPlaneCommand),
}

/// A program of the system, as its log names it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Role {
    DataPlane,
    Agent,
    ControlPlane,
}

impl fmt::Display for Role {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Role::DataPlane => "data-plane",
            Role::Agent => "agent",
            Role::ControlPlane => "control-plane",
        })
    }
}

impl Program {
    fn role(&self) -> Role {
        match self {
            Program::DataPlane(_) => Role::DataPlane,
            Program::Agent(_) => Role::Agent,
            Program::ControlPlane(_) => Role::ControlPlane,
        }
    }

    fn decisions(&self) -> Option<&Path> {
        match self {
            Program::DataPlane(command) => command.decisions.as_deref(),
            Program::ControlPlane(command) => command.decisions.as_deref(),
            Program::Agent(_) => None,
        }
    }
}

/// Serves clients: admission, routing, forwarding.
#[derive(FromArgs)]
#[argh(subcommand, name = "data-plane")]
struct DataPlaneCommand {
    /// file of settings of decisions that differ from the usual ones, for measurements in the laboratory
    #[argh(option)]
    decisions: Option<PathBuf>,
}

/// Keeps the link to the control plane and feeds the data plane of the same machine.
#[derive(FromArgs)]
#[argh(subcommand, name = "agent")]
struct AgentCommand {}

/// Serves workers and the operator; replica of the register; places models.
#[derive(FromArgs)]
#[argh(subcommand, name = "control-plane")]
struct ControlPlaneCommand {
    /// file of settings of decisions that differ from the usual ones, for measurements in the laboratory
    #[argh(option)]
    decisions: Option<PathBuf>,
}

/// Whether the command line names a program of the system.
pub fn is_system_command(first: Option<&str>) -> bool {
    first.is_some_and(|first| COMMANDS.contains(&first))
}

/// Runs the program that the command line names.
pub fn run(arguments: &[String]) -> ExitCode {
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let command = match SystemCommand::from_args(&["switchhill"], &arguments) {
        Ok(command) => command,
        Err(exit) => {
            eprintln!("{}", exit.output);
            return if exit.status.is_ok() { ExitCode::SUCCESS } else { ExitCode::from(2) };
        }
    };
    let filter = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(filter).format_timestamp(None).init();
    let role = command.program.role();
    log_panics(role);
    let result = catch_unwind(AssertUnwindSafe(|| start(&command.program)));
    log_end(role, &result)
}

fn start(program: &Program) -> anyhow::Result<()> {
    allocator::set_up();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    // First of all: until its handler is there, a signal ends the process.
    let mut stop = handle_signals(&runtime)?;
    let path = SiteSettings::path_from_environment()?;
    let read = runtime.block_on(async {
        tokio::select! {
            biased;
            read = read_first(&path) => Some(read),
            () = stop.requested() => None,
        }
    });
    let Some(read) = read else { return Ok(()) };
    let mut settings = read?;
    if let Some(path) = program.decisions() {
        settings.decisions = DecisionSettings::read(path)?;
    }
    log_start(program.role(), &settings);
    let local = tokio::task::LocalSet::new();
    match program {
        Program::DataPlane(_) => local.block_on(&runtime, crate::data_plane_feed::run(settings, stop)),
        Program::Agent(_) => local.block_on(&runtime, crate::agent::run(settings, stop)),
        Program::ControlPlane(_) => local.block_on(&runtime, crate::control_plane::run(settings, stop)),
    }
}

fn handle_signals(runtime: &tokio::runtime::Runtime) -> std::io::Result<Stop> {
    let _context = runtime.enter();
    Stop::new()
}

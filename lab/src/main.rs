//! The laboratory's program.

mod emulate;
mod flaws;

use clap::{Parser, Subcommand};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use switchhill_lab::days::{catalogue, draw, each, Day, Form, LostRequests, Pairs, Site, Table, Trouble};
use switchhill_lab::load::Live;
use switchhill_lab::local_system;
use switchhill_lab::run::{Outcome, Verdict, Wanted};
use switchhill_lab::scenario::Scenario;
use switchhill_lab::{bare, compare, hollow, live, process_faults, report, run, soak};

/// Real gateways on loopback against stand-in boxes, discovery and clients.
///
/// Exit codes: 0 all that was expected held, 1 something did not or a run failed, 2 a bad scenario or command line.
#[derive(Parser)]
#[command(name = "switchhill-lab", version, verbatim_doc_comment)]
struct Line {
    #[command(subcommand)]
    command: Task,
}

#[derive(Subcommand)]
enum Task {
    /// Shows the whole system at work on loopback: real processes, stand-in workers, clients and operator.
    LocalSystem {
        /// The system's program [default: beside this one, built first where cargo runs this].
        #[arg(long, value_name = "FILE")]
        program: Option<PathBuf>,
    },
    /// Floods single processes of the system, and starts them on machines that are not ready; prints what each did.
    ProcessFaults {
        /// The system's program [default: beside this one, built first where cargo runs this].
        #[arg(long, value_name = "FILE")]
        program: Option<PathBuf>,
    },
    /// Plays the whole system on loopback under troubles drawn from a seed and checks what clients and workers saw.
    Soak {
        /// The first seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How many seeds.
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        /// How long troubles begin in each run.
        #[arg(long, default_value_t = 60)]
        seconds: u64,
        /// Edge machines of each run.
        #[arg(long, default_value_t = 2)]
        edges: u8,
        /// Core machines of each run.
        #[arg(long, default_value_t = 3)]
        cores: u8,
        /// Core machines are replaced one after the other, in place of their usual troubles.
        #[arg(long)]
        replace_cores: bool,
        /// Runs at a time.
        #[arg(long, default_value_t = 1)]
        jobs: usize,
        /// The system's program [default: beside this one, built first where cargo runs this].
        #[arg(long, value_name = "FILE")]
        program: Option<PathBuf>,
    },
    /// Plays a scenario and tells what came of it.
    Run {
        /// The scenario's file.
        scenario: PathBuf,
        /// The seed of all chance.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Where result.json, report.html and the gateways' logs go [default: lab-out/NAME].
        #[arg(long)]
        out: Option<PathBuf>,
        /// The gateway's program [default: beside this one].
        #[arg(long)]
        gateway: Option<PathBuf>,
        /// Plays it once more through the least relay and tells the gateway's CPU as a ratio to it.
        #[arg(long)]
        bare: bool,
    },
    /// Plays two scenarios with the same seeds, in turn, and tells how they differ.
    Compare {
        /// The first scenario's file.
        first: PathBuf,
        /// The second's.
        second: PathBuf,
        /// How many seeds, from 1.
        #[arg(long, default_value_t = 5)]
        seeds: u64,
        /// The gateway's program [default: beside this one].
        #[arg(long)]
        gateway: Option<PathBuf>,
        /// Only figures whose path begins so.
        #[arg(long, default_value = "")]
        only: String,
    },
    /// Plays scenarios with faults between processes over many seeds; prints a table, a row a scenario.
    Faults {
        /// The scenarios' files, such as lab/scenarios/agreement-*.yaml.
        #[arg(required = true)]
        scenarios: Vec<PathBuf>,
        /// How many seeds, from 1.
        #[arg(long, default_value_t = 20)]
        seeds: u64,
        /// Runs at a time.
        #[arg(long, default_value_t = 2)]
        together: usize,
        /// Figures of the table, by path; each with its median and its greatest.
        #[arg(long, default_value = "agreement.longest_ms,agreement.settled_after_ms")]
        figures: String,
        /// The gateway's program [default: beside this one].
        #[arg(long)]
        gateway: Option<PathBuf>,
    },
    /// Plays the control plane in virtual time, a run a seed, and tells which rules were broken.
    Emulate {
        /// How many seeds.
        #[arg(long, default_value_t = 100)]
        seeds: u64,
        /// The first seed.
        #[arg(long, default_value_t = 1)]
        from: u64,
        /// Tells the whole run of the first seed.
        #[arg(long)]
        narrate: bool,
        /// Runs at a time [default: as many as there are processors].
        #[arg(long)]
        jobs: Option<usize>,
        /// Also prints how often each kind of fault was played.
        #[arg(long)]
        table: bool,
    },
    /// Measures the control plane's bounds in virtual time and prints them.
    Bounds {
        /// How many seeds for each bound.
        #[arg(long, default_value_t = 100)]
        seeds: u64,
        /// Runs at a time [default: as many as there are processors].
        #[arg(long)]
        jobs: Option<usize>,
    },
    /// Plants each known fault and tells whether its test notices; run at the root of the checkout.
    Flaws {
        /// Only those whose name contains this.
        #[arg(long, default_value = "")]
        only: String,
        /// Lists them and runs nothing.
        #[arg(long)]
        list: bool,
        /// Compilers at a time.
        #[arg(long, default_value_t = 3)]
        jobs: usize,
        /// Leaves out what the last run, stopped or not, found noticed on the same tree.
        #[arg(long)]
        resume: bool,
    },
    /// Runs the control plane's state machines without sockets, in virtual time, and prints what they cost.
    Hollow {
        /// Gatekeepers, each an agent with a data plane.
        #[arg(long, default_value_t = 370)]
        gatekeepers: usize,
        /// Workers.
        #[arg(long, default_value_t = 940)]
        workers: usize,
        /// Models of the one service.
        #[arg(long, default_value_t = 1_400)]
        models: usize,
        /// Core nodes.
        #[arg(long, default_value_t = 7)]
        cores: usize,
        /// Virtual time that is measured, after a start of ten seconds.
        #[arg(long, default_value_t = 20)]
        seconds: u64,
        /// The seed of all chance.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Measures encodings and state machines one by one instead.
        #[arg(long)]
        parts: bool,
    },
    /// Writes a copy of a bench's site file with drawn days: every kind of trouble, in the forms wanted.
    Days {
        /// The site file.
        site: PathBuf,
        /// The copy.
        #[arg(long)]
        out: PathBuf,
        /// Name of the copy [default: the site's with -own].
        #[arg(long)]
        name: Option<String>,
        /// Days to draw.
        #[arg(long, default_value_t = 40)]
        count: usize,
        /// The seed of the draw.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Only troubles whose kind and variant begin so.
        #[arg(long, default_value = "")]
        only: String,
        /// Forms: alone, twice, pair, start, change, return, final.
        #[arg(long, value_delimiter = ',', default_value = "alone,twice,pair,start,change,return,final")]
        forms: Vec<Form>,
        /// One day for each trouble, the forms in turn by the seed, instead of a draw from all.
        #[arg(long)]
        each: bool,
        /// Days of the draw to leave out before the first one written.
        #[arg(long, default_value_t = 0)]
        skip: usize,
    },
    /// Tells kind by kind what came of drawn days, from the journal's entries of their plays.
    DaysTable {
        /// Entries of the journal.
        #[arg(required = true)]
        entries: Vec<PathBuf>,
        /// A site file, to name the troubles of the catalogue that were not played.
        #[arg(long)]
        site: Option<PathBuf>,
    },
    /// Compares two programs over the same days and seeds, from the reports of the bench's runs.
    DaysCompare {
        /// Folder of the first program's reports, `*.json`.
        first: PathBuf,
        /// Folder of the second's, under the same names.
        second: PathBuf,
        /// Only figures whose name begins so.
        #[arg(long, default_value = "")]
        only: String,
    },
    /// Tells by route and cause which requests were late or lost, from the logs of a day's data planes.
    Lost {
        /// Logs, as the bench prints them or as the processes write them.
        #[arg(required = true)]
        logs: Vec<PathBuf>,
    },
    /// The least relay, to these addresses in turn.
    Bare {
        /// Boxes.
        to: Vec<SocketAddr>,
    },
}

/// Why the program ends without success.
enum Failed {
    /// What was asked makes no sense: 2.
    Asked(String),
    /// It did not go well: 1.
    Ran(String),
}

fn read(path: &Path) -> Result<Arc<Scenario>, Failed> {
    let named = |faults: switchhill::process::document::Faults| {
        Failed::Asked(faults.in_file(path).collect::<Vec<_>>().join("\n"))
    };
    Scenario::from_file(path).map(Arc::new).map_err(named)
}

fn runtime() -> Result<tokio::runtime::Runtime, Failed> {
    runtime_of(3)
}

fn runtime_of(threads: usize) -> Result<tokio::runtime::Runtime, Failed> {
    let built = tokio::runtime::Builder::new_multi_thread().worker_threads(threads).enable_all().build();
    built.map_err(|e| Failed::Ran(e.to_string()))
}

fn show_local_system(program: Option<PathBuf>) -> Result<(), Failed> {
    let failed = |error: anyhow::Error| Failed::Ran(format!("{error:#}"));
    let program = program.map_or_else(local_system::built_by_cargo, Ok).map_err(failed)?;
    let shown = runtime()?.block_on(local_system::show::show(&program));
    shown.map_err(failed)
}

fn play_process_faults(program: Option<PathBuf>) -> Result<bool, Failed> {
    let failed = |error: anyhow::Error| Failed::Ran(format!("{error:#}"));
    let program = program.map_or_else(local_system::built_by_cargo, Ok).map_err(failed)?;
    runtime()?.block_on(process_faults::print_all(&program)).map_err(failed)
}

fn play_soak(program: Option<PathBuf>, asked: soak::Asked) -> Result<bool, Failed> {
    let failed = |error: anyhow::Error| Failed::Ran(format!("{error:#}"));
    asked.check().map_err(|error| Failed::Asked(error.to_string()))?;
    let program = program.map_or_else(local_system::built_by_cargo, Ok).map_err(failed)?;
    runtime_of(processors())?.block_on(soak::soak(&program, asked)).map_err(failed)
}

fn play(
    scenario: &Arc<Scenario>,
    seed: u64,
    folder: &Path,
    gateway: Option<&Path>,
) -> Result<Outcome, Failed> {
    let own = std::env::current_exe().map_err(|e| Failed::Ran(e.to_string()))?;
    let gateway = gateway.map_or_else(|| own.with_file_name("switchhill"), Path::to_path_buf);
    let absolute = |path: &Path| std::path::absolute(path).map_err(|e| Failed::Asked(e.to_string()));
    let wanted = Wanted { seed, gateway: absolute(&gateway)?, own, folder: absolute(folder)? };
    if !scenario.bare && !wanted.gateway.is_file() {
        return Err(Failed::Asked(format!(
            "no gateway at {}: cargo build --release",
            wanted.gateway.display()
        )));
    }
    let live = Arc::new(Live::default());
    let title = format!("{}, seed {seed}", scenario.name);
    let view = live::View::begin(title, scenario.seconds, live.clone());
    let outcome = runtime()?.block_on(run::run(scenario, &wanted, &live)).map_err(Failed::Ran);
    drop(view);
    outcome
}

fn run_one(
    path: &Path,
    seed: u64,
    out: Option<PathBuf>,
    gateway: Option<&Path>,
    bare: bool,
) -> Result<bool, Failed> {
    let scenario = read(path)?;
    let folder = out.unwrap_or_else(|| Path::new("lab-out").join(&scenario.name));
    let outcome = play(&scenario, seed, &folder, gateway)?;
    report::write(&folder, &scenario, seed, &outcome).map_err(|e| Failed::Ran(e.to_string()))?;
    print!("{}", report::table(&outcome));
    println!("report: {}", folder.join("report.html").display());
    if let Some(Verdict { what, .. }) = outcome.expect.iter().find(|verdict| verdict.value.is_nan()) {
        return Err(Failed::Asked(format!("{}: expect: no figure `{what}` came of it", path.display())));
    }
    if bare {
        let least = Arc::new(Scenario { bare: true, ..(*scenario).clone() });
        let relay = play(&least, seed, &folder.join("bare"), gateway)?;
        let cpu = |outcome: &Outcome| outcome.figures["gateways.cpu_us_per_stream"];
        println!(
            "CPU a stream: {:.1} us, the least relay {:.1} us, ratio {:.2}",
            cpu(&outcome),
            cpu(&relay),
            cpu(&outcome) / cpu(&relay)
        );
    }
    Ok(outcome.expect.iter().all(|verdict| verdict.held))
}

fn run_pairs(
    first: &Path,
    second: &Path,
    seeds: u64,
    gateway: Option<&Path>,
    only: &str,
) -> Result<(), Failed> {
    let (one, other) = (read(first)?, read(second)?);
    let (mut ones, mut others) = (Vec::new(), Vec::new());
    for seed in 1..=seeds {
        for (scenario, runs) in [(&one, &mut ones), (&other, &mut others)] {
            let folder = Path::new("lab-out").join(format!("compare-{}-{seed}", scenario.name));
            runs.push(play(scenario, seed, &folder, gateway)?.figures);
        }
    }
    println!("{:<44}{:>14}{:>14}{:>14}{:>12}", "", one.name, other.name, "difference", "95% ±");
    for (name, paired) in compare::compare(&ones, &others) {
        if name.starts_with(only) {
            let compare::Paired { first, second, difference, half } = paired;
            println!("{name:<44}{first:>14.4}{second:>14.4}{difference:>14.4}{half:>12.4}");
        }
    }
    Ok(())
}

/// Every scenario over all seeds, so many runs at a time; a row each. True where all that was expected held.
fn faults(
    paths: &[PathBuf],
    seeds: u64,
    together: usize,
    figures: &str,
    gateway: Option<&Path>,
) -> Result<bool, Failed> {
    let names: Vec<&str> = figures.split(',').map(str::trim).filter(|name| !name.is_empty()).collect();
    let columns = names.iter().map(|name| format!("{name} median, most")).collect::<Vec<_>>().join(" | ");
    println!("| fault | runs | {columns} | all expected held |");
    println!("| --- | --- | {}--- |", "--- | ".repeat(names.len()));
    let mut all_held = true;
    for path in paths {
        let scenario = read(path)?;
        let (mut outcomes, all) = (Vec::new(), (1..=seeds).collect::<Vec<_>>());
        for some in all.chunks(together.max(1)) {
            let run = |seed: u64| {
                let folder = Path::new("lab-out").join(format!("{}-{seed}", scenario.name));
                play(&scenario, seed, &folder, gateway)
            };
            let played: Vec<_> = std::thread::scope(|scope| {
                let handles: Vec<_> = some.iter().map(|seed| (*seed, scope.spawn(|| run(*seed)))).collect();
                handles.into_iter().filter_map(|(seed, handle)| Some((seed, handle.join().ok()?))).collect()
            });
            for (seed, outcome) in played {
                let outcome = outcome?;
                for Verdict { what, value, least, most, held } in &outcome.expect {
                    if !held {
                        eprintln!(
                            "{} seed {seed}: {what} is {value}, not from {least} to {most}",
                            scenario.name
                        );
                    }
                }
                outcomes.push(outcome);
            }
        }
        let held =
            outcomes.iter().filter(|outcome| outcome.expect.iter().all(|verdict| verdict.held)).count();
        all_held &= held as u64 == seeds;
        let cells = names.iter().map(|name| {
            let mut values: Vec<f64> =
                outcomes.iter().filter_map(|outcome| outcome.figures.get(*name).copied()).collect();
            values.sort_by(f64::total_cmp);
            let at = |n: usize| values.get(n).copied().unwrap_or(f64::NAN);
            // Shares and ratios need their decimals, times do not.
            let shown =
                |value: f64| if value.abs() < 10.0 { format!("{value:.2}") } else { format!("{value:.0}") };
            format!("{}, {}", shown(at(values.len() / 2)), shown(at(values.len().saturating_sub(1))))
        });
        let cells = cells.collect::<Vec<_>>().join(" | ");
        println!("| {} | {} | {cells} | {held} of {seeds} |", scenario.name, outcomes.len());
    }
    Ok(all_held)
}

fn read_site(path: &Path) -> Result<Site, Failed> {
    let asked = |error: &dyn std::fmt::Display| Failed::Asked(format!("{}: {error}", path.display()));
    let text = std::fs::read_to_string(path).map_err(|error| asked(&error))?;
    Site::parse(&text).map_err(|error| asked(&error))
}

/// Prints the table of the days in these entries and, with a site, the troubles not played; false if a day failed.
fn table_of_days(entries: &[PathBuf], site: Option<&Path>) -> Result<bool, Failed> {
    let mut table = Table::default();
    for path in entries {
        let asked = |error: &dyn std::fmt::Display| Failed::Asked(format!("{}: {error}", path.display()));
        let text = std::fs::read_to_string(path).map_err(|error| asked(&error))?;
        table.add(&text).map_err(|error| asked(&error))?;
    }
    print!("{table}");
    if let Some(path) = site {
        let labels: Vec<String> = catalogue(&read_site(path)?).iter().map(Trouble::label).collect();
        let missing = table.missing(labels.iter().map(String::as_str));
        println!("\nnot played: {}", if missing.is_empty() { "none".to_owned() } else { missing.join(", ") });
    }
    Ok(table.days().iter().all(|day| !day.failed()))
}

/// Prints the paired figures of two folders of reports.
fn compare_days(first: &Path, second: &Path, only: &str) -> Result<(), Failed> {
    let mut pairs = Pairs::read(first, second).map_err(|error| Failed::Asked(error.to_string()))?;
    pairs.figures.retain(|name, _| name.starts_with(only));
    print!("{pairs}");
    Ok(())
}

/// Prints the account of each log.
fn tell_lost(logs: &[PathBuf]) -> Result<(), Failed> {
    for path in logs {
        let text = std::fs::read_to_string(path)
            .map_err(|error| Failed::Asked(format!("{}: {error}", path.display())))?;
        print!("{}", LostRequests::of_log(&text));
    }
    Ok(())
}

/// Writes a copy of a site file with days drawn from the troubles whose label begins with `only`.
fn write_days(
    path: &Path,
    out: &Path,
    name: Option<String>,
    only: &str,
    draw_days: impl Fn(&Site, &[Trouble]) -> Vec<Day>,
) -> Result<bool, Failed> {
    let asked = |error: &dyn std::fmt::Display| Failed::Asked(format!("{}: {error}", path.display()));
    let site = read_site(path)?;
    let mut troubles = catalogue(&site);
    troubles.retain(|trouble| trouble.label().starts_with(only));
    if troubles.is_empty() {
        return Err(asked(&format!("no trouble begins with `{only}`")));
    }
    let days = draw_days(&site, &troubles);
    let copy = site.with_days(&name.unwrap_or_else(|| format!("{}-own", site.name)), &days);
    let copy = copy.map_err(|error| asked(&error))?;
    std::fs::write(out, copy).map_err(|error| Failed::Ran(format!("{}: {error}", out.display())))?;
    println!("{} days of {} troubles in {}", days.len(), troubles.len(), out.display());
    Ok(true)
}

fn processors() -> usize {
    std::thread::available_parallelism().map_or(1, usize::from)
}

fn main() -> ExitCode {
    let done = match Line::parse().command {
        Task::LocalSystem { program } => show_local_system(program).map(|()| true),
        Task::ProcessFaults { program } => play_process_faults(program),
        Task::Soak { seed, seeds, seconds, edges, cores, replace_cores, jobs, program } => {
            let size = local_system::SiteSize { cores, edges };
            let core_troubles = match replace_cores {
                true => soak::CoreTroubles::Replacements,
                false => soak::CoreTroubles::Usual,
            };
            play_soak(program, soak::Asked { seed, seeds, seconds, size, core_troubles, jobs })
        }
        Task::Run { scenario, seed, out, gateway, bare } => {
            run_one(&scenario, seed, out, gateway.as_deref(), bare)
        }
        Task::Compare { first, second, seeds, gateway, only } => {
            run_pairs(&first, &second, seeds, gateway.as_deref(), &only).map(|()| true)
        }
        Task::Faults { scenarios, seeds, together, figures, gateway } => {
            faults(&scenarios, seeds, together, &figures, gateway.as_deref())
        }
        Task::Emulate { from, narrate: true, .. } => Ok(emulate::narrate(from)),
        Task::Emulate { seeds, from, jobs, table, .. } => {
            Ok(emulate::play_seeds(from, seeds, jobs.unwrap_or_else(processors), table))
        }
        Task::Bounds { seeds, jobs } => Ok(emulate::bounds(seeds, jobs.unwrap_or_else(processors))),
        Task::Flaws { only, list, jobs, resume } => {
            flaws::run(&flaws::Wanted { only: &only, list, jobs, resume }).map_err(Failed::Ran)
        }
        Task::Hollow { gatekeepers, workers, models, cores, seconds, seed, parts } => {
            let sizes = hollow::Sizes { gatekeepers, workers, models, cores };
            match parts {
                true => print!("{}", hollow::parts::measure(sizes)),
                false => print!("{}", hollow::run(sizes, seconds, seed)),
            }
            Ok(true)
        }
        Task::Days { site, out, name, count, seed, only, forms, each: one_each, skip } => {
            write_days(&site, &out, name, &only, |site, troubles| {
                let drawn = match one_each {
                    true => each(site, troubles, &forms, seed),
                    false => draw(site, troubles, &forms, skip + count, seed),
                };
                drawn.into_iter().skip(skip).take(count).collect()
            })
        }
        Task::DaysTable { entries, site } => table_of_days(&entries, site.as_deref()),
        Task::DaysCompare { first, second, only } => compare_days(&first, &second, &only).map(|()| true),
        Task::Lost { logs } => tell_lost(&logs).map(|()| true),
        Task::Bare { to } => {
            let relay = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let relayed = relay.and_then(|runtime| runtime.block_on(bare::relay(to)));
            relayed.map(|()| true).map_err(|e| Failed::Ran(e.to_string()))
        }
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(Failed::Ran(why)) => {
            eprintln!("switchhill-lab: {why}");
            ExitCode::FAILURE
        }
        Err(Failed::Asked(why)) => {
            eprintln!("{why}");
            ExitCode::from(2)
        }
    }
}

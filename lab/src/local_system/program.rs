//! Where the system's program lies.

use anyhow::{ensure, Context};
use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::process::Command;

const NAME: &str = "switchhill";

/// The program beside the running test or tool, where cargo builds it with them.
///
/// # Errors
/// It is not there and cannot be built.
pub fn built_beside() -> anyhow::Result<PathBuf> {
    match beside()? {
        Some(program) => Ok(program),
        None => built_by_cargo(),
    }
}

/// The program as its present sources make it: cargo is asked to build it where it runs this process.
///
/// # Errors
/// It cannot be built, or is not there.
pub fn built_by_cargo() -> anyhow::Result<PathBuf> {
    let cargo = std::env::var_os("CARGO");
    let package = std::env::var_os("CARGO_MANIFEST_DIR");
    if let (Some(cargo), Some(package)) = (cargo, package) {
        build(cargo, Path::new(&package))?;
    }
    beside()?.with_context(|| format!("there is no {NAME} beside this program: cargo build"))
}

/// The folder of cargo's output, such as `target/debug`.
fn output_folder() -> anyhow::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let folder = own.parent().context("a program lies in a folder")?;
    // Tests lie one folder deeper.
    let is_deps = folder.file_name().is_some_and(|name| name == "deps");
    let folder = if is_deps { folder.parent().context("deps lies in a folder")? } else { folder };
    Ok(folder.to_owned())
}

fn beside() -> anyhow::Result<Option<PathBuf>> {
    Ok(Some(output_folder()?.join(NAME)).filter(|path| path.is_file()))
}

fn build(cargo: OsString, package: &Path) -> anyhow::Result<()> {
    let folder = output_folder()?;
    let profile = match folder.file_name().and_then(|name| name.to_str()) {
        Some("debug") | None => "dev",
        Some(other) => other,
    };
    let target = folder.parent().context("cargo's output lies in a folder")?;
    let mut command = Command::new(cargo);
    command.current_dir(package).arg("build").args(["--package", NAME, "--bin", NAME, "--profile", profile]);
    command.arg("--target-dir").arg(target);
    let status = command.status().context("cargo could not be run")?;
    ensure!(status.success(), "cargo build: {status}");
    Ok(())
}

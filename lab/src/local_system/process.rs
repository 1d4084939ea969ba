//! One process of the system, ended by its own id whatever happens.

use super::wait::until;
use anyhow::Context;
use rustix::process::{kill_process, Pid, Signal};
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use switchhill::site_settings::SETTINGS_VARIABLE;

/// A running process.
pub struct Process {
    name: String,
    child: Child,
}

/// What starts a process, again and again.
#[derive(Debug, Clone)]
pub(crate) struct Launch {
    /// The program.
    pub(crate) program: PathBuf,
    /// Its command, such as `agent`.
    pub(crate) command: &'static str,
    /// Its settings file.
    pub(crate) settings: PathBuf,
    /// The file that its log is added to.
    pub(crate) log: PathBuf,
}

impl Launch {
    /// Starts the process.
    pub(crate) fn start(&self) -> anyhow::Result<Process> {
        let log = open_log(&self.log)?;
        let mut command = Command::new(&self.program);
        command.arg(self.command).env(SETTINGS_VARIABLE, &self.settings);
        command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        let child = command.spawn().with_context(|| format!("starting {}", self.program.display()))?;
        let machine = self.settings.file_stem().unwrap_or_default().to_string_lossy().into_owned();
        Ok(Process { name: format!("{} on {machine}", self.command), child })
    }
}

fn open_log(path: &Path) -> anyhow::Result<File> {
    let log = File::options().create(true).append(true).open(path);
    log.with_context(|| format!("opening {}", path.display()))
}

impl Process {
    /// Its command and machine.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The most memory that it has had resident so far, in bytes.
    ///
    /// # Errors
    /// The system does not tell.
    pub fn peak_resident_bytes(&self) -> anyhow::Result<u64> {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(&path).with_context(|| path.clone())?;
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")?.trim().strip_suffix(" kB"));
        let kilobytes: u64 = peak.with_context(|| format!("{path} has no VmHWM"))?.trim().parse()?;
        Ok(kilobytes * 1024)
    }

    /// How it ended, if it did.
    ///
    /// # Errors
    /// The system does not tell.
    pub fn ended(&mut self) -> anyhow::Result<Option<ExitStatus>> {
        Ok(self.child.try_wait()?)
    }

    /// Ends it at once, with SIGKILL.
    ///
    /// # Errors
    /// It cannot be ended.
    pub fn kill(mut self) -> anyhow::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Sends SIGHUP.
    ///
    /// # Errors
    /// The signal cannot be sent.
    pub fn hang_up(&self) -> anyhow::Result<()> {
        self.signal(Signal::HUP)
    }

    /// Sends SIGTERM.
    ///
    /// # Errors
    /// The signal cannot be sent.
    pub fn terminate(&self) -> anyhow::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Stops it where it is, with SIGSTOP.
    ///
    /// # Errors
    /// The signal cannot be sent.
    pub fn pause(&self) -> anyhow::Result<()> {
        self.signal(Signal::STOP)
    }

    /// Lets it go on after [`Process::pause`].
    ///
    /// # Errors
    /// The signal cannot be sent.
    pub fn resume(&self) -> anyhow::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Waits for its end.
    ///
    /// # Errors
    /// It does not end in time.
    pub async fn wait(&mut self) -> anyhow::Result<ExitStatus> {
        let what = format!("the end of {}", self.name);
        let child = &mut self.child;
        let (status, _) = until(&what, || {
            let status = child.try_wait().ok().flatten();
            async move { status }
        })
        .await?;
        Ok(status)
    }

    fn signal(&self, signal: Signal) -> anyhow::Result<()> {
        let sent = kill_process(Pid::from_child(&self.child), signal);
        sent.with_context(|| format!("{} can't be sent {signal:?}", self.name))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both have no effect on a process that has ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

//! Controllers as processes on loopback, started and killed by this process. None of them
//! outlives it.

use crate::log::Log;
use crate::nodes::platform;
use anyhow::Context as _;
use cherrywood_emulator::{ControllerSupervisor, World};
use cherrywood_node::settings::Operator;
use rustix::process::{Pid, Signal, kill_process};
use std::io::{BufRead as _, BufReader};
use std::net::TcpListener;
use std::os::unix::process::CommandExt as _;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tempfile::TempDir;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Controllers as processes of their own, in real time.
pub struct Processes {
    names: Vec<String>,
    program: PathBuf,
    /// Directory of the settings files; removed on drop.
    dir: TempDir,
    children: Mutex<Vec<Option<Child>>>,
    /// Controllers that could not be started, with the error.
    spawn_errors: Mutex<Vec<(usize, String)>>,
    log: Log,
}

impl Processes {
    pub fn new(world: &World, operator: &Operator, log: &Log) -> anyhow::Result<Arc<Processes>> {
        let dir = tempfile::tempdir().context("temporary directory for settings")?;
        let count = world.addresses.nodes.len();
        for node in 0..count {
            // A port that is in use is an error here, not the exit of a controller later.
            let (users, peers) = world.addresses.nodes[node];
            for at in [users, peers] {
                TcpListener::bind(at).with_context(|| at.to_string())?;
            }
            let text = toml::to_string(&platform(world, node)).context("settings")?;
            std::fs::write(dir.path().join(format!("{node}.toml")), text)?;
        }
        let yaml = serde_json::to_string(operator).context("operator settings")?;
        std::fs::write(dir.path().join("operator.yaml"), yaml)?;
        Ok(Arc::new(Processes {
            names: (0..count).map(|n| world.node_name(n)).collect(),
            program: std::env::current_exe().context("path of the executable")?,
            dir,
            children: Mutex::new((0..count).map(|_| None).collect()),
            spawn_errors: Mutex::default(),
            log: log.clone(),
        }))
    }

    /// Takes the controllers that exited by themselves or could not be started since the last
    /// call, with the cause.
    pub fn take_exited(&self) -> Vec<(usize, String)> {
        let mut exited = std::mem::take(&mut *lock(&self.spawn_errors));
        for (node, slot) in lock(&self.children).iter_mut().enumerate() {
            if let Some(child) = slot
                && let Ok(Some(status)) = child.try_wait()
            {
                exited.push((node, status.to_string()));
                *slot = None;
            }
        }
        exited
    }

    /// Kills all controllers.
    pub fn stop(&self) {
        for slot in lock(&self.children).iter_mut() {
            kill_and_wait(slot.take());
        }
    }

    fn signal(&self, node: usize, signal: Signal) {
        let children = lock(&self.children);
        if let Some(child) = &children[node]
            && let Some(pid) = Pid::from_raw(child.id().cast_signed())
        {
            // The error of a process that has already exited is ignored.
            let _ = kill_process(pid, signal);
        }
    }
}

fn kill_and_wait(child: Option<Child>) {
    if let Some(mut child) = child {
        let _ = child.kill();
        let _ = child.wait();
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        self.stop();
    }
}

impl ControllerSupervisor for Processes {
    fn start(&self, node: usize) {
        let spawned = Command::new(&self.program)
            .arg("--operator")
            .arg(self.dir.path().join("operator.yaml"))
            .arg("--config")
            .arg(self.dir.path().join(format!("{node}.toml")))
            .arg("--until-stdin-ends")
            .env("LOG_LEVEL", "info")
            // Ctrl-C must reach only this process. The pipe on stdin closes when this process
            // ends, however it ends, so that no controller outlives it.
            .process_group(0)
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn();
        match spawned {
            Ok(mut child) => {
                if let Some(out) = child.stderr.take() {
                    let (log, name) = (self.log.clone(), self.names[node].clone());
                    std::thread::spawn(move || {
                        for line in BufReader::new(out).lines().map_while(Result::ok) {
                            log.append_printed(&name, &line);
                        }
                    });
                }
                lock(&self.children)[node] = Some(child);
            }
            Err(e) => lock(&self.spawn_errors).push((node, e.to_string())),
        }
    }

    fn kill(&self, node: usize) {
        let child = lock(&self.children)[node].take();
        kill_and_wait(child);
    }

    fn freeze(&self, node: usize) {
        self.signal(node, Signal::STOP);
    }

    fn thaw(&self, node: usize) {
        self.signal(node, Signal::CONT);
    }

    /// Does nothing: a process cannot be slowed down from outside.
    fn slow(&self, _: usize, _: f64) {}
}

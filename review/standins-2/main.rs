//! Plays one case of the review: `review-2 CASE FOLDER`. Starts three controllers with the
//! command of the deploy file, beside stand-ins of the platform, plays the case's order of
//! events, and checks its rule. Exit code: 0 the rule held, 1 it was broken, 2 the case couldn't
//! run. `TROUBLE=0` leaves the disruption out.

mod cases;
mod fleet;
mod state;
mod wire;

use fleet::{Cloud, JobInfo, Kind, Platform};
use state::State;
use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio, exit};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};
use wire::{Client, V, m, s};

static BEGIN: OnceLock<Instant> = OnceLock::new();

/// Seconds since the program began.
pub fn now_s() -> f64 {
    BEGIN.get_or_init(Instant::now).elapsed().as_secs_f64()
}

pub fn sleep(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds.max(0.0)));
}

pub fn sleep_until(at: f64) {
    sleep(at - now_s());
}

/// `record.txt`.
pub struct Record(Mutex<File>);

impl Record {
    pub fn line(&self, text: &str) {
        let _ = writeln!(self.0.lock().unwrap(), "{:8.3} {text}", now_s());
    }
}

/// Settings of a deployment, as its page and site file state them.
pub struct Site {
    pub zones: Vec<&'static str>,
    /// Name, guaranteed CPUs, most CPUs.
    pub teams: Vec<(&'static str, f64, f64)>,
    pub objectives: &'static str,
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    pub write_rps: f64,
    pub cloud_rps: f64,
    pub list_lag_s: f64,
    pub core_share: f64,
    pub mem_mb: f64,
    pub sockets: u32,
    pub kinds: Vec<Kind>,
}

pub struct World {
    pub record: Arc<Record>,
    pub state: Arc<State>,
    pub cloud: Arc<Cloud>,
    pub platform: Arc<Platform>,
    /// Whether what the controllers say to each other is cut off, by controller.
    pub peers_cut: Vec<Arc<AtomicBool>>,
    healthy: Arc<Mutex<Vec<bool>>>,
    turn: Mutex<usize>,
    processes: Arc<Mutex<Vec<Child>>>,
    run: Vec<String>,
    folder: PathBuf,
    pub trouble: bool,
}

pub const LABELS: [&str; 3] = ["stallion-0", "stallion-1", "stallion-2"];

fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap_or_else(|_| exit(2))
}

/// Connects two ports. While `cut` holds, what was sent is kept back.
fn proxy(listener: TcpListener, to: SocketAddr, cut: impl Fn() -> bool + Send + Sync + 'static) {
    let cut = Arc::new(cut);
    thread::spawn(move || {
        for from in listener.incoming().flatten() {
            let cut = cut.clone();
            thread::spawn(move || {
                while cut() {
                    thread::sleep(Duration::from_millis(20));
                }
                let Ok(target) = TcpStream::connect(to) else { return };
                let _ = (from.set_nodelay(true), target.set_nodelay(true));
                let (a, b) = (from.try_clone().unwrap(), target.try_clone().unwrap());
                let other = cut.clone();
                thread::spawn(move || pump(a, b, &*other));
                pump(target, from, &*cut);
            });
        }
    });
}

fn pump(mut from: TcpStream, mut to: TcpStream, cut: &(dyn Fn() -> bool + Send + Sync)) {
    let mut part = [0u8; 16384];
    loop {
        let n = from.read(&mut part).unwrap_or(0);
        while cut() {
            thread::sleep(Duration::from_millis(20));
        }
        if n == 0 || to.write_all(&part[..n]).is_err() {
            let _ = to.shutdown(Shutdown::Both);
            let _ = from.shutdown(Shutdown::Both);
            return;
        }
    }
}

impl World {
    pub fn new(site: &Site, folder: PathBuf, capacity: &[(&str, &str, bool, usize)], boot_s: f64) -> World {
        let record = Arc::new(Record(Mutex::new(File::create(folder.join("record.txt")).unwrap_or_else(|_| exit(2)))));
        let deploy = fs::read_to_string("deploy/service.toml").unwrap_or_else(|_| exit(2));
        let run = deploy.lines().find_map(|l| l.strip_prefix("run = \"")).unwrap_or_else(|| exit(2));
        let run: Vec<String> = run.trim_end_matches('"').split_whitespace().map(String::from).collect();
        let temporary = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&temporary).unwrap_or_else(|_| exit(2));
        // Ports of the controllers: found free, and let go just before they start.
        let held: Vec<(TcpListener, TcpListener)> = LABELS.iter().map(|_| (listener(), listener())).collect();
        let serve_on: Vec<SocketAddr> = held.iter().map(|h| h.0.local_addr().unwrap()).collect();
        let internal: Vec<SocketAddr> = held.iter().map(|h| h.1.local_addr().unwrap()).collect();
        let state_ports: Vec<TcpListener> = LABELS.iter().map(|_| listener()).collect();
        let state_at: Vec<SocketAddr> = state_ports.iter().map(|l| l.local_addr().unwrap()).collect();
        let state = State::start(state_ports, 200.0, site.write_rps, 32.0, 48);
        let platform = Arc::new(Platform {
            report_s: site.report_s,
            lease_s: site.lease_s,
            list_lag_s: site.list_lag_s,
            boot_s,
            kinds: site.kinds.clone(),
            record: record.clone(),
            jobs: Mutex::default(),
            events: Mutex::default(),
            done: Mutex::default(),
            nodes: LABELS.iter().map(|l| l.to_string()).zip(serve_on.iter().copied()).collect(),
            dropped: Mutex::default(),
        });
        let cloud_port = listener();
        let cloud_at = cloud_port.local_addr().unwrap();
        let capacity: HashMap<_, _> = capacity.iter().map(|c| ((c.0.to_string(), c.1.to_string(), c.2), c.3)).collect();
        let cloud = Cloud::start(cloud_port, platform.clone(), capacity);
        let peers_cut: Vec<Arc<AtomicBool>> = LABELS.iter().map(|_| Arc::default()).collect();
        drop(held);
        for i in 0..LABELS.len() {
            let mut text = format!(
                "label = \"{}\"\nzone = \"{}\"\nserve_on = \"{}\"\ninternal_addr = \"{}\"\n\n",
                LABELS[i], site.zones[i % site.zones.len()], serve_on[i], internal[i]
            );
            for j in (0..LABELS.len()).filter(|j| *j != i) {
                let port = listener();
                let at = port.local_addr().unwrap();
                let (a, b) = (peers_cut[i].clone(), peers_cut[j].clone());
                proxy(port, internal[j], move || a.load(Ordering::SeqCst) || b.load(Ordering::SeqCst));
                text += &format!("[[members]]\nlabel = \"{}\"\nzone = \"{}\"\nendpoint = \"{at}\"\n\n", LABELS[j], site.zones[j % site.zones.len()]);
            }
            text += &format!("[services]\ncloud = \"{cloud_at}\"\nstate = \"{}\"\n\n", state_at[i]);
            text += &format!("[deployment]\nnodes = 3\nzones = {:?}\ntime_bound_ms = 1000.0\n\n", site.zones);
            for (name, cpus, most) in &site.teams {
                text += &format!("[[deployment.teams]]\nname = \"{name}\"\ncpus = {cpus:?}\ncpus_max = {most:?}\ngpus = 0.0\ngpus_max = 0.0\n\n");
            }
            text += site.objectives;
            text += &format!(
                "\n[deployment.workers]\nreport_s = {:?}\nlease_s = {:?}\ngang_wait_s = 50.0\ngang_peer_s = 4.0\ncancel_s = {:?}\n\n[deployment.state]\nrps = 200.0\nwrite_rps = {:?}\nvalue_kb = 32.0\ntxn_ops = 48\n\n[deployment.cloud]\nrps = {:?}\nlist_lag_s = {:?}\n\n[deployment.limits]\ncore_share = {:?}\nmem_mb = {:?}\nsockets = {}\n",
                site.report_s, site.lease_s, site.cancel_s, site.write_rps, site.cloud_rps, site.list_lag_s, site.core_share, site.mem_mb, site.sockets
            );
            fs::write(temporary.join(format!("{}.toml", LABELS[i])), text).unwrap_or_else(|_| exit(2));
        }
        let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
        record.line(&format!("trouble: {trouble}"));
        let world = World {
            record,
            state,
            cloud,
            platform,
            peers_cut,
            healthy: Arc::new(Mutex::new(vec![false; LABELS.len()])),
            turn: Mutex::new(0),
            processes: Arc::default(),
            run,
            folder: temporary,
            trouble,
        };
        for i in 0..LABELS.len() {
            let child = world.spawn(i);
            world.processes.lock().unwrap().push(child);
        }
        world.watch_health();
        // Whatever happens, nothing outlives the case.
        let (processes, temporary) = (world.processes.clone(), world.folder.clone());
        thread::spawn(move || {
            sleep(118.0);
            end(&processes, &temporary);
            eprintln!("the case took too long");
            exit(2);
        });
        world
    }

    fn spawn(&self, i: usize) -> Child {
        let log = File::options().create(true).append(true).open(self.folder.join(format!("{}.log", LABELS[i]))).unwrap_or_else(|_| exit(2));
        self.record.line(&format!("controller {} starts", LABELS[i]));
        Command::new(&self.run[0])
            .args(&self.run[1..])
            .arg(self.folder.join(format!("{}.toml", LABELS[i])))
            .env("LOG_LEVEL", std::env::var("LOG_LEVEL").unwrap_or("info".into()))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|e| {
                eprintln!("{}: {e}", self.run[0]);
                exit(2)
            })
    }

    /// Kills a controller without a signal that it could notice.
    pub fn kill(&self, i: usize) {
        self.record.line(&format!("DISRUPTION controller {} is killed", LABELS[i]));
        let mut processes = self.processes.lock().unwrap();
        let _ = processes[i].kill();
        let _ = processes[i].wait();
    }

    pub fn restart(&self, i: usize) {
        let child = self.spawn(i);
        self.processes.lock().unwrap()[i] = child;
    }

    /// Stops (`STOP`) a controller's process or lets it go on (`CONT`).
    pub fn signal(&self, i: usize, signal: &str) {
        self.record.line(&format!("DISRUPTION controller {} gets {signal}", LABELS[i]));
        let id = self.processes.lock().unwrap()[i].id();
        let _ = Command::new("kill").arg(format!("-{signal}")).arg(id.to_string()).status();
    }

    /// Asks every controller once a second whether it is healthy, as the load balancer does.
    fn watch_health(&self) {
        for (i, (_, at)) in self.platform.nodes.clone().into_iter().enumerate() {
            let (healthy, record) = (self.healthy.clone(), self.record.clone());
            thread::spawn(move || {
                let (mut client, mut failures) = (Client::default(), 0);
                loop {
                    let ok = client.send(at, "GET", "/healthz", None, 1.0).is_some_and(|a| a.0 == 200);
                    failures = if ok { 0 } else { failures + 1 };
                    if !ok {
                        client.close();
                    }
                    let mut all = healthy.lock().unwrap();
                    let now = if ok { true } else { all[i] && failures < 2 };
                    if now != all[i] {
                        record.line(&format!("balancer: {} healthy={now}", LABELS[i]));
                        all[i] = now;
                    }
                    drop(all);
                    sleep(1.0);
                }
            });
        }
    }

    /// The controller for a user's next connection.
    pub fn pick(&self) -> Option<usize> {
        let healthy = self.healthy.lock().unwrap();
        let mut turn = self.turn.lock().unwrap();
        for _ in 0..LABELS.len() {
            *turn = (*turn + 1) % LABELS.len();
            if healthy[*turn] {
                return Some(*turn);
            }
        }
        None
    }

    pub fn index(&self, label: &str) -> Option<usize> {
        LABELS.iter().position(|l| *l == label)
    }

    /// Waits for a leader and for a controller that takes requests.
    pub fn wait_ready(&self) -> usize {
        while now_s() < 20.0 {
            if let Some(leader) = self.state.leader().and_then(|l| self.index(&l))
                && self.healthy.lock().unwrap().iter().all(|h| *h)
            {
                self.record.line(&format!("{} leads", LABELS[leader]));
                return leader;
            }
            sleep(0.05);
        }
        self.give_up("no leader")
    }

    /// One request of a user, on a connection of its own.
    pub fn ask(&self, node: Option<usize>, method: &str, path: &str, body: Option<&V>, timeout_s: f64) -> (u16, V) {
        let Some(node) = node.or_else(|| self.pick()) else {
            self.record.line(&format!("user: {method} {path}: no healthy controller"));
            return (0, V::Nil);
        };
        let answer = Client::default().send(self.platform.nodes[node].1, method, path, body, timeout_s);
        let answer = answer.unwrap_or((0, V::Nil));
        self.record.line(&format!("user: {method} {path} at {}: {} {}", LABELS[node], answer.0, describe(&answer.1)));
        answer
    }

    /// Submits a job, repeated as the protocol says. Returns the time of the acceptance.
    pub fn submit(&self, job: &Job) -> f64 {
        let info = JobInfo { tasks: job.tasks, cpus: job.cpus, ram_gb: job.ram_gb, image: job.image.to_string(), pull_gb: job.pull_gb, run_s: job.run_s, stow_s: job.stow_s };
        self.platform.jobs.lock().unwrap().insert(job.id.to_string(), info);
        let until = now_s() + 60.0;
        while now_s() < until {
            let (status, _) = self.ask(None, "POST", "/submissions", Some(&job.body()), 5.0);
            if status == 200 || status == 201 {
                return now_s();
            }
            sleep(1.0);
        }
        self.give_up("a submission wasn't accepted")
    }

    /// Cancels a job, repeated until it is confirmed. Returns the time of the answer.
    pub fn cancel(&self, node: Option<usize>, id: &str) -> f64 {
        for _ in 0..30 {
            let (status, _) = self.ask(node, "POST", &format!("/submissions/{id}/cancel"), None, 5.0);
            if status == 200 {
                return now_s();
            }
            sleep(1.0);
        }
        self.give_up("a cancellation wasn't confirmed")
    }

    pub fn poll(&self, id: &str) -> (u16, String) {
        let (status, body) = self.ask(None, "GET", &format!("/submissions/{id}"), None, 2.0);
        (status, body.get("gait").text().to_string())
    }

    /// Waits until `count` tasks of the job have begun to run; `None` if that takes too long.
    pub fn wait_started(&self, id: &str, count: usize, until: f64) -> Option<f64> {
        loop {
            let events = self.platform.events.lock().unwrap();
            let starts: Vec<f64> = events.iter().filter(|e| e.job == id && e.what == "start").map(|e| e.at).collect();
            drop(events);
            if starts.len() >= count {
                return starts.get(count - 1).copied();
            }
            if now_s() >= until {
                return None;
            }
            sleep(0.05);
        }
    }

    /// Whether a task of the job has ended as done.
    pub fn has_ended(&self, id: &str) -> bool {
        if now_s() > 100.0 {
            self.give_up("a task doesn't end");
        }
        self.platform.events.lock().unwrap().iter().any(|e| e.job == id && e.what == "done")
    }

    /// The machine on which a task of the job began to run.
    pub fn machine_of(&self, id: &str) -> Option<String> {
        let events = self.platform.events.lock().unwrap();
        events.iter().rev().find(|e| e.job == id && e.what == "start").map(|e| e.machine.clone())
    }

    pub fn give_up(&self, why: &str) -> ! {
        self.record.line(&format!("could not run: {why}"));
        eprintln!("could not run: {why}");
        self.finish(2)
    }

    /// Ends all processes and the program.
    pub fn finish(&self, code: i32) -> ! {
        let ended = self.processes.lock().unwrap().iter_mut().any(|p| matches!(p.try_wait(), Ok(Some(_))));
        self.record.line(&format!("exit {code}; a controller ended by itself or was left killed: {ended}"));
        end(&self.processes, &self.folder);
        exit(code)
    }

    /// Records the outcome of the check and ends.
    pub fn verdict(&self, rule: &str, broken: Option<String>) -> ! {
        match broken {
            Some(why) => {
                self.record.line(&format!("BROKEN {rule}: {why}"));
                println!("broken: {rule}: {why}");
                self.finish(1)
            }
            None => {
                self.record.line(&format!("held: {rule}"));
                println!("held: {rule}");
                self.finish(0)
            }
        }
    }
}

fn end(processes: &Mutex<Vec<Child>>, folder: &PathBuf) {
    for p in processes.lock().unwrap().iter_mut() {
        let _ = p.kill();
        let _ = p.wait();
    }
    if std::env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(folder);
    }
}

fn describe(v: &V) -> String {
    match v {
        V::M(f) => f.iter().map(|(k, v)| format!("{k}={}", describe(v))).collect::<Vec<_>>().join(" "),
        V::S(t) => t.clone(),
        V::Int(n) => n.to_string(),
        V::Nil => String::new(),
        other => format!("{other:?}"),
    }
}

/// A job as its user submits it, and how long its tasks run.
#[derive(Clone)]
pub struct Job {
    pub id: &'static str,
    pub herd: &'static str,
    pub crew: &'static str,
    pub breed: &'static str,
    pub rank: &'static str,
    pub tasks: u32,
    pub cpus: f64,
    pub ram_gb: f64,
    pub image: &'static str,
    pub pull_gb: f64,
    pub kinds: Option<&'static str>,
    pub zone: Option<&'static str>,
    pub strays: bool,
    /// The job that has to be done before.
    pub waits_on: Option<&'static str>,
    pub guess_s: f64,
    pub run_s: f64,
    /// Seconds of progress after which a task saves, and what that takes; 0: it never saves.
    pub brand_s: f64,
    pub stow_s: f64,
}

impl Job {
    pub fn body(&self) -> V {
        let mut fields = vec![
            ("name_id", s(self.id)),
            ("herd", s(self.herd)),
            ("crew", s(self.crew)),
            ("breed", s(self.breed)),
            ("rank", s(self.rank)),
            ("chores", V::Int(u64::from(self.tasks))),
            ("cpus", V::F(self.cpus)),
            ("accelerators", V::F(0.0)),
            ("ram_gb", V::F(self.ram_gb)),
            ("saddle", s(self.image)),
            ("pull_gb", V::F(self.pull_gb)),
            ("breeds_of_box", self.kinds.map_or(V::Nil, |k| V::A(vec![s(k)]))),
            ("pasture", self.zone.map_or(V::Nil, s)),
            ("together", V::Bool(false)),
            ("apart", V::Bool(false)),
            ("strays", V::Bool(self.strays)),
            ("guess_s", V::F(self.guess_s)),
            ("brand_s", V::F(self.brand_s)),
            ("stow_s", V::F(self.stow_s)),
            ("due_s", V::Nil),
        ];
        if let Some(before) = self.waits_on {
            fields.push(("waits_on", V::A(vec![s(before)])));
        }
        m(fields)
    }
}

fn main() {
    now_s();
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("review-2 CASE FOLDER");
        exit(2)
    };
    cases::play(&case, PathBuf::from(folder));
}

//! The system's processes and the operator, as a platform of a small deployment starts them: each
//! machine has a loopback address of its own, and ports are the same on all of them.

use crate::{http, record::Record};
use std::{
    collections::BTreeMap,
    env, fs,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    path::PathBuf,
    process::{Child, Command, Stdio, exit},
    thread,
    time::{Duration, Instant},
};

pub const CONTROL_PORT: u16 = 18_000;
pub const DIRECTORY_PORT: u16 = 18_001;
pub const READY_PORT: u16 = 18_002;
pub const FRONT_PORT: u16 = 18_005;
pub const RUNNER_PORT: u16 = 18_080;
const PEER_PORT: u16 = 17_700;
const PEER_PORTS: [u16; 5] = [0, 1, 2, 3, 10];
const ZONES: [&str; 3] = ["bog-hall-a", "med-hall-a", "baq-hall-a"];

/// A machine of the deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Machine(pub Ipv4Addr);

impl Machine {
    pub fn at(self, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.0), port)
    }
}

/// A process of the system.
pub struct SystemProcess {
    name: String,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// A small deployment on loopback addresses.
pub struct World {
    pub record: Record,
    folder: PathBuf,
    subnet: (u8, u8),
    /// What the settings of all processes hold besides, with a comma before each field.
    pub more_settings: &'static str,
    pub processes: Vec<SystemProcess>,
}

impl World {
    /// Ends with exit code 2 if the machine has no room for the case.
    pub fn new(record: Record) -> Self {
        let pid = std::process::id();
        let folder = env::temp_dir().join(format!("review-2-{pid}"));
        fs::create_dir_all(&folder).unwrap_or_else(|error| cannot_run(&error.to_string()));
        let subnet = (20..220)
            .map(|offset| ((20 + (pid + offset) % 200) as u8, (pid / 200 % 250) as u8))
            .find(|subnet| is_free(*subnet))
            .unwrap_or_else(|| cannot_run("no free ports"));
        Self { record, folder, subnet, more_settings: "", processes: Vec::new() }
    }

    /// The machine with this number.
    pub fn machine(&self, number: u8) -> Machine {
        Machine(Ipv4Addr::new(127, self.subnet.0, self.subnet.1, number))
    }

    pub fn control(&self, index: u8) -> Machine {
        self.machine(10 + index)
    }

    pub fn entry(&self, index: u8) -> Machine {
        self.machine(20 + index)
    }

    pub fn runner(&self, index: u8) -> Machine {
        self.machine(40 + index)
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        (0..3).map(|index| self.control(index).at(CONTROL_PORT)).collect()
    }

    fn settings(
        &self,
        name: &str,
        machine: Machine,
        zone: &str,
        founding: bool,
        role: &str,
    ) -> String {
        let ip = machine.0;
        let seeds: Vec<String> = self.controls().iter().map(|seed| format!("\"{seed}\"")).collect();
        let seeds = seeds.join(",");
        let more = self.more_settings;
        format!(
            r#"{{"instance":"{name}","zone":"{zone}","host":"{ip}","first_peer_port":{PEER_PORT},
"control_seeds":[{seeds}],"link_mbps":1000.0,"founding":{founding},
"announce_interval_seconds":1200e-3,"tolerated_losses":1,"stop_limit_seconds":8,
"version_limit_seconds":8000e-3,"drain_limit_seconds":2000e-3,
"regions":{{"bog-hall-a":"bogota","med-hall-a":"medellin","baq-hall-a":"barranquilla"}},
"retry_ratio":0.2,"retry_window_seconds":10,"retry_minimum":106,"memory_mb":260{more},{role}}}"#
        )
    }

    fn add(&mut self, name: &str, settings: String) -> usize {
        let path = self.folder.join(format!("{name}.json"));
        fs::write(&path, settings).unwrap_or_else(|error| cannot_run(&error.to_string()));
        let log = self.folder.join(format!("{name}.log"));
        let process = SystemProcess { name: name.to_owned(), settings: path, log, child: None };
        self.processes.push(process);
        self.processes.len() - 1
    }

    /// Adds a control process; it is not started yet.
    pub fn add_control(&mut self, index: u8, founding: bool) -> usize {
        let machine = self.control(index);
        let name = format!("core-{index}");
        let folder = self.folder.join(format!("{name}-data"));
        let folder = folder.display().to_string();
        let role = format!(
            r#""control":{{"call_address":"{}","data_folder":"{folder}"}}"#,
            machine.at(CONTROL_PORT)
        );
        let zone = ZONES[usize::from(index) % 3];
        let settings = self.settings(&name, machine, zone, founding, &role);
        self.add(&name, settings)
    }

    /// Adds an entry process; it is not started yet.
    pub fn add_entry(&mut self, index: u8) -> usize {
        let machine = self.entry(index);
        let role = format!(
            r#""entry":{{"caller_address":"{}","health_address":"{}","directory_address":"{}"}}"#,
            machine.at(FRONT_PORT),
            machine.at(READY_PORT),
            machine.at(DIRECTORY_PORT)
        );
        let name = format!("edge-{index}");
        let zone = ZONES[usize::from(index) % 3];
        let settings = self.settings(&name, machine, zone, true, &role);
        self.add(&name, settings)
    }

    /// Starts a process with the command of the deploy file.
    pub fn start(&mut self, index: usize) {
        let process = &mut self.processes[index];
        let log = fs::OpenOptions::new().create(true).append(true).open(&process.log);
        let log = log.unwrap_or_else(|error| cannot_run(&error.to_string()));
        let errors = log.try_clone().unwrap_or_else(|error| cannot_run(&error.to_string()));
        let child = Command::new("target/release/egretseam")
            .arg("fleet")
            .env("EGRETSEAM_SETTINGS", &process.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        let child = child.unwrap_or_else(|error| cannot_run(&format!("egretseam: {error}")));
        self.record.line(format!("{} starts, process {}", process.name, child.id()));
        process.child = Some(child);
    }

    /// Id of the process with this number, if it runs.
    pub fn pid(&self, index: usize) -> Option<u32> {
        self.processes[index].child.as_ref().map(Child::id)
    }

    /// Records what the logs of the processes say of their checks whether a runner has ended.
    pub fn record_checks(&self) {
        let mut counts: BTreeMap<String, u32> = BTreeMap::new();
        for process in &self.processes {
            let text = fs::read_to_string(&process.log).unwrap_or_default();
            for line in text.lines().filter(|line| line.contains("checked whether a target")) {
                let what = line.split("\"outcome\":").nth(1).unwrap_or("").trim_end_matches('}');
                *counts.entry(format!("{}: {what}", process.name)).or_default() += 1;
            }
        }
        for (what, count) in counts {
            self.record.line(format!("{what}, {count} times"));
        }
    }

    /// Kills a process and waits for its end.
    pub fn kill(&mut self, index: usize) {
        let process = &mut self.processes[index];
        if let Some(mut child) = process.child.take() {
            child.kill().ok();
            child.wait().ok();
            self.record.line(format!("{} was killed", process.name));
        }
    }

    /// Sends a manifest until it is acknowledged. Ends the case if that takes too long.
    pub fn send_manifest(&self, manifest: &str) {
        let until = Instant::now() + Duration::from_secs(20);
        loop {
            for control in self.controls() {
                let fields = [("Host", "control"), ("Content-Type", "application/json")];
                let reply = http::call(
                    control,
                    "POST",
                    "/config/replace",
                    &fields,
                    manifest.as_bytes(),
                    Duration::from_secs(1),
                );
                if let Ok(reply) = reply {
                    let text = String::from_utf8_lossy(&reply.body).into_owned();
                    self.record.line(format!(
                        "operator: {control} answers the manifest {} {text}",
                        reply.head.status()
                    ));
                    match reply.head.status() {
                        200 => return,
                        400 => self.stop_unable("the manifest was refused"),
                        _ => {}
                    }
                }
            }
            if Instant::now() > until {
                self.stop_unable("no control process acknowledged the manifest");
            }
            thread::sleep(Duration::from_millis(100));
        }
    }

    /// Waits until an entry says that it is ready.
    pub fn await_ready(&self, index: u8) {
        let until = Instant::now() + Duration::from_secs(20);
        let address = self.entry(index).at(READY_PORT);
        loop {
            let fields = [("Host", "entry")];
            let reply = http::call(address, "GET", "/readyz", &fields, b"", Duration::from_secs(1));
            if reply.is_ok_and(|reply| reply.head.status() == 200) {
                self.record.line(format!("edge-{index} is ready"));
                return;
            }
            if Instant::now() > until {
                self.stop_unable("an entry did not become ready");
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Ends the case with exit code 2: it could not run. The caller's `Drop` does not run on `exit`,
    /// so the processes are ended here.
    pub fn stop_unable(&self, why: &str) -> ! {
        self.record.line(format!("could not run: {why}"));
        for process in &self.processes {
            if let Some(child) = &process.child {
                signal(child.id(), "KILL");
            }
        }
        fs::remove_dir_all(&self.folder).ok();
        exit(2)
    }
}

impl Drop for World {
    fn drop(&mut self) {
        for index in 0..self.processes.len() {
            self.kill(index);
        }
        fs::remove_dir_all(&self.folder).ok();
    }
}

fn cannot_run(why: &str) -> ! {
    eprintln!("could not run: {why}");
    exit(2)
}

/// Sends a signal to a process that the case has started.
pub fn signal(pid: u32, name: &str) {
    Command::new("kill").args([&format!("-{name}"), &pid.to_string()]).status().ok();
}

fn is_free((second, third): (u8, u8)) -> bool {
    let ports = PEER_PORTS.map(|offset| PEER_PORT + offset);
    let fixed: [u16; 5] = [CONTROL_PORT, DIRECTORY_PORT, READY_PORT, FRONT_PORT, RUNNER_PORT];
    let machines = (10..14).chain(20..30).chain(40..50);
    machines.into_iter().all(|last| {
        let ip = Ipv4Addr::new(127, second, third, last);
        ports.iter().chain(&fixed).all(|port| {
            TcpListener::bind((ip, *port)).is_ok() && UdpSocket::bind((ip, *port)).is_ok()
        })
    })
}

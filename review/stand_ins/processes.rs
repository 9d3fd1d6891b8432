//! The project's own processes of a small deployment: three control members, one entry and the
//! agents of the side machines, each at a loopback address of its own.

use crate::record::Record;
use std::{
    fs::{self, File},
    net::TcpListener,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
};

pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;
const CONTROLS: usize = 3;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub struct Deployment {
    /// First two parts of all addresses.
    network: String,
    /// First port; the others follow it.
    port: u16,
    folder: PathBuf,
    children: Mutex<Vec<Child>>,
    agents: Vec<i32>,
}

impl Deployment {
    /// Starts all processes.
    pub fn start(side_machines: usize, record: &Arc<Record>) -> Result<Self, String> {
        let own_id = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-{own_id}"));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let mut deployment = Self {
            network: format!("127.{}", 20 + own_id % 200),
            port: 0,
            folder,
            children: Mutex::new(Vec::new()),
            agents: Vec::new(),
        };
        deployment.port = deployment.find_free_ports(side_machines)?;
        for index in 0..CONTROLS {
            let host = deployment.host(1, index);
            let data = deployment.folder.join(format!("data-{index}"));
            let data = data.display();
            let port = deployment.port;
            let role = format!(
                "\"control\":{{\"call_address\":\"{host}:{port}\",\"data_folder\":\"{data}\"}}"
            );
            deployment.spawn(&format!("core-{index}"), &host, 170.0, &role)?;
        }
        let host = deployment.host(2, 0);
        let role = format!(
            "\"entry\":{{\"caller_address\":\"{host}:{}\",\"health_address\":\"{host}:{}\",\"directory_address\":\"{host}:{}\"}}",
            deployment.port,
            deployment.port + 1,
            deployment.port + 2
        );
        deployment.spawn("edge-0", &host, 1000.0, &role)?;
        for index in 0..side_machines {
            let host = deployment.host(3, index);
            let address = deployment.runner_address(index);
            let role =
                format!("\"agent\":{{\"target_address\":\"{address}\",\"service\":\"models\"}}");
            let pid = deployment.spawn(&format!("side-{index}"), &host, 9.4, &role)?;
            deployment.agents.push(pid);
        }
        record
            .line(&format!("started {CONTROLS} control members, an entry, {side_machines} agents"));
        Ok(deployment)
    }

    fn host(&self, kind: usize, index: usize) -> String {
        format!("{}.{kind}.{}", self.network, index + 1)
    }

    /// A port such that it and those after it are free at the addresses.
    fn find_free_ports(&self, side_machines: usize) -> Result<u16, String> {
        const SPAN: u16 = 40;
        for _ in 0..50 {
            let probe = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
            let port = probe.local_addr().map_err(|error| error.to_string())?.port();
            if port > 65_000 {
                continue;
            }
            let hosts = (0..CONTROLS)
                .map(|index| self.host(1, index))
                .chain([self.host(2, 0), self.host(4, 0)])
                .chain((0..side_machines).map(|index| self.host(3, index)));
            let is_free = |host: &String| {
                (port..port + SPAN).all(|port| TcpListener::bind((host.as_str(), port)).is_ok())
            };
            if hosts.collect::<Vec<_>>().iter().all(is_free) {
                return Ok(port);
            }
        }
        Err("no free ports".to_owned())
    }

    /// Starts a process with the command of the deploy file, and settings as its template has them.
    fn spawn(&self, name: &str, host: &str, link: f64, role: &str) -> Result<i32, String> {
        let seeds: Vec<String> =
            self.control_addresses().iter().map(|address| format!("\"{address}\"")).collect();
        let settings = format!(
            r#"{{"instance":"{name}","zone":"thrace-a","host":"{host}","first_peer_port":{},"control_seeds":[{}],"link_mbps":{link},"founding":true,"announce_interval_seconds":1200e-3,"tolerated_losses":1,"stop_limit_seconds":8,"version_limit_seconds":8000e-3,"drain_limit_seconds":2000e-3,"regions":{{"thrace-a":"thrace"}},"retry_ratio":0.2,"retry_window_seconds":10,"retry_minimum":106,"memory_mb":256,{role}}}"#,
            self.port + 10,
            seeds.join(","),
        );
        let path = self.folder.join(format!("{name}.json"));
        fs::write(&path, settings).map_err(|error| error.to_string())?;
        let log = File::create(self.folder.join(format!("{name}.log")));
        let child = Command::new("target/release/egretseam")
            .arg("fleet")
            .env("EGRETSEAM_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log.map_err(|error| error.to_string())?)
            .stderr(Stdio::null())
            .spawn()
            .map_err(|error| format!("start {name}: {error}"))?;
        let pid = child.id() as i32;
        self.children.lock().expect("no holder panics").push(child);
        Ok(pid)
    }

    pub fn control_addresses(&self) -> Vec<String> {
        (0..CONTROLS).map(|index| format!("{}:{}", self.host(1, index), self.port)).collect()
    }

    pub fn entry_address(&self) -> String {
        format!("{}:{}", self.host(2, 0), self.port)
    }

    pub fn runner_address(&self, index: usize) -> String {
        format!("{}:{}", self.host(3, index), self.port)
    }

    pub fn origin_address(&self) -> String {
        format!("{}:{}", self.host(4, 0), self.port)
    }

    /// Sends a signal to the agent of a side machine.
    pub fn signal_agent(&self, index: usize, signal: i32) {
        // SAFETY: the call has no memory effects; the process is a child that was not waited for.
        unsafe { kill(self.agents[index], signal) };
    }

    /// Ends all processes and removes their files; keeps the files if `KEEP` is set.
    pub fn stop(&self) {
        for child in self.children.lock().expect("no holder panics").iter_mut() {
            child.kill().ok();
            child.wait().ok();
        }
        if std::env::var("KEEP").is_err() {
            fs::remove_dir_all(&self.folder).ok();
        }
    }
}

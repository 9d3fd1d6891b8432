//! Tests of the `egretseam` program in separate processes, which are killed, frozen, stopped and
//! replaced.

use crate::support::{API_KEY, WAIT_TIMEOUT, block_on};
use egretseam_fakes::{BookingLedger, FakeBookingService};
use egretseam_local::{CallOutcome, CallerClient, CallerCounts, SystemThread};
use std::{
    fs,
    net::TcpListener,
    path::{Path, PathBuf},
    process::{Child, Command, Output, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

/// Range of listener ports. It lies below the system's ephemeral ports, so that no outgoing
/// connection takes a port between its choice and the time when the process binds it.
const FIRST_PORT: u16 = 10_000;
const LAST_PORT: u16 = 30_000;

struct Deployment {
    folder: tempfile::TempDir,
    processes: Vec<Option<Child>>,
    operators: Vec<String>,
    callers: Vec<String>,
    ledger: BookingLedger,
    _target: SystemThread,
}

/// Ports chosen so far: tests run in parallel and must not choose the same.
static CHOSEN_PORTS: Mutex<Vec<u16>> = Mutex::new(Vec::new());

fn free_address() -> String {
    let mut chosen = CHOSEN_PORTS.lock().expect("no holder panics");
    loop {
        let port = FIRST_PORT + rand::random::<u16>() % (LAST_PORT - FIRST_PORT);
        if !chosen.contains(&port) && TcpListener::bind(("127.0.0.1", port)).is_ok() {
            chosen.push(port);
            return format!("127.0.0.1:{port}");
        }
    }
}

fn program() -> Command {
    Command::new(env!("CARGO_BIN_EXE_egretseam"))
}

fn wait_for<T>(what: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let started_at = Instant::now();
    while started_at.elapsed() < WAIT_TIMEOUT {
        if let Some(found) = poll() {
            return found;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    panic!("timed out after {WAIT_TIMEOUT:?} waiting for {what}");
}

impl Deployment {
    /// Starts three instances with a control member and an entry, and one with an agent in front of
    /// a plain service.
    fn start() -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        fs::write(folder.path().join("peer.token"), "peer-token-0123456789").expect("written");
        fs::write(folder.path().join("op.token"), "operator-token-0123456789").expect("written");
        fs::write(folder.path().join("keys"), format!("{API_KEY}\n")).expect("written");
        let ledger = BookingLedger::default();
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let target_address = listener.local_addr().expect("an address").to_string();
        let service = ledger.clone();
        let target = SystemThread::spawn("plain", move || {
            Ok(FakeBookingService::start(service, Duration::from_millis(20), listener)?)
        });
        let target = target.expect("the service starts");
        let addresses: Vec<String> = (0..16).map(|_| free_address()).collect();
        let members: Vec<&String> = (0..3).map(|n| &addresses[n * 4]).collect();
        for number in 0..3 {
            let at = &addresses[number * 4..number * 4 + 4];
            let settings = serde_json::json!({
                "instance": format!("instance-{number}"), "zone": format!("zone-{number}"),
                "peer_token_file": folder.path().join("peer.token"),
                "operator_token_file": folder.path().join("op.token"),
                "operator_address": at[1], "control_members": members,
                "control": {
                    "data_folder": folder.path().join(format!("data-{number}")),
                    "peer_address": at[0],
                },
                "entry": {
                    "caller_address": at[2], "peer_address": at[3],
                    "lease_millis": 2_000, "address_lifetime_seconds": 1,
                },
            });
            write_settings(folder.path(), number, &settings);
        }
        let settings = serde_json::json!({
            "instance": "plain-0", "zone": "zone-0",
            "peer_token_file": folder.path().join("peer.token"),
            "operator_token_file": folder.path().join("op.token"),
            "operator_address": addresses[12],
            "agent": {
                "group": "plain", "kind": "plain",
                "entries": [addresses[3], addresses[7], addresses[11]],
                "gate_address": addresses[13], "chunk_address": addresses[14],
                "target_address": target_address,
                "weights_folder": folder.path().join("weights"),
            },
        });
        write_settings(folder.path(), 3, &settings);
        let mut deployment = Self {
            folder,
            processes: (0..4).map(|_| None).collect(),
            operators: (0..3).map(|n| addresses[n * 4 + 1].clone()).collect(),
            callers: (0..3).map(|n| addresses[n * 4 + 2].clone()).collect(),
            ledger,
            _target: target,
        };
        deployment.bootstrap();
        deployment
    }

    fn bootstrap(&mut self) {
        assert!(self.init(0, "--founding").status.success());
        self.serve(0);
        for number in 1..3 {
            let joined = self.init(number, "--joining");
            assert!(joined.status.success());
            self.serve(number);
            let command = add_command(&joined, "add", None);
            wait_for("a member to be added", || {
                self.operate(0, &command).status.success().then_some(())
            });
        }
        self.serve(3);
        let keys = self.folder.path().join("keys").display().to_string();
        for command in [
            format!("organisation set kehila --keys-file {keys}"),
            "profile define plain --group plain".to_owned(),
            "service bind orders plain".to_owned(),
        ] {
            wait_for("a change to be accepted", || {
                self.operate(0, &command).status.success().then_some(())
            });
        }
    }

    fn settings(&self, number: usize) -> PathBuf {
        self.folder.path().join(format!("settings-{number}.json"))
    }

    fn init(&self, number: usize, kind: &str) -> Output {
        let mut command = program();
        command.arg("init").arg(kind).arg("--config").arg(self.settings(number));
        command.output().expect("the program runs")
    }

    fn serve(&mut self, number: usize) {
        let mut command = program();
        command.arg("serve").arg("--config").arg(self.settings(number));
        let child = command.stderr(Stdio::null()).spawn().expect("the program runs");
        self.processes[number] = Some(child);
    }

    /// Runs an operator's command at instance `number`.
    fn operate(&self, number: usize, command: &str) -> Output {
        let token = self.folder.path().join("op.token");
        let mut program = program();
        program.args(command.split_whitespace());
        program.arg("--operator").arg(&self.operators[number]).arg("--token-file").arg(token);
        program.output().expect("the program runs")
    }

    fn signal(&self, number: usize, signal: &str) {
        let id = self.processes[number].as_ref().expect("it runs").id();
        let sent = Command::new("kill").arg(signal).arg(id.to_string()).status();
        assert!(sent.expect("kill runs").success());
    }

    fn kill(&mut self, number: usize) {
        if let Some(mut child) = self.processes[number].take() {
            child.kill().ok();
            child.wait().ok();
        }
    }

    fn leader(&self, via: usize) -> Option<usize> {
        let output = self.operate(via, "members --json");
        let reply: serde_json::Value = serde_json::from_slice(&output.stdout).ok()?;
        reply["leader"].as_str()?.strip_prefix("instance-")?.parse().ok()
    }

    fn book(&self, number: usize, id: &str) -> CallOutcome {
        let (seeds, ledger) = (vec![self.callers[number].clone()], self.ledger.clone());
        let id = id.to_owned();
        block_on(async move {
            // Shorter than the default, because the address of a frozen instance is still listed.
            let caller = CallerClient::new(&seeds, API_KEY, Arc::new(CallerCounts::default()));
            let caller = caller.with_attempt_timeout(Duration::from_secs(3));
            caller.book("orders", &id, &ledger).await
        })
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for number in 0..self.processes.len() {
            self.kill(number);
        }
    }
}

fn write_settings(folder: &Path, number: usize, settings: &serde_json::Value) {
    let path = folder.join(format!("settings-{number}.json"));
    fs::write(path, settings.to_string()).expect("written");
}

/// The `members add` command that `init --joining` prints, with `verb` in place of `add`.
fn add_command(joined: &Output, verb: &str, lost: Option<&str>) -> String {
    let text = String::from_utf8_lossy(&joined.stdout).into_owned();
    let line = text.lines().last().expect("a command").trim();
    let rest = line.strip_prefix("egretseam members add ").expect("the command to add it");
    let lost = lost.map(|id| format!("--lost {id} ")).unwrap_or_default();
    format!("members {verb} {lost}{rest}")
}

/// Freezes the leader's process, loses an instance with its disk and replaces it, then kills
/// another, with bookings in between. Guards against lost changes that an operator saw committed,
/// bookings that are executed twice, and a group that fails at the next loss after a member was
/// replaced.
#[test]
fn processes_are_frozen_killed_lost_and_replaced() {
    let mut deployment = Deployment::start();
    wait_for("a booking", || (deployment.book(0, "first") == CallOutcome::Answered).then_some(()));

    // The leader's process freezes: its connections stay open but transfer no data.
    let leader = wait_for("a leader", || deployment.leader(0));
    let other = (leader + 1) % 3;
    deployment.signal(leader, "-STOP");
    wait_for("a change without the frozen leader", || {
        let change = "profile change plain --group plain --max-in-flight 9";
        deployment.operate(other, change).status.success().then_some(())
    });
    wait_for("a booking without it", || {
        (deployment.book(other, "frozen") == CallOutcome::Answered).then_some(())
    });
    deployment.signal(leader, "-CONT");
    wait_for("the resumed instance to have the change", || {
        let shown = deployment.operate(leader, "profile show plain");
        String::from_utf8_lossy(&shown.stdout).contains("\"max_in_flight\": 9").then_some(())
    });

    // An instance is lost with its disk and replaced under a new identity.
    let lost = (0..3).find(|number| Some(*number) != deployment.leader(other)).expect("a follower");
    let survivor = (0..3).find(|number| *number != lost).expect("another");
    let members = deployment.operate(survivor, "members --json");
    let reply: serde_json::Value = serde_json::from_slice(&members.stdout).expect("JSON");
    let is_lost = |member: &&serde_json::Value| member["name"] == format!("instance-{lost}");
    let record = reply["members"].as_array().expect("a list").iter().find(is_lost);
    let id = format!("{:016x}", record.expect("a member")["id"].as_u64().expect("a number"));
    deployment.kill(lost);
    fs::remove_dir_all(deployment.folder.path().join(format!("data-{lost}"))).expect("removed");
    let failed = program().arg("serve").arg("--config").arg(deployment.settings(lost)).output();
    let failed = failed.expect("the program runs");
    assert!(String::from_utf8_lossy(&failed.stderr).contains("init --joining"));
    let joined = deployment.init(lost, "--joining");
    deployment.serve(lost);
    let replace = add_command(&joined, "replace", Some(&id));
    wait_for("the replacement", || {
        deployment.operate(survivor, &replace).status.success().then_some(())
    });

    // A second instance is lost right after the replacement.
    let second = (0..3).find(|number| *number != lost && *number != survivor).expect("the third");
    deployment.kill(second);
    wait_for("a change after the second loss", || {
        let change = "profile change plain --group plain --max-in-flight 11";
        deployment.operate(survivor, change).status.success().then_some(())
    });
    wait_for("a booking after it", || {
        (deployment.book(lost, "after") == CallOutcome::Answered).then_some(())
    });
    for id in ["first", "frozen", "after"] {
        assert_eq!(deployment.ledger.booking_count(id), 1, "{id}");
    }
}

/// Sends SIGTERM to an instance while callers book through all entries. The instance leaves the
/// list of addresses, finishes its requests in progress and exits with success. No request gets a
/// wrong, missing or truncated response or a false verdict.
#[test]
fn a_terminated_instance_finishes_and_exits() {
    let mut deployment = Deployment::start();
    wait_for("a booking", || (deployment.book(1, "first") == CallOutcome::Answered).then_some(()));
    let stop = Arc::new(AtomicBool::new(false));
    let counts = Arc::new(CallerCounts::default());
    let load = {
        let (seeds, ledger) = (deployment.callers.clone(), deployment.ledger.clone());
        let (stop, counts) = (stop.clone(), counts.clone());
        std::thread::spawn(move || {
            block_on(async move {
                let caller = CallerClient::new(&seeds, API_KEY, counts);
                let mut number = 0;
                while !stop.load(Ordering::Relaxed) {
                    number += 1;
                    caller.book("orders", &format!("load-{number}"), &ledger).await;
                }
            });
        })
    };
    wait_for("load to begin", || (counts.answered.load(Ordering::Relaxed) > 3).then_some(()));
    deployment.signal(1, "-TERM");
    let status = wait_for("the process to end", || {
        deployment.processes[1].as_mut().expect("it ran").try_wait().expect("its status")
    });
    assert!(status.success());
    stop.store(true, Ordering::Relaxed);
    load.join().expect("no panic");
    let get = |counter: &std::sync::atomic::AtomicU64| counter.load(Ordering::Relaxed);
    let bad = [&counts.wrong, &counts.lost, &counts.cut_off, &counts.false_verdicts].map(get);
    assert_eq!(bad, [0; 4], "wrong, lost, cut off, false verdicts");
}

/// Scripts distinguish outcomes by exit codes.
#[test]
fn exit_codes_tell_outcomes_apart() {
    let deployment = Deployment::start();
    let code = |command: &str| deployment.operate(0, command).status.code();
    assert_eq!(code("profile list"), Some(0));
    assert_eq!(code("profile change plain --group plain --base 999"), Some(4));
    assert_eq!(code("profile show nothing"), Some(3));
    assert_eq!(code("profile retire plain"), Some(3));
    assert_eq!(code("profile frobnicate"), Some(2));
    assert_eq!(code("status --token-file /nowhere"), Some(2));
    let mut wrong_token = program();
    fs::write(deployment.folder.path().join("bad.token"), "not-the-operator-token")
        .expect("written");
    let bad = deployment.folder.path().join("bad.token");
    wrong_token.args(["status", "--operator", &deployment.operators[0], "--token-file"]).arg(bad);
    assert_eq!(wrong_token.output().expect("the program runs").status.code(), Some(3));
    let again = deployment.init(0, "--founding");
    assert_eq!(again.status.code(), Some(1));
    let in_use = program().arg("serve").arg("--config").arg(deployment.settings(0)).output();
    let in_use = in_use.expect("the program runs");
    assert_eq!(in_use.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&in_use.stderr).contains("listen on"));
}

//! Open-loop load: requests begin when they are due, whether or not earlier ones have ended, and
//! latency counts from when they were due, so that a stall shows in every request it delayed.

use awc::Client;
use egretseam_fakes::ExpectedCompletion;
use egretseam_http::{ClientOptions, classify_send_error, failure_from_headers, http_client};
use egretseam_proto::{ChunkDigest, RequestVerdict};
use futures::StreamExt;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    thread::JoinHandle,
    time::Duration,
};
use tokio::time::Instant;

/// How long a caller waits for one answer.
const CALL_LIMIT: Duration = Duration::from_secs(10);
/// Answers that take longer than this are of no use to their callers.
const USEFUL_WITHIN: Duration = Duration::from_secs(2);
/// Bytes of a beginning that several prompts share.
const SHARED_BYTES: usize = 4 * 1024;

/// One organisation's part of the load.
#[derive(Clone, Debug)]
pub(super) struct OrganisationLoad {
    pub(super) name: String,
    pub(super) key: String,
    pub(super) per_second: f64,
}

/// A load.
#[derive(Clone, Debug)]
pub(super) struct LoadPlan {
    pub(super) seeds: Vec<String>,
    pub(super) organisations: Vec<OrganisationLoad>,
    pub(super) run_time: Duration,
    pub(super) tokens: u64,
    /// Beginnings that prompts share, if they do.
    pub(super) shared_prefixes: Option<u64>,
    pub(super) versions: Vec<ChunkDigest>,
}

/// What a load came to.
#[derive(Debug, Default, Serialize)]
pub(super) struct LoadResult {
    pub(super) sent: u64,
    pub(super) answered: u64,
    pub(super) not_run: u64,
    pub(super) may_have_run: u64,
    pub(super) wrong: u64,
    pub(super) lost: u64,
    pub(super) cut_off: u64,
    /// Answers that ended with their entry's process, asked for again at another entry.
    pub(super) asked_again_after_entry_death: u64,
    pub(super) goodput_per_second: f64,
    pub(super) first_token_p50_ms: f64,
    pub(super) first_token_p95_ms: f64,
    pub(super) first_token_p99_ms: f64,
    pub(super) between_tokens_p95_ms: f64,
    pub(super) refusal_p99_ms: f64,
    pub(super) jain_fairness: f64,
    /// Answered part of what each organisation sent, in order.
    pub(super) answered_part: Vec<f64>,
    /// 95th percentile to the first token of all organisations but the first.
    pub(super) others_first_token_p95_ms: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnswerKind {
    Answered,
    NotRun,
    MayHaveRun,
    Wrong,
    Lost,
    CutOff,
}

struct LoadTally {
    counts: [Cell<u64>; 6],
    useful: Cell<u64>,
    asked_again: Cell<u64>,
    first: RefCell<Histogram<u64>>,
    others_first: RefCell<Histogram<u64>>,
    between: RefCell<Histogram<u64>>,
    refusals: RefCell<Histogram<u64>>,
    by_organisation: RefCell<Vec<(u64, u64)>>,
}

/// Runs a load on a thread of its own.
pub(super) fn spawn(plan: LoadPlan) -> JoinHandle<anyhow::Result<LoadResult>> {
    std::thread::spawn(move || actix_rt::System::new().block_on(run(plan)))
}

async fn run(plan: LoadPlan) -> anyhow::Result<LoadResult> {
    let histogram = || anyhow::Ok(RefCell::new(Histogram::new(3)?));
    let tally = Rc::new(LoadTally {
        counts: Default::default(),
        useful: Cell::new(0),
        asked_again: Cell::new(0),
        first: histogram()?,
        others_first: histogram()?,
        between: histogram()?,
        refusals: histogram()?,
        by_organisation: RefCell::new(vec![(0, 0); plan.organisations.len()]),
    });
    let plan = Rc::new(plan);
    let client = http_client(ClientOptions::default());
    let senders = (0..plan.organisations.len())
        .map(|at| send_all(plan.clone(), at, client.clone(), tally.clone()));
    let tasks: Vec<_> = futures::future::join_all(senders).await.into_iter().flatten().collect();
    futures::future::join_all(tasks).await;
    Ok(result_of(&plan, &tally))
}

type RequestTask = actix_rt::task::JoinHandle<()>;

async fn send_all(
    plan: Rc<LoadPlan>,
    at: usize,
    client: Client,
    tally: Rc<LoadTally>,
) -> Vec<RequestTask> {
    let interval = Duration::from_secs_f64(1.0 / plan.organisations[at].per_second);
    let begun = Instant::now();
    let mut due = begun + interval.mul_f64(at as f64 / plan.organisations.len() as f64);
    let mut tasks = Vec::new();
    let mut number = 0;
    while due < begun + plan.run_time {
        tokio::time::sleep_until(due).await;
        number += 1;
        let (plan, client, tally) = (plan.clone(), client.clone(), tally.clone());
        tasks.push(actix_rt::spawn(send_one(plan, at, number, due, client, tally)));
        due += interval;
    }
    tasks
}

async fn send_one(
    plan: Rc<LoadPlan>,
    at: usize,
    number: u64,
    due: Instant,
    client: Client,
    tally: Rc<LoadTally>,
) {
    let prompt = prompt_of(&plan, at, number);
    let mut kind = AnswerKind::NotRun;
    // A caller that is told `not-run`, or cannot connect, goes to its next address.
    for attempt in 0..plan.seeds.len() {
        let address = &plan.seeds[(number as usize + attempt) % plan.seeds.len()];
        let (found, connected) = ask(&plan, at, address, &prompt, due, &client, &tally).await;
        kind = found;
        let broken = matches!(kind, AnswerKind::CutOff | AnswerKind::Lost);
        if broken && is_dead(address).await {
            // Generating text may be repeated, and the entry cannot answer any more.
            tally.asked_again.set(tally.asked_again.get() + 1);
            continue;
        }
        if kind != AnswerKind::NotRun || connected {
            break;
        }
    }
    let slot = &tally.counts[kind as usize];
    slot.set(slot.get() + 1);
    if kind == AnswerKind::NotRun {
        tally.refusals.borrow_mut().record(due.elapsed().as_micros() as u64).ok();
    }
    let mut organisations = tally.by_organisation.borrow_mut();
    organisations[at].0 += 1;
    if kind == AnswerKind::Answered {
        organisations[at].1 += 1;
        if due.elapsed() < USEFUL_WITHIN {
            tally.useful.set(tally.useful.get() + 1);
        }
    }
}

/// Whether nothing listens at an address any more.
async fn is_dead(address: &str) -> bool {
    tokio::net::TcpStream::connect(address).await.is_err()
}

fn prompt_of(plan: &LoadPlan, at: usize, number: u64) -> String {
    match plan.shared_prefixes {
        None => format!("organisation {at} asks {number}"),
        Some(count) => {
            // Spread over the beginnings without a pattern that matches the targets' number.
            let which = number.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(at as u64) >> 13;
            let word = format!("beginning {:04} ", which % count);
            let mut prompt = word.repeat(SHARED_BYTES / word.len());
            prompt.push_str(&format!("organisation {at} asks {number}"));
            prompt
        }
    }
}

/// One send; also says whether a connection was made.
async fn ask(
    plan: &LoadPlan,
    at: usize,
    address: &str,
    prompt: &str,
    due: Instant,
    client: &Client,
    tally: &LoadTally,
) -> (AnswerKind, bool) {
    let body = serde_json::json!({
        "model": "chat", "prompt": prompt, "max_tokens": plan.tokens, "stream": true,
    });
    let call = client.post(format!("http://{address}/v1/completions"));
    let call = call.bearer_auth(&plan.organisations[at].key).timeout(CALL_LIMIT);
    let mut answer = match call.send_json(&body).await {
        Ok(answer) => answer,
        Err(error) => {
            let not_run = classify_send_error(&error).verdict == RequestVerdict::NotRun;
            return (if not_run { AnswerKind::NotRun } else { AnswerKind::Lost }, false);
        }
    };
    if let Some(report) = failure_from_headers(answer.headers()) {
        let not_run = report.verdict == RequestVerdict::NotRun;
        return (if not_run { AnswerKind::NotRun } else { AnswerKind::MayHaveRun }, true);
    }
    let mut text = String::new();
    let mut last: Option<Instant> = None;
    while let Some(piece) = answer.next().await {
        let Ok(piece) = piece else { return (AnswerKind::CutOff, true) };
        let now = Instant::now();
        match last {
            None => {
                let micros = (now - due).as_micros() as u64;
                tally.first.borrow_mut().record(micros).ok();
                if at > 0 {
                    tally.others_first.borrow_mut().record(micros).ok();
                }
            }
            Some(last) => {
                tally.between.borrow_mut().record((now - last).as_micros() as u64).ok();
            }
        }
        last = Some(now);
        text.push_str(&String::from_utf8_lossy(&piece));
    }
    (judge(plan, prompt, &text), true)
}

fn judge(plan: &LoadPlan, prompt: &str, text: &str) -> AnswerKind {
    let mut whole = String::new();
    let mut done = false;
    for event in text.split("\n\n") {
        let Some(data) = event.strip_prefix("data: ") else { continue };
        if data == "[DONE]" {
            done = true;
        } else if let Ok(reply) = serde_json::from_str::<serde_json::Value>(data) {
            whole.push_str(reply["choices"][0]["text"].as_str().unwrap_or_default());
        }
    }
    let right = |version: &ChunkDigest| {
        ExpectedCompletion::new(*version, prompt).text(plan.tokens) == whole
    };
    match (done, plan.versions.iter().any(right)) {
        (false, _) => AnswerKind::CutOff,
        (true, true) => AnswerKind::Answered,
        (true, false) => AnswerKind::Wrong,
    }
}

fn result_of(plan: &LoadPlan, tally: &LoadTally) -> LoadResult {
    let count = |kind: AnswerKind| tally.counts[kind as usize].get();
    let millis = |histogram: &RefCell<Histogram<u64>>, quantile: f64| {
        histogram.borrow().value_at_quantile(quantile) as f64 / 1e3
    };
    let organisations = tally.by_organisation.borrow();
    let parts: Vec<f64> = organisations
        .iter()
        .map(|(sent, answered)| *answered as f64 / (*sent).max(1) as f64)
        .collect();
    let (sum, squares) =
        parts.iter().fold((0.0, 0.0), |(sum, squares), x| (sum + x, squares + x * x));
    LoadResult {
        sent: tally.counts.iter().map(Cell::get).sum(),
        answered: count(AnswerKind::Answered),
        not_run: count(AnswerKind::NotRun),
        may_have_run: count(AnswerKind::MayHaveRun),
        wrong: count(AnswerKind::Wrong),
        lost: count(AnswerKind::Lost),
        cut_off: count(AnswerKind::CutOff),
        asked_again_after_entry_death: tally.asked_again.get(),
        goodput_per_second: tally.useful.get() as f64 / plan.run_time.as_secs_f64(),
        first_token_p50_ms: millis(&tally.first, 0.5),
        first_token_p95_ms: millis(&tally.first, 0.95),
        first_token_p99_ms: millis(&tally.first, 0.99),
        between_tokens_p95_ms: millis(&tally.between, 0.95),
        refusal_p99_ms: millis(&tally.refusals, 0.99),
        jain_fairness: sum * sum / (parts.len() as f64 * squares).max(f64::MIN_POSITIVE),
        answered_part: parts,
        others_first_token_p95_ms: millis(&tally.others_first, 0.95),
    }
}

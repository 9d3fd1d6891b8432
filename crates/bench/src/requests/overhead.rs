//! What entry and agent cost over a direct call, and beside a bare relay of ours.

use super::{STEP_LIMIT, profile};
use crate::usage::cpu_seconds;
use actix_http::{Request, Response, body::BodyStream};
use egretseam_fakes::EngineOptions;
use egretseam_http::{
    ClientOptions, HttpHandler, HttpReply, ServerHandle, ServerOptions, http_client, read_body,
    spawn_server,
};
use egretseam_local::{ClusterOptions, LocalCluster, SystemThread};
use futures::future::LocalBoxFuture;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::{
    cell::Cell,
    net::TcpListener,
    rc::Rc,
    time::{Duration, Instant},
};

/// Calls one after the other on each path.
const CALLS: usize = 3_000;
/// Callers at a time for the cost in processor time.
const CALLERS: usize = 32;
/// How long they call.
const LOAD_TIME: Duration = Duration::from_secs(3);
/// Events of a long answer.
const LONG_ANSWER: u64 = 129;
/// The organisation's key.
const KEY: &str = "bench-organisation-key-0";

#[derive(Debug, Serialize)]
struct PathRow {
    path: &'static str,
    p50_ms: f64,
    p99_ms: f64,
    calls_per_second: f64,
    cpu_micros_per_call: f64,
}

#[derive(Debug, Serialize)]
struct OverheadRow {
    paths: Vec<PathRow>,
    added_p50_ms: f64,
    added_p99_ms: f64,
    /// Processor time of entry and agent for each event of a stream.
    cpu_micros_per_event: f64,
    /// Processor time of two bare relays in a row over that of entry and agent.
    throughput_per_core_of_relay: f64,
}

/// Measures all three paths in one run.
pub(super) fn measure() -> anyhow::Result<()> {
    let engine = EngineOptions {
        slots: 64,
        token_interval: Duration::ZERO,
        prefill_block_time: Duration::ZERO,
        load_time: Duration::ZERO,
        ..EngineOptions::default()
    };
    let cluster = LocalCluster::start(ClusterOptions {
        entries: 1,
        model_agents: 1,
        plain_agents: 0,
        engine,
        ..ClusterOptions::default()
    })?;
    let model = cluster.publish("model", "v1", 1, super::MODEL_BYTES, 64 * 1024)?;
    cluster.add_organisation("org-0", KEY, 1)?;
    let mut spec = profile(&model)?;
    spec.max_in_flight = 64;
    cluster.define_profile("model", spec)?;
    cluster.bind_service("chat", "model")?;
    cluster.wait_for_replicas("runners", Some(model.manifest), 1, STEP_LIMIT)?;
    let target = cluster.agent("runner-0").map(|agent| agent.target_address.clone());
    let target = target.unwrap_or_default();
    let (_relay, relay) = start_relay(target.clone())?;
    let direct = path("direct", &target)?;
    let relayed = path("one bare relay", &relay)?;
    let ours = path("entry and agent", &cluster.caller_addresses()[0])?;
    let relay_cost = relayed.cpu_micros_per_call - direct.cpu_micros_per_call;
    let own_cost = ours.cpu_micros_per_call - direct.cpu_micros_per_call;
    let entry = &cluster.caller_addresses()[0];
    let direct_event = event_cost(&target)?;
    let own_event = event_cost(entry)?;
    let row = OverheadRow {
        cpu_micros_per_event: own_event - direct_event,
        added_p50_ms: ours.p50_ms - direct.p50_ms,
        added_p99_ms: ours.p99_ms - direct.p99_ms,
        throughput_per_core_of_relay: 2.0 * relay_cost / own_cost,
        paths: vec![direct, relayed, ours],
    };
    println!("{}", serde_json::to_string_pretty(&row)?);
    Ok(())
}

/// Processor time of one event of a stream on a path, from short and long answers.
fn event_cost(address: &str) -> anyhow::Result<f64> {
    let address = address.to_owned();
    actix_rt::System::new().block_on(async move {
        let client = http_client(ClientOptions::default());
        let short = load_cost(&client, &address, 1).await?;
        let long = load_cost(&client, &address, LONG_ANSWER).await?;
        Ok((long - short) / (LONG_ANSWER - 1) as f64)
    })
}

/// Processor microseconds of one streamed call under load.
async fn load_cost(client: &awc::Client, address: &str, events: u64) -> anyhow::Result<f64> {
    let cpu = cpu_seconds();
    let begun = Instant::now();
    let count = Rc::new(Cell::new(0_u64));
    let callers = (0..CALLERS).map(|_| {
        let (client, count) = (client.clone(), count.clone());
        async move {
            while begun.elapsed() < LOAD_TIME {
                if call(&client, address, events, true).await.is_ok() {
                    count.set(count.get() + 1);
                }
            }
        }
    });
    futures::future::join_all(callers).await;
    anyhow::ensure!(count.get() > 0, "no call succeeded at {address}");
    Ok((cpu_seconds() - cpu) * 1e6 / count.get() as f64)
}

fn path(name: &'static str, address: &str) -> anyhow::Result<PathRow> {
    let address = address.to_owned();
    actix_rt::System::new().block_on(async move {
        let client = http_client(ClientOptions::default());
        let mut times = Histogram::<u64>::new(3)?;
        for _ in 0..CALLS {
            let sent = Instant::now();
            call(&client, &address, 1, false).await?;
            times.record(sent.elapsed().as_micros() as u64)?;
        }
        let cpu = cpu_seconds();
        let begun = Instant::now();
        let count = Rc::new(Cell::new(0_u64));
        let callers = (0..CALLERS).map(|_| {
            let (client, address, count) = (client.clone(), address.clone(), count.clone());
            async move {
                while begun.elapsed() < LOAD_TIME {
                    if call(&client, &address, 1, false).await.is_ok() {
                        count.set(count.get() + 1);
                    }
                }
            }
        });
        futures::future::join_all(callers).await;
        let seconds = begun.elapsed().as_secs_f64();
        let calls = count.get().max(1) as f64;
        Ok(PathRow {
            path: name,
            p50_ms: times.value_at_quantile(0.5) as f64 / 1e3,
            p99_ms: times.value_at_quantile(0.99) as f64 / 1e3,
            calls_per_second: calls / seconds,
            cpu_micros_per_call: (cpu_seconds() - cpu) * 1e6 / calls,
        })
    })
}

async fn call(
    client: &awc::Client,
    address: &str,
    events: u64,
    stream: bool,
) -> anyhow::Result<()> {
    let body = serde_json::json!({
        "model": "chat", "prompt": "short", "max_tokens": events, "stream": stream,
    });
    let call = client.post(format!("http://{address}/v1/completions")).bearer_auth(KEY);
    let answer = call.send_json(&body).await;
    let mut answer = answer.map_err(|error| anyhow::anyhow!("{error}"))?;
    anyhow::ensure!(answer.status().is_success(), "status {}", answer.status());
    answer.body().await?;
    Ok(())
}

/// A relay that does nothing but pass requests and answers on.
struct BareRelay {
    client: awc::Client,
    upstream: String,
}

impl HttpHandler for BareRelay {
    fn handle(self: Rc<Self>, mut request: Request) -> LocalBoxFuture<'static, HttpReply> {
        Box::pin(async move {
            let Ok(body) = read_body(&mut request.take_payload(), 1 << 20).await else {
                return Response::bad_request().map_into_boxed_body();
            };
            let url = format!("http://{}{}", self.upstream, request.path());
            match self.client.request(request.method().clone(), url).send_body(body).await {
                Ok(answer) => {
                    let mut reply = Response::build(answer.status());
                    reply.body(BodyStream::new(answer)).map_into_boxed_body()
                }
                Err(_) => Response::internal_server_error().map_into_boxed_body(),
            }
        })
    }
}

fn start_relay(upstream: String) -> anyhow::Result<(SystemThread, String)> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?.to_string();
    let thread = SystemThread::spawn("relay", move || {
        let client = http_client(ClientOptions::default());
        let relay = Rc::new(BareRelay { client, upstream });
        let handle: ServerHandle = spawn_server(listener, relay, ServerOptions::default())?;
        Ok(handle)
    })?;
    Ok((thread, address))
}

//! Configurations for property tests.

use egretseam_serving::{
    RawColdLimit, RawDestination, RawEngine, RawEngineTimes, RawOrganisation, RawOrigin, RawRoute,
    RawService, RawServing,
};
use proptest::{collection::vec, option, prelude::*, sample::select};
use serde_json::{Value, json};

/// A configuration without errors.
pub(crate) fn valid_config() -> Value {
    let route = |name: &str, prefix: &str| {
        json!({"name": name, "host": "a.example", "pathPrefix": prefix, "kind": "idempotent",
               "timeoutMs": 1000, "service": "orders", "allowedRegions": []})
    };
    let mut split = route("split", "/x/");
    split["trafficSplit"] =
        json!([{"service": "orders", "weight": 1}, {"service": "runner", "weight": 0}]);
    json!({
        "version": 1,
        "routes": [route("plain", "/"), split, route("other", "/y/")],
        "services": [
            {"name": "orders"},
            {"name": "runner", "engine": {"slots": 2, "models": [{"name": "m-1"}]},
             "coldPerS": 5, "coldStartS": 3},
            {"name": "store", "origin": "127.0.0.1:9", "zone": "z1"},
            {"name": "spare", "coldPerS": 0}
        ],
        "tenants": [{"name": "kehila", "apiKeys": ["key-a"], "allowedRegions": ["north"]},
                    {"name": "wrzos", "apiKeys": ["key-b", "key-c"]}]
    })
}

/// Names, a few of them invalid or equal.
fn any_name() -> impl Strategy<Value = String> {
    select(vec!["a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", ""]).prop_map(str::to_owned)
}

prop_compose! {
    fn any_route()(
        name in any_name(),
        host in select(vec!["a.example", "A.example", "b.example", "c.example"]),
        prefix in select(vec!["/", "/x/", "/x/y/", "/z/", "/q/", "bad"]),
        timeout_millis in select(vec![0, 500, 1_000, 2_000, 3_000, 4_000]),
        destinations in vec((any_name(), 0..4_u32), 1..3),
        split in any::<bool>(),
        regions in vec(any_name(), 0..2),
    ) -> RawRoute {
        let destination = |(service, weight)| RawDestination { service, weight };
        let destinations = destinations.into_iter().map(destination).collect();
        let (host, prefix) = (host.to_owned(), prefix.to_owned());
        RawRoute { name, host, prefix, timeout_millis, destinations, split, regions,
                   ..RawRoute::default() }
    }
}

prop_compose! {
    fn any_service()(
        name in any_name(),
        models in option::of(vec(any_name(), 0..2)),
        zone in option::of(any_name()),
        rate in select(vec![0.0, 1.0, 5.0, 9.5, -1.0, f64::INFINITY]),
        seconds in select(vec![0.0, 1.0, 2.0, 3.0, 60.0, 1e9]),
    ) -> RawService {
        let engine = |models| RawEngine {
            slots: 1, models, chunks: 0, chunk_bytes: 0, times: RawEngineTimes::default(),
        };
        let address = "127.0.0.1:9".parse().expect("an address");
        RawService {
            name,
            health_path: String::new(),
            max_connections: 0,
            engine: models.map(engine),
            origin: zone.map(|zone| RawOrigin { address, zone }),
            cold_limit: RawColdLimit { rate, seconds },
        }
    }
}

prop_compose! {
    fn any_organisation()(
        name in any_name(),
        keys in vec("key-[a-h]", 0..3),
        regions in vec(any_name(), 0..2),
    ) -> RawOrganisation {
        RawOrganisation { name, keys, priority: None, regions }
    }
}

prop_compose! {
    /// A configuration that is valid or not. The routes use the configured services more often than
    /// others.
    pub(crate) fn any_config()(
        mut routes in vec(any_route(), 0..4),
        services in vec(any_service(), 0..4),
        organisations in option::of(vec(any_organisation(), 0..3)),
        links in vec(option::weighted(0.8, 0..4_usize), 8),
    ) -> RawServing {
        let destinations = routes.iter_mut().flat_map(|route| &mut route.destinations);
        for (destination, link) in destinations.zip(links) {
            if let Some(service) = link.and_then(|index| services.get(index)) {
                destination.service.clone_from(&service.name);
            }
        }
        RawServing { version: 1, routes, services, organisations, ..RawServing::default() }
    }
}

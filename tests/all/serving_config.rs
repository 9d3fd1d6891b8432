//! Configurations as operators send them: validation, and lookup of routes and keys.

use egretseam_platform::PlatformControl;
use egretseam_registrar::ControlDialect;
use egretseam_serving::{AccessError, ConfigError, RouteKind, RouteTable, ServingConfig};
use serde_json::{Value, json};

fn route(name: &str, host: &str, prefix: &str) -> Value {
    json!({
        "name": name, "host": host, "pathPrefix": prefix, "kind": "idempotent", "timeoutMs": 1000,
        "targetLatencyMs": 150, "priority": 1, "service": "orders", "maxAttempts": 2,
        "public": false
    })
}

pub(crate) fn config(version: u64, routes: Value) -> Value {
    json!({
        "version": version,
        "routes": routes,
        "services": [
            {"name": "orders", "healthPath": "/healthz", "maxConnections": 100, "protocol": "h1",
             "tls": false},
            {"name": "store", "origin": "127.0.0.1:9", "zone": "z1", "linkMbps": 7.3,
             "maxConnections": 48}
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
        "tenants": [{"name": "kehila", "apiKeys": ["key-a", "key-b"], "priority": 0},
                    {"name": "wrzos", "apiKeys": ["key-c"]}]
    })
}

pub(crate) fn check(config: &Value) -> Result<ServingConfig, String> {
    let raw = PlatformControl.parse_config(config.to_string().as_bytes())?;
    ServingConfig::try_from(raw).map_err(|error| error.to_string())
}

#[test]
fn a_valid_configuration_is_read_completely() {
    let mut split = route("split", "b.example", "/x/");
    split["trafficSplit"] =
        json!([{"service": "orders", "weight": 90}, {"service": "store", "weight": 10}]);
    split["kind"] = json!("streaming");
    split["streamResume"] = json!(true);
    split.as_object_mut().expect("an object").remove("service");
    let routes = json!([route("one", "a.example", "/"), split]);
    let checked = check(&config(7, routes)).expect("a valid configuration");
    assert_eq!(checked.version, 7);
    assert_eq!(checked.routes[1].kind, RouteKind::Stream { resumable: true });
    assert!(checked.origin().is_some());
    let picked = |point: u32| checked.routes[1].destination(point).as_str().to_owned();
    assert_eq!((picked(0), picked(u32::MAX)), ("orders".to_owned(), "store".to_owned()));
}

/// An edit that makes a valid configuration invalid.
type Edit<'a> = &'a dyn Fn(&mut Value);

#[test]
fn invalid_configurations_are_rejected() {
    let error_after = |edit: Edit<'_>| {
        let mut config = config(2, json!([route("one", "a.example", "/x/")]));
        edit(&mut config);
        check(&config).expect_err("an invalid configuration")
    };
    let cases: [(&str, Edit); 8] = [
        ("no service nowhere", &|c| c["routes"][0]["service"] = json!("nowhere")),
        ("timeout is 0", &|c| c["routes"][0]["timeoutMs"] = json!(0)),
        ("same host and prefix", &|c| {
            let duplicate = c["routes"][0].clone();
            c["routes"].as_array_mut().expect("a list").push(duplicate);
        }),
        ("add up to 0", &|c| {
            c["routes"][0]["trafficSplit"] = json!([{"service": "orders", "weight": 0}]);
        }),
        ("share a key", &|c| c["tenants"][1]["apiKeys"] = json!(["key-a"])),
        ("stands there twice", &|c| c["tenants"][1]["name"] = json!("kehila")),
        ("unknown kind", &|c| c["routes"][0]["kind"] = json!("sometimes")),
        ("missing field", &|c| {
            c.as_object_mut().expect("an object").remove("services");
        }),
    ];
    for (expected, edit) in cases {
        let error = error_after(edit);
        assert!(error.contains(expected), "{expected}: {error}");
    }
    let complete = config(2, json!([route("one", "a.example", "/x/")])).to_string();
    for length in [0, 1, complete.len() / 2, complete.len() - 1] {
        assert!(
            PlatformControl.parse_config(&complete.as_bytes()[..length]).is_err(),
            "truncated to {length} bytes"
        );
    }
}

#[test]
fn routes_whose_hosts_differ_only_by_case_are_duplicates() {
    let routes = json!([route("one", "A.example", "/x/"), route("two", "a.EXAMPLE", "/x/")]);
    let raw = PlatformControl
        .parse_config(config(1, routes).to_string().as_bytes())
        .expect("a readable configuration");
    let error = ServingConfig::try_from(raw).expect_err("two routes with one host and prefix");
    assert_eq!(error, ConfigError::DuplicateRoute("one".to_owned(), "two".to_owned()));
}

#[test]
fn the_longest_prefix_wins_and_keys_are_checked() {
    let mut open = route("open", "a.example", "/open/");
    open["public"] = json!(true);
    let routes =
        json!([route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"), open,]);
    let table = RouteTable::new(check(&config(1, routes)).expect("a valid configuration"));
    let name = |host: &str, path: &str| table.route(host, path).map(|route| route.name.clone());
    assert_eq!(name("a.example", "/x/y/z").as_deref(), Some("long"));
    assert_eq!(name("A.Example:80", "/x/yy").as_deref(), Some("short"));
    assert_eq!(name("a.example", "/x"), None);
    assert_eq!(name("b.example", "/x/"), None);

    let short = table.route("a.example", "/x/1").expect("a route").clone();
    let open = table.route("a.example", "/open/1").expect("a route").clone();
    let holder = |route, key| {
        table.authorise(route, key).map(|holder| holder.map(|h| h.organisation.to_string()))
    };
    assert_eq!(holder(&short, Some("key-b")), Ok(Some("kehila".to_owned())));
    assert_eq!(holder(&short, Some("key-x")), Err(AccessError::UnknownKey));
    assert_eq!(holder(&short, None), Err(AccessError::MissingKey));
    assert_eq!(holder(&open, None), Ok(None));
    assert_eq!(holder(&open, Some("key-c")), Ok(Some("wrzos".to_owned())));
}

#[test]
fn a_route_is_found_among_thousands() {
    let routes: Vec<Value> =
        (0..3_000).map(|at| route(&format!("r{at}"), "a.example", &format!("/p{at}/"))).collect();
    let table = RouteTable::new(check(&config(1, json!(routes))).expect("a valid configuration"));
    let found = table.route("a.example", "/p2999/deep/down").expect("a route");
    assert_eq!(found.name, "r2999");
}

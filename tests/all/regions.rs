//! Requests that may be handled in some regions only: placement, and the entries that callers are
//! sent to.

use crate::serving_tables::{address, id, query, record, service, status};
use egretseam_proto::{RegionName, ZoneName};
use egretseam_serving::{
    AddressQuery, AllowedRegions, EntryRecord, EntryRoster, KeyHolder, PlacementOutcome,
    PlacementPolicy, PlacementQuery, RegionFilter, RouteTable, ServingConfig, TargetId,
    TargetState, TargetTable, ZoneRegions, decode_config, encode_config,
};
use proptest::prelude::*;
use serde_json::json;
use std::time::Duration;
use tokio::time::Instant;

fn zone(name: &str) -> ZoneName {
    ZoneName::try_from(name).expect("a valid name")
}

/// Zones `z1` to `z3`, each in a region of its own, `r1` to `r3`.
fn zone_regions() -> ZoneRegions {
    let region = |number: u8| RegionName::try_from(format!("r{number}")).expect("a valid name");
    (1..=3).map(|number| (zone(&format!("z{number}")), region(number))).collect()
}

fn allowed(names: &[&str]) -> Option<AllowedRegions> {
    let names = names.iter().map(|name| (*name).to_owned()).collect();
    AllowedRegions::check(names).expect("valid names")
}

/// An entry in `z1` with one target in each of the zones `z1` to `z4`; the region of `z4` is unknown.
fn table(now: Instant) -> TargetTable {
    let mut table =
        TargetTable::new(PlacementPolicy::default(), zone("z1")).with_regions(zone_regions());
    for host in 1..=4 {
        let mut record = record(host, 1, TargetState::Ready);
        record.zone = zone(&format!("z{host}"));
        table.apply_target(0, &status(record), now);
    }
    table
}

fn choose(
    table: &TargetTable,
    regions: Option<&AllowedRegions>,
    tried: &[TargetId],
    now: Instant,
) -> PlacementOutcome {
    let (service, model) = (service(), crate::serving_tables::model());
    let query = PlacementQuery { regions, ..query(&service, &model, tried) };
    table.choose(&query, now)
}

/// Guards against requests, retries among them, that reach a target outside the regions of their
/// route, or in a zone of unknown region.
#[actix_rt::test]
async fn requests_never_leave_their_regions() {
    let now = Instant::now();
    let table = table(now);
    for _ in 0..200 {
        let regions = allowed(&["r2", "r3"]);
        let PlacementOutcome::Target(first) = choose(&table, regions.as_ref(), &[], now) else {
            panic!("two targets are free");
        };
        assert!([id(2), id(3)].contains(&first), "{first}");
        let second = choose(&table, regions.as_ref(), std::slice::from_ref(&first), now);
        let other = if first == id(2) { id(3) } else { id(2) };
        assert_eq!(second, PlacementOutcome::Target(other));
        let both = [id(2), id(3)];
        assert_eq!(choose(&table, regions.as_ref(), &both, now), PlacementOutcome::Full);
    }
}

/// Guards against requests that wait for a place which none of their regions can have.
#[actix_rt::test]
async fn requests_without_a_region_expect_no_capacity() {
    let now = Instant::now();
    let table = table(now);
    let (service, model) = (service(), crate::serving_tables::model());
    let conflict = AllowedRegions::combine(allowed(&["r1"]).as_ref(), allowed(&["r2"]).as_ref());
    let conflict = conflict.expect("both restrict");
    assert!(conflict.is_empty());
    let query = PlacementQuery { regions: Some(&conflict), ..query(&service, &model, &[]) };
    assert_eq!(table.choose(&query, now), PlacementOutcome::NoTarget);
    assert!(!table.expects_capacity(&query, now));
    let elsewhere = allowed(&["r9"]);
    let query = PlacementQuery { regions: elsewhere.as_ref(), ..query };
    assert!(!table.expects_capacity(&query, now + Duration::from_secs(4)));
}

/// Guards against the loss of restrictions on the way from an operator to an entry, and against
/// members and entries of releases beside each other that cannot read each other's configurations.
#[test]
fn restrictions_reach_entries_and_earlier_releases_can_read_the_rest() {
    let route = |name: &str| {
        json!({
            "name": name, "host": "A.example", "pathPrefix": format!("/{name}/"),
            "kind": "idempotent", "timeoutMs": 1000, "service": "orders"
        })
    };
    let mut config = crate::serving_config::config(3, json!([route("all"), route("some")]));
    let plain = crate::serving_config::check(&config).expect("valid");
    config["routes"][0]["allowedRegions"] = json!([]);
    config["routes"][1]["allowedRegions"] = json!(["r1", "r2", "r1"]);
    config["tenants"][0]["allowedRegions"] = json!(["r2", "r3"]);
    config["services"][0]["coldStartS"] = json!(3.0);
    config["services"][0]["coldPerS"] = json!(23.0);
    let checked = crate::serving_config::check(&config).expect("valid");
    let bytes = encode_config(&checked);
    assert_eq!(decode_config(&bytes), Ok(checked.clone()));
    // An earlier release stops after the fields that it knows.
    let earlier: ServingConfig = postcard::from_bytes(&bytes).expect("decodable");
    assert_eq!(earlier, plain);
    let from_earlier = postcard::to_stdvec(&plain).expect("in memory");
    assert_eq!((decode_config(&from_earlier), encode_config(&plain)), (Ok(plain), from_earlier));

    let routes = RouteTable::new(checked);
    let route = routes.route("a.example:80", "/some/x").expect("a route").clone();
    let holder = routes.authorise(&route, Some("key-a")).expect("a known key").cloned();
    let Some(KeyHolder { regions: Some(own), .. }) = holder else { panic!("restricted") };
    let both = AllowedRegions::combine(route.regions.as_ref(), Some(&own));
    assert_eq!(both, allowed(&["r2"]));
    assert_eq!(routes.host_regions("a.example"), allowed(&["r1", "r2"]).as_ref());
    assert_eq!(routes.route("a.example", "/all/").expect("a route").regions, None);
}

#[test]
fn invalid_regions_and_cold_limits_are_rejected() {
    let route = json!([{
        "name": "one", "host": "a.example", "pathPrefix": "/", "kind": "idempotent",
        "timeoutMs": 1000, "service": "orders"
    }]);
    let error_with = |path: &str, value: serde_json::Value| {
        let mut config = crate::serving_config::config(1, route.clone());
        *config.pointer_mut(path).expect("a place") = value;
        crate::serving_config::check(&config).expect_err("an invalid configuration")
    };
    let error = error_with("/tenants/0", json!({"name": "k", "allowedRegions": ["a b"]}));
    assert!(error.contains("region"), "{error}");
    let service = |field: &str, value: f64| json!({"name": "orders", field: value});
    let error = error_with("/services/0", service("coldPerS", -1.0));
    assert!(error.contains("-1"), "{error}");
    let error = error_with("/services/0", service("coldStartS", -0.5));
    assert!(error.contains("-0.5"), "{error}");
}

fn roster() -> EntryRoster {
    let entry = |run: u8| EntryRecord {
        name: format!("e{run}"),
        run: u64::from(run),
        zone: zone(&format!("z{}", run.div_ceil(2))),
        address: address(run),
        ready: true,
    };
    let listed: Vec<EntryRecord> = (1..=6).map(entry).collect();
    EntryRoster::merged([&listed].into_iter(), Instant::now())
}

/// Guards against callers of restricted routes who are sent to entries outside their own region and
/// the allowed ones, which would receive their requests.
#[actix_rt::test]
async fn callers_of_restricted_routes_are_sent_to_their_regions() {
    let (roster, zone_regions, allowed) = (roster(), zone_regions(), allowed(&["r2"]));
    let allowed = allowed.as_ref().expect("a restriction");
    let filter =
        |region| RegionFilter { zone_regions: &zone_regions, allowed, caller_region: region };
    let own_zone = AddressQuery { zone: Some("z3"), regions: Some(filter(Some("r3"))), max: 64 };
    assert_eq!(roster.addresses(&own_zone), [address(5), address(6)]);
    assert_eq!(roster.addresses_outside_zone(&own_zone), [address(3), address(4)]);
    let elsewhere = AddressQuery { zone: Some("z9"), regions: Some(filter(Some("r9"))), max: 64 };
    assert_eq!(roster.addresses(&elsewhere), [address(3), address(4)]);
}

proptest! {
    /// Guards against a combination of restrictions that allows more than each of them.
    #[test]
    fn combined_restrictions_allow_what_both_allow(
        one in proptest::collection::vec(0_u8..4, 0..4),
        other in proptest::collection::vec(0_u8..4, 0..4),
    ) {
        let regions = |numbers: &[u8]| {
            let names = numbers.iter().map(|number| format!("r{number}")).collect();
            AllowedRegions::check(names).expect("valid names")
        };
        let (one, other) = (regions(&one), regions(&other));
        let both = AllowedRegions::combine(one.as_ref(), other.as_ref());
        for number in 0..4 {
            let region = RegionName::try_from(format!("r{number}")).expect("a valid name");
            let allows = |regions: &Option<AllowedRegions>| {
                regions.as_ref().is_none_or(|regions| regions.contains(&region))
            };
            prop_assert_eq!(allows(&both), allows(&one) && allows(&other));
        }
    }
}

//! `egretseam config check`: what it reports of configurations in `tests/config_check`, and that its
//! errors are those for which control rejects a configuration.
//!
//! Each folder there has a file `check.txt` with commands, after `$`, and their recorded output:
//! standard output, standard error and exit code. `UPDATE_GOLDENFILES=1` records new output.

mod random_configs;

use egretseam_config_check::{
    ConfigChange, DeploymentFacts, Finding, FindingCause, Severity, check, compare,
};
use egretseam_platform::PlatformControl;
use egretseam_registrar::ControlDialect;
use egretseam_serving::{ConfigPath, RawServing, ServingConfig};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use random_configs::{any_config, valid_config};
use serde_json::{Value, json};
use std::{
    fs,
    path::{Path, PathBuf},
    process::Command,
};

/// Seed of the random configurations.
const SEED: u64 = 0x5eed_0063;

fn case_folder(case: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/config_check").join(case)
}

fn read_json(case: &str, file: &str) -> Value {
    let text = fs::read_to_string(case_folder(case).join(file)).expect("a file of the case");
    serde_json::from_str(&text).expect("JSON")
}

fn parse(config: &Value) -> RawServing {
    PlatformControl.parse_config(config.to_string().as_bytes()).expect("a readable configuration")
}

fn errors(config: &RawServing) -> Vec<Finding> {
    let findings = check(config, &DeploymentFacts::default());
    findings.into_iter().filter(|finding| finding.severity() == Severity::Error).collect()
}

/// Runs a command line in a folder. Returns what it printed, and its exit code.
fn run_in(folder: &Path, line: &str) -> String {
    let arguments = line.split_whitespace().skip(1);
    let mut command = Command::new(env!("CARGO_BIN_EXE_egretseam"));
    let output = command.args(arguments).current_dir(folder).output().expect("it runs");
    let code = output.status.code().expect("it exits");
    let printed = [output.stdout, output.stderr].concat();
    format!("{}exit code {code}\n", String::from_utf8(printed).expect("text"))
}

fn check_recorded_output(case: &str) {
    let folder = case_folder(case);
    let recorded = fs::read_to_string(folder.join("check.txt")).expect("a file of commands");
    let lines = recorded.lines().filter_map(|line| line.strip_prefix("$ "));
    let blocks = lines.map(|line| format!("$ {line}\n{}", run_in(&folder, line)));
    let printed = blocks.collect::<Vec<_>>().join("\n");
    if std::env::var_os("UPDATE_GOLDENFILES").is_some() {
        fs::write(folder.join("check.txt"), printed).expect("written");
        return;
    }
    assert_eq!(printed, recorded, "{case}/check.txt");
}

/// Guards against an operator who corrects one error after the other, and against keys in the
/// output of an error.
#[test]
fn all_errors_are_reported_at_once() {
    check_recorded_output("every_error");
}

/// Guards against exit codes that take an unreadable file for an invalid configuration.
#[test]
fn what_cannot_be_read_or_parsed_has_its_own_exit_code() {
    check_recorded_output("unparsable");
}

#[test]
fn routes_without_effect_and_contradictory_limits_are_reported() {
    check_recorded_output("routes");
}

#[test]
fn limits_and_regions_are_compared_with_the_settings() {
    check_recorded_output("deployment");
}

/// Guards against keys in the output of a comparison.
#[test]
fn differences_name_every_changed_field_and_no_key() {
    check_recorded_output("differences");
    let recorded = fs::read_to_string(case_folder("differences").join("check.txt"));
    let recorded = recorded.expect("a file");
    assert!(!recorded.contains("key-"), "a key is printed; all keys of the case begin so");
    assert!(recorded.contains("tenants[2].apiKeys"), "a changed key is named by its place");
}

#[test]
fn a_valid_configuration_has_no_findings() {
    check_recorded_output("valid");
}

/// The value at a displayed path such as `routes[3].pathPrefix`.
fn at_path<'a>(document: &'a Value, path: &ConfigPath) -> Option<&'a Value> {
    let pointer = format!("/{}", path.display(&PlatformControl)).replace(['.', '['], "/");
    document.pointer(&pointer.replace(']', ""))
}

/// Guards against paths that do not exist in the operator's file because the names of the fields
/// differ from those that are parsed.
#[test]
fn reported_paths_exist_in_the_file() {
    let config = read_json("differences", "config.json");
    let other = read_json("differences", "against.json");
    let differences = compare(&parse(&config), &parse(&other));
    assert!(differences.len() > 35, "every field differs somewhere: {}", differences.len());
    for difference in differences {
        let document = match difference.change {
            ConfigChange::Removed | ConfigChange::Changed { after: None, .. } => &other,
            _ => &config,
        };
        let shown = difference.path.display(&PlatformControl);
        // The objective is absent in the configuration, and its route stands elsewhere in the other.
        let is_absent = shown.to_string() == "routes[0].targetLatencyMs";
        assert!(is_absent || at_path(document, &difference.path).is_some(), "{shown}");
    }
    let invalid = read_json("every_error", "config.json");
    for finding in errors(&parse(&invalid)) {
        // A route without a service has no field to name.
        let shown = finding.path.display(&PlatformControl).to_string();
        assert!(
            shown == "routes[6].service" || at_path(&invalid, &finding.path).is_some(),
            "{shown}"
        );
    }
}

/// Faults in different places of a valid configuration: place, value, reported path.
fn faults() -> Vec<(&'static str, Value, &'static str)> {
    vec![
        ("/routes/0/timeoutMs", json!(0), "routes[0].timeoutMs"),
        ("/routes/0/pathPrefix", json!("x"), "routes[0].pathPrefix"),
        ("/routes/0/service", json!("absent"), "routes[0].service"),
        ("/routes/0/allowedRegions", json!(["north", ""]), "routes[0].allowedRegions[1]"),
        ("/routes/1/trafficSplit/1/service", json!("?"), "routes[1].trafficSplit[1].service"),
        ("/routes/1/trafficSplit/0/weight", json!(0), "routes[1].trafficSplit"),
        ("/routes/2/pathPrefix", json!("/x/"), "routes[2].pathPrefix"),
        ("/services/1/coldPerS", json!(-1), "services[1].coldPerS"),
        ("/services/1/engine/models/0/name", json!(""), "services[1].engine.models[0].name"),
        ("/services/2/zone", json!("z 1"), "services[2].zone"),
        ("/services/3/name", json!("orders"), "services[3].name"),
        ("/services/3/coldPerS", json!(-2), "services[3].coldPerS"),
        ("/tenants/1/apiKeys/1", json!("key-a"), "tenants[1].apiKeys[1]"),
        ("/tenants/1/name", json!("kehila"), "tenants[1].name"),
        ("/tenants/0/allowedRegions/0", json!(" "), "tenants[0].allowedRegions[0]"),
    ]
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(SEED), ..Config::default() })]

    /// Guards against an error that hides another one.
    #[test]
    fn every_fault_is_reported_whatever_the_others(
        faults in proptest::sample::subsequence(faults(), 0..=faults().len()),
    ) {
        let mut config = valid_config();
        for (place, value, _) in &faults {
            *config.pointer_mut(place).expect("a place") = value.clone();
        }
        let raw = parse(&config);
        let show = |finding: &Finding| finding.path.display(&PlatformControl).to_string();
        let mut reported: Vec<String> = errors(&raw).iter().map(show).collect();
        let mut expected: Vec<&str> = faults.iter().map(|(_, _, path)| *path).collect();
        reported.sort_unstable();
        expected.sort_unstable();
        prop_assert_eq!(&reported, &expected);
        prop_assert_eq!(ServingConfig::try_from(raw).is_ok(), expected.is_empty());
    }

    /// Guards against a check that disagrees with control: a configuration is accepted exactly if the
    /// check reports no error, and control's error is the first of them.
    #[test]
    fn control_accepts_what_has_no_error(raw in any_config()) {
        let first = errors(&raw).into_iter().next().map(|finding| finding.cause);
        let rejection = ServingConfig::try_from(raw).err().map(FindingCause::Error);
        prop_assert_eq!(first, rejection);
    }
}

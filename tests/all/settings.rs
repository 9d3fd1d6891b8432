//! Settings of daemons: every invalid field is reported, and the example files are valid.

use egretseam_config::DaemonSettings;
use std::fs;

#[test]
fn every_invalid_field_is_reported_with_its_path() {
    let text = r#"{
        "instance": "bad name", "zone": 5, "peer_token_file": "p", "operator_address": "localhost:1",
        "log": { "format": "loud", "colour": true },
        "entry": { "caller_address": "10.0.0.1:1", "lease_millis": 1, "extra": 1 },
        "agent": { "group": "g", "entries": [], "kind": "model", "gate_address": "10.0.0.1:2",
                   "chunk_address": "10.0.0.1:3", "target_address": "10.0.0.1:4",
                   "weights_folder": "" }
    }"#;
    let error = DaemonSettings::parse(text).expect_err("invalid fields");
    let paths: Vec<&str> = error.field_errors.iter().map(|error| error.path.as_str()).collect();
    let expected = [
        "$.instance",
        "$.zone",
        "$.operator_token_file",
        "$.operator_address",
        "$.log.format",
        "$.log.colour",
        "$.entry.peer_address",
        "$.entry.lease_millis",
        "$.entry.extra",
        "$.agent.entries",
        "$.agent.origin_address",
        "$.agent.weights_folder",
        "$.control_members",
    ];
    for path in expected {
        assert!(paths.contains(&path), "{path} is not in {paths:?}");
    }
    assert_eq!(paths.len(), expected.len(), "{paths:?}");
}

#[test]
fn text_that_is_not_json_and_settings_without_a_role_are_rejected() {
    assert!(DaemonSettings::parse("{").expect_err("not JSON").to_string().contains("not JSON"));
    let without_role = r#"{ "instance": "a", "zone": "z", "peer_token_file": "p",
                    "operator_token_file": "o", "operator_address": "127.0.0.1:1" }"#;
    assert!(
        DaemonSettings::parse(without_role).expect_err("no role").to_string().contains("no role")
    );
}

#[test]
fn the_example_files_are_valid() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/examples");
    let mut count = 0;
    for file in fs::read_dir(folder).expect("examples").map(|file| file.expect("a file").path()) {
        if file.extension().is_some_and(|extension| extension == "json") {
            let text = fs::read_to_string(&file).expect("readable");
            if let Err(error) = DaemonSettings::parse(&text) {
                panic!("{}: {error}", file.display());
            }
            count += 1;
        }
    }
    assert_eq!(count, 3, "one example per role");
}

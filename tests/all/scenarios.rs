//! Scripted scenarios: data files in `tests/scenarios`, one harness. Each file tells one line of
//! what fails, over the pure state machines and under a clock that the script advances.

mod group_script;
mod routing_script;
mod swarm_script;

use goldenscript::{Command, Runner};
use std::error::Error;

/// A command's number argument.
pub(crate) fn number(command: &Command, name: &str) -> Result<u64, Box<dyn Error>> {
    let found = text(command, name)?;
    found.parse().map_err(|_| format!("{name} is not a number: {found}").into())
}

/// A command's number argument, or what it is if absent.
pub(crate) fn number_or(
    command: &Command,
    name: &str,
    default: u64,
) -> Result<u64, Box<dyn Error>> {
    match command.consume_args().take_key(name) {
        Some(_) => number(command, name),
        None => Ok(default),
    }
}

/// A command's text argument.
pub(crate) fn text(command: &Command, name: &str) -> Result<String, Box<dyn Error>> {
    let found = command.consume_args().take_key(name).map(str::to_owned);
    found.ok_or_else(|| format!("{name}= is missing").into())
}

fn run<R: Runner>(runner: &mut R, file: &str) {
    let path = format!("{}/tests/scenarios/{file}", env!("CARGO_MANIFEST_DIR"));
    goldenscript::run(runner, path).expect("the script's output is as recorded");
}

#[test]
fn isolated_control_member() {
    run(&mut group_script::GroupScript::default(), "isolated_control_member");
}

#[test]
fn racing_operators() {
    run(&mut group_script::GroupScript::default(), "racing_operators");
}

#[test]
fn second_loss_after_repair() {
    run(&mut group_script::GroupScript::default(), "second_loss_after_repair");
}

#[test]
fn restart_after_many_changes() {
    run(&mut group_script::GroupScript::default(), "restart_after_many_changes");
}

#[test]
fn rollout_of_a_bad_version() {
    run(&mut group_script::GroupScript::default(), "rollout_of_a_bad_version");
}

#[test]
fn keys_claimed_once() {
    run(&mut group_script::GroupScript::default(), "keys_claimed_once");
}

#[test]
fn dying_and_stalling_peers() {
    run(&mut swarm_script::SwarmScript::default(), "dying_and_stalling_peers");
}

#[test]
fn corrupted_chunks() {
    run(&mut swarm_script::SwarmScript::default(), "corrupted_chunks");
}

#[test]
fn dying_and_leaving_targets() {
    run(&mut routing_script::RoutingScript::default(), "dying_and_leaving_targets");
}

//! Scripted scenarios. Each file in `tests/scenarios` is a sequence of commands with their recorded
//! output. The commands cause failures in state machines without I/O, under a clock that the script
//! advances.

mod group_script;
mod routing_script;
mod swarm_script;

use goldenscript::{Command, Runner};
use std::error::Error;

/// Value of a command's argument `name` as a number.
pub(crate) fn number(command: &Command, name: &str) -> Result<u64, Box<dyn Error>> {
    let value = text(command, name)?;
    value.parse().map_err(|_| format!("{name} is not a number: {value}").into())
}

/// Value of a command's argument `name` as a number, or `default` if it is absent.
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

/// Value of a command's argument `name`.
pub(crate) fn text(command: &Command, name: &str) -> Result<String, Box<dyn Error>> {
    let value = command.consume_args().take_key(name).map(str::to_owned);
    value.ok_or_else(|| format!("argument {name}= is missing").into())
}

fn run<R: Runner>(runner: &mut R, file: &str) {
    let path = format!("{}/tests/scenarios/{file}", env!("CARGO_MANIFEST_DIR"));
    goldenscript::run(runner, path).expect("the script's output matches the recorded output");
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

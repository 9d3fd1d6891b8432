//! Stand-ins of callers, runners and the operator for the cases of the second review, and the cases
//! themselves: `world CASE RECORD`. With TROUBLE=0 a case runs without its disruption.

mod crashing;
mod evacuating;
mod frozen;
mod heads;
mod http;
mod leaving;
mod parts;
mod record;
mod runner;
mod world;

use std::{env, path::PathBuf, process::exit};

fn main() {
    let words: Vec<String> = env::args().skip(1).collect();
    let trouble = env::var("TROUBLE").unwrap_or_default();
    let is_troubled = trouble != "0";
    let record = || record::Record::create(&PathBuf::from(&words[1]));
    let broken = match words.first().map(String::as_str) {
        Some("runner") => runner::main(&words[1..]),
        Some("leaving") => leaving::run(record(), is_troubled),
        Some("crashing") => crashing::run(record(), is_troubled),
        Some("heads") => heads::run(record(), is_troubled),
        Some("frozen") => frozen::run(record(), is_troubled, trouble != "crash"),
        Some("evacuating") => evacuating::run(record(), is_troubled),
        _ => {
            eprintln!("usage: world CASE RECORD");
            exit(2)
        }
    };
    exit(i32::from(broken))
}

//! Script commands that drive the target table of one entry.

use super::{number, number_or, text};
use egretseam_proto::{
    GroupName, Incarnation, InstanceName, ManifestId, RefusalReason, ServingVersion, TargetReport,
    TargetState, VersionName, ZoneName,
};
use egretseam_routing::{
    ChoiceQuery, PrefixIndex, PrefixKey, RequestOutcome, RoutingOptions, TargetTable,
};
use goldenscript::{Command, Context, Runner};
use std::{collections::BTreeMap, error::Error, fmt::Write, time::Duration};

type Output = Result<String, Box<dyn Error>>;

/// A target table, and the time as advanced by the script.
pub(super) struct RoutingScript {
    table: TargetTable,
    now: Duration,
    sequence: u64,
}

impl Default for RoutingScript {
    fn default() -> Self {
        let options = RoutingOptions { slow_start: Duration::ZERO, ..RoutingOptions::default() };
        Self { table: TargetTable::new(options, 7), now: Duration::ZERO, sequence: 0 }
    }
}

impl RoutingScript {
    fn report(&mut self, command: &Command) -> Output {
        let state = match text(command, "state")?.as_str() {
            "serving" => TargetState::Serving,
            "leaving" => TargetState::Leaving,
            "switching" => TargetState::Switching,
            other => return Err(format!("unknown target state {other}").into()),
        };
        self.sequence += 1;
        let version = VersionName::try_from("v1")?;
        let report = TargetReport {
            target: InstanceName::try_from(text(command, "target")?)?,
            incarnation: Incarnation(number_or(command, "run", 1)?),
            zone: ZoneName::try_from(text(command, "zone")?)?,
            group: GroupName::try_from("runners")?,
            address: "10.0.0.1:1".to_owned(),
            chunk_address: "10.0.0.1:2".to_owned(),
            state,
            serving: Some(ServingVersion { version, manifest: ManifestId::of(b"v1") }),
            in_flight: number_or(command, "in-flight", 0)? as u32,
            engine_load: 0,
            chunks_have: 0,
            chunks_total: 0,
            sequence: number_or(command, "sequence", self.sequence)?,
        };
        self.table.apply_report(report, self.now);
        Ok(String::new())
    }

    /// Chooses a target for each of `requests` requests, none of which stays in progress, and
    /// counts the choices by target.
    fn spread(&mut self, command: &Command) -> Output {
        let mut counts: BTreeMap<String, u32> = BTreeMap::new();
        for _ in 0..number(command, "requests")? {
            let chosen = self.choose(&text(command, "zone")?)?;
            *counts.entry(chosen).or_default() += 1;
        }
        let mut output = String::new();
        for (target, count) in counts {
            writeln!(output, "{target}: {count}")?;
        }
        Ok(output)
    }

    fn choose(&mut self, zone: &str) -> Result<String, Box<dyn Error>> {
        let group = GroupName::try_from("runners")?;
        let zone = ZoneName::try_from(zone)?;
        let query = ChoiceQuery {
            group: &group,
            zone: &zone,
            manifest: None,
            exclude: &[],
            max_in_flight: 8,
            prefix: &PrefixKey::default(),
        };
        Ok(match self.table.choose(&query, &PrefixIndex::new(), self.now) {
            Ok(choice) => choice.target.to_string(),
            Err(report) => format!("refused, {report}"),
        })
    }

    fn fail(&mut self, command: &Command) -> Output {
        let target = InstanceName::try_from(text(command, "target")?)?;
        let reason = text(command, "reason")?;
        let reason: RefusalReason =
            reason.parse().map_err(|()| format!("unknown refusal reason {reason}"))?;
        self.table.record_start(&target);
        self.table.record_end(&target, RequestOutcome::Failed(reason), self.now);
        Ok(String::new())
    }
}

impl Runner for RoutingScript {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &Context) -> Output {
        match command.name.as_str() {
            "report" => return self.report(command),
            "spread" => return self.spread(command),
            "fail" => return self.fail(command),
            "wait" => {
                self.now += Duration::from_millis(number(command, "millis")?);
                self.table.tick(self.now);
            }
            other => return Err(format!("unknown command {other}").into()),
        }
        Ok(String::new())
    }
}

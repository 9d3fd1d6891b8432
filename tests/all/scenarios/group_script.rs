//! Script commands that run a simulated control group.

use super::{number, number_or, text};
use egretseam_catalog::{
    CatalogCommand, ClaimRequest, ConfigEdit, EditRequest, ProfileSpec, RebindProof, RebindRequest,
    SwitchOutcome, SwitchRequest, TargetIncarnation, WeightsSpec,
};
use egretseam_proto::{
    ChunkDigest, FencingNumber, GroupName, Incarnation, InstanceName, ManifestId, ModelName,
    OperationId, OrganisationName, ProfileName, RequestKey, Revision, VersionName, ZoneName,
};
use egretseam_replica::{MembershipChange, ReplicaConfig};
use egretseam_testkit::{GroupSim, SimReply};
use goldenscript::{Command, Context, Runner};
use std::{error::Error, fmt::Write, time::Duration};

type Output = Result<String, Box<dyn Error>>;

/// A simulated group and the token of the last command submitted to it.
#[derive(Default)]
pub(super) struct GroupScript {
    sim: Option<GroupSim>,
    last_token: Option<usize>,
}

impl GroupScript {
    fn sim(&mut self) -> Result<&mut GroupSim, Box<dyn Error>> {
        self.sim.as_mut().ok_or_else(|| "the script has not created a group".into())
    }

    /// The member that the argument `at=` names: a number, or `leader`.
    fn member_at(&mut self, command: &Command) -> Result<usize, Box<dyn Error>> {
        let name = text(command, "at")?;
        if name == "leader" {
            return self.sim()?.leader().ok_or_else(|| "the group has no leader".into());
        }
        Ok(name.parse()?)
    }

    fn submit(&mut self, command: &Command, catalog: CatalogCommand) -> Output {
        let at = self.member_at(command)?;
        let wait = number_or(command, "wait", 1_000)?;
        let sim = self.sim()?;
        let token = sim.submit(at, catalog);
        sim.run(Duration::from_millis(wait));
        let reply = format_reply(sim.reply(token));
        self.last_token = Some(token);
        Ok(format!("{reply}\n"))
    }

    fn edit(&mut self, command: &Command, edit: ConfigEdit) -> Output {
        let request = EditRequest {
            operation: OperationId(number(command, "op")?),
            base: Revision(number_or(command, "base", 0)?),
            actor: "script".to_owned(),
            edit,
        };
        self.submit(command, CatalogCommand::Edit(request))
    }

    fn print_state(&mut self) -> Output {
        let sim = self.sim()?;
        let mut output = String::new();
        for number in 0..sim.len() {
            let Some(node) = sim.node(number) else {
                writeln!(output, "member {number}: down")?;
                continue;
            };
            let status = node.status();
            let view = sim.catalog(number).view();
            let profiles: Vec<String> = view
                .profiles
                .iter()
                .map(|(name, record)| {
                    let halted = if record.halted.is_some() { " halted" } else { "" };
                    format!("{name}@{}{halted}", record.revision)
                })
                .collect();
            writeln!(
                output,
                "member {number}: {:?} revision {} profiles [{}]",
                status.role,
                view.revision,
                profiles.join(" ")
            )?;
        }
        Ok(output)
    }

    fn change_members(&mut self, command: &Command) -> Output {
        let at = self.member_at(command)?;
        let member = number(command, "member")? as usize;
        let sim = self.sim()?;
        let change = match text(command, "step")?.as_str() {
            "add" => MembershipChange::AddLearner(sim.record(member)),
            "promote" => MembershipChange::Promote(sim.id(member)),
            "remove" => MembershipChange::Remove(sim.id(member)),
            other => return Err(format!("unknown step {other}").into()),
        };
        let result = sim.change_members(at, &change);
        sim.run(Duration::from_secs(1));
        Ok(match result {
            Ok(()) => "taken\n".to_owned(),
            Err(error) => format!("refused: {error}\n"),
        })
    }

    fn begin_switch(&mut self, command: &Command) -> Output {
        let request = SwitchRequest {
            target: InstanceName::try_from(text(command, "target")?)?,
            incarnation: Incarnation(number_or(command, "run", 1)?),
            profile: ProfileName::try_from(text(command, "profile")?)?,
            revision: Revision(number(command, "revision")?),
            zone: ZoneName::try_from(text(command, "zone")?)?,
            in_service: number_or(command, "serving", 1)? == 1,
            hold_millis: number_or(command, "hold", 30_000)?,
        };
        self.submit(command, CatalogCommand::BeginSwitch(request))
    }

    fn end_switch(&mut self, command: &Command) -> Output {
        let outcome = match text(command, "outcome")?.as_str() {
            "loaded" => SwitchOutcome::Loaded,
            "failed" => SwitchOutcome::Failed { reason: "out of memory".to_owned() },
            other => return Err(format!("unknown outcome {other}").into()),
        };
        let target = InstanceName::try_from(text(command, "target")?)?;
        let fence = FencingNumber(number(command, "fence")?);
        self.submit(command, CatalogCommand::EndSwitch { target, fence, outcome })
    }

    fn claim(&mut self, command: &Command) -> Output {
        let request = ClaimRequest {
            organisation: OrganisationName::try_from("kehila")?,
            key: RequestKey::try_from(text(command, "key")?)?,
            digest: ChunkDigest::of(text(command, "body")?.as_bytes()),
            run: target_run(command, "target")?,
        };
        self.submit(command, CatalogCommand::Claim(vec![request]))
    }

    fn rebind(&mut self, command: &Command) -> Output {
        let proof = match text(command, "proof")?.as_str() {
            "refused" => RebindProof::RefusedByRun,
            "never-sent" => RebindProof::NeverSent,
            other => return Err(format!("unknown proof {other}").into()),
        };
        let request = RebindRequest {
            organisation: OrganisationName::try_from("kehila")?,
            key: RequestKey::try_from(text(command, "key")?)?,
            from: target_run(command, "from")?,
            to: target_run(command, "to")?,
            proof,
        };
        self.submit(command, CatalogCommand::Rebind(request))
    }
}

impl Runner for GroupScript {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &Context) -> Output {
        match command.name.as_str() {
            "group" => {
                let size = number(command, "members")? as usize;
                self.sim = Some(GroupSim::new(size, script_config()));
                self.sim()?.run_until_leader();
                self.sim()?.run(Duration::from_secs(1));
            }
            "run" => {
                let seconds = number(command, "seconds")?;
                self.sim()?.run(Duration::from_secs(seconds));
            }
            "isolate" => {
                let at = self.member_at(command)?;
                self.sim()?.isolate(at);
            }
            "heal" => self.sim()?.heal(),
            "crash" => {
                let at = self.member_at(command)?;
                self.sim()?.crash(at);
            }
            "lose-disk" => {
                let at = self.member_at(command)?;
                self.sim()?.crash_and_erase_disk(at);
            }
            "blank" => {
                let number = self.sim()?.add_empty_member();
                return Ok(format!("member {number} waits to be added\n"));
            }
            "restart" => {
                let at = self.member_at(command)?;
                self.sim()?.restart(at);
            }
            "restart-all" => {
                let sim = self.sim()?;
                (0..sim.len()).for_each(|number| sim.crash(number));
                (0..sim.len()).for_each(|number| sim.restart(number));
                sim.run_until_leader();
                sim.run(Duration::from_secs(1));
            }
            "compact" => {
                let at = self.member_at(command)?;
                self.sim()?.compact(at);
            }
            "leaders" => {
                let count = self.sim()?.leaders().len();
                return Ok(format!("{count}\n"));
            }
            "state" => return self.print_state(),
            "members" => return self.change_members(command),
            "define" => {
                let name = ProfileName::try_from(text(command, "profile")?)?;
                let spec = profile_spec(command)?;
                return self.edit(command, ConfigEdit::DefineProfile { name, spec });
            }
            "change" => {
                let name = ProfileName::try_from(text(command, "profile")?)?;
                let spec = profile_spec(command)?;
                return self.edit(command, ConfigEdit::ChangeProfile { name, spec });
            }
            "retire" => {
                let name = ProfileName::try_from(text(command, "profile")?)?;
                return self.edit(command, ConfigEdit::RetireProfile { name });
            }
            "change-many" => {
                let count = number(command, "count")?;
                let at = self.member_at(command)?;
                let sim = self.sim()?;
                for step in 0..count {
                    let name = OrganisationName::try_from(format!("org-{step}"))?;
                    let spec = egretseam_catalog::OrganisationSpec {
                        weight: 1,
                        key_digests: vec![ChunkDigest::of(b"key")],
                    };
                    let request = EditRequest {
                        operation: OperationId(1_000_000 + step),
                        base: Revision(0),
                        actor: "script".to_owned(),
                        edit: ConfigEdit::SetOrganisation { name, spec },
                    };
                    sim.submit(at, CatalogCommand::Edit(request));
                    sim.run(Duration::from_millis(10));
                }
                sim.run(Duration::from_secs(1));
            }
            "reply" => {
                let token = self.last_token.ok_or("no command was submitted")?;
                return Ok(format!("{}\n", format_reply(self.sim()?.reply(token))));
            }
            "begin-switch" => return self.begin_switch(command),
            "end-switch" => return self.end_switch(command),
            "claim" => return self.claim(command),
            "rebind" => return self.rebind(command),
            other => return Err(format!("unknown command {other}").into()),
        }
        Ok(String::new())
    }
}

/// Sets the election timeout explicitly, so that the recorded outputs do not depend on its default.
fn script_config() -> ReplicaConfig {
    ReplicaConfig { election_timeout: Duration::from_millis(800), ..ReplicaConfig::default() }
}

fn target_run(command: &Command, name: &str) -> Result<TargetIncarnation, Box<dyn Error>> {
    let text = text(command, name)?;
    let (target, run) = text.split_once('#').ok_or("expected TARGET#RUN")?;
    Ok(TargetIncarnation {
        target: InstanceName::try_from(target)?,
        incarnation: Incarnation(run.parse()?),
    })
}

fn profile_spec(command: &Command) -> Result<ProfileSpec, Box<dyn Error>> {
    let version = text(command, "version")?;
    let weights = WeightsSpec {
        model: ModelName::try_from("assistant")?,
        manifest: ManifestId::of(version.as_bytes()),
        version: VersionName::try_from(version)?,
    };
    Ok(ProfileSpec {
        group: GroupName::try_from("runners")?,
        weights: Some(weights),
        adapters: Vec::new(),
        max_unavailable: number_or(command, "unavailable", 2)? as u32,
        origin_copies: 1,
        max_in_flight: 32,
        serve_without_lease: false,
    })
}

fn format_reply(reply: &SimReply) -> String {
    match reply {
        SimReply::Applied(reply) => format!("{reply:?}"),
        SimReply::Rejected(error) => format!("refused: {error}"),
        SimReply::Replaced => "replaced: certainly not accepted".to_owned(),
        SimReply::Pending => "no answer".to_owned(),
    }
}

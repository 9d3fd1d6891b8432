//! `egretseam members`: lists and changes the members of the control group.

use super::{
    OperatorArgs,
    output::{print_json, print_table},
};
use anyhow::bail;
use clap::{Args, Subcommand};
use egretseam_operator::{OperatorClient, OperatorError};
use egretseam_replica::{MemberId, MemberRecord, MembershipChange};
use std::time::Duration;

/// How long a new member may take to catch up.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(300);
/// Pause between attempts to promote a learner.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// List or change the members of the control group.
#[derive(Args, Debug)]
pub(super) struct MembersCommand {
    #[command(flatten)]
    operator: OperatorArgs,
    #[command(subcommand)]
    verb: Option<MembersVerb>,
}

#[derive(Debug, Subcommand)]
enum MembersVerb {
    /// List members.
    List,
    /// Add a member prepared by `init --joining`, and promote it to a voter once it has caught up.
    Add(NewMember),
    /// Replace a lost member with one prepared by `init --joining`.
    Replace {
        /// Id of the lost member.
        #[arg(long, value_parser = parse_id)]
        lost: MemberId,
        #[command(flatten)]
        member: NewMember,
    },
    /// Remove a member permanently.
    Remove {
        /// Id of the member.
        #[arg(long, value_parser = parse_id)]
        id: MemberId,
    },
}

/// A member to add.
#[derive(Args, Debug)]
struct NewMember {
    /// Id of the new member, as printed by `init --joining`.
    #[arg(long, value_parser = parse_id)]
    id: MemberId,
    /// Name of its instance.
    #[arg(long)]
    name: String,
    /// `host:port` of its peer listener.
    #[arg(long)]
    address: std::net::SocketAddr,
}

fn parse_id(text: &str) -> Result<MemberId, String> {
    let id = u64::from_str_radix(text, 16).map_err(|_| "expected up to 16 hexadecimal digits")?;
    Ok(MemberId(id))
}

impl MembersCommand {
    pub(super) fn execute(self) -> anyhow::Result<()> {
        let Self { operator, verb } = self;
        let json = operator.json;
        operator.run(async move |client| match verb.unwrap_or(MembersVerb::List) {
            MembersVerb::List => list(&client, json).await,
            MembersVerb::Add(member) => {
                add_learner(&client, &member).await?;
                promote(&client, member.id).await?;
                list(&client, json).await
            }
            MembersVerb::Replace { lost, member } => {
                replace(&client, lost, &member).await?;
                list(&client, json).await
            }
            MembersVerb::Remove { id } => {
                client.change_members(&MembershipChange::Remove(id)).await?;
                list(&client, json).await
            }
        })
    }
}

/// Replaces the lost member `lost` with `new`.
///
/// The order of the steps matters: the new member is added as a learner, then the lost one is
/// removed, and right after that the new one is promoted to a voter. If it were promoted first, the
/// group would have four voters, one of them lost, and would lose its quorum with the next loss.
/// Each step is idempotent, so after a failure the same command continues where it stopped.
async fn replace(client: &OperatorClient, lost: MemberId, new: &NewMember) -> anyhow::Result<()> {
    add_learner(client, new).await?;
    pause_for_learner(client, new.id).await?;
    let members = client.members().await?.members;
    if members.iter().any(|member| member.id == lost) {
        client.change_members(&MembershipChange::Remove(lost)).await?;
    }
    promote(client, new.id).await
}

async fn add_learner(client: &OperatorClient, new: &NewMember) -> anyhow::Result<()> {
    let members = client.members().await?.members;
    if members.iter().any(|member| member.id == new.id) {
        return Ok(());
    }
    let record = MemberRecord {
        id: new.id,
        name: new.name.clone(),
        address: new.address.to_string(),
        voter: false,
    };
    Ok(client.change_members(&MembershipChange::AddLearner(record)).await?)
}

/// Gives the learner time to be reached by the leader, unless it is a voter already.
async fn pause_for_learner(client: &OperatorClient, id: MemberId) -> anyhow::Result<()> {
    let members = client.members().await?.members;
    if members.iter().any(|member| member.id == id && member.voter) {
        return Ok(());
    }
    // The leader checks whether the learner has caught up before it promotes it, and a rejection
    // changes nothing. This pause only lets the leader reach a running learner at all.
    tokio::time::sleep(RETRY_PAUSE * 2).await;
    Ok(())
}

async fn promote(client: &OperatorClient, id: MemberId) -> anyhow::Result<()> {
    let deadline = tokio::time::Instant::now() + CATCH_UP_TIMEOUT;
    loop {
        let members = client.members().await?.members;
        if members.iter().any(|member| member.id == id && member.voter) {
            return Ok(());
        }
        match client.change_members(&MembershipChange::Promote(id)).await {
            Ok(()) => return Ok(()),
            Err(OperatorError::Rejected(reason)) if tokio::time::Instant::now() < deadline => {
                eprintln!("member {id} is not promoted yet: {reason}");
            }
            Err(OperatorError::Rejected(reason)) => bail!("member {id} did not catch up: {reason}"),
            Err(error) => return Err(error.into()),
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

async fn list(client: &OperatorClient, json: bool) -> anyhow::Result<()> {
    let reply = client.members().await?;
    if json {
        return print_json(&reply);
    }
    let rows: Vec<_> = reply
        .members
        .iter()
        .map(|member| {
            let is_leader = reply.leader.as_ref() == Some(&member.name);
            let role = match (is_leader, member.voter) {
                (true, _) => "leader",
                (false, true) => "voter",
                (false, false) => "learner",
            };
            [member.id.to_string(), member.name.clone(), member.address.clone(), role.to_owned()]
        })
        .collect();
    print_table(["ID", "NAME", "ADDRESS", "ROLE"], &rows);
    Ok(())
}

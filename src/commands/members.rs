//! `egretseam members`: the control group, and how a lost member is replaced.

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
const CATCH_UP_LIMIT: Duration = Duration::from_secs(300);
/// Pause between tries.
const TRY_PAUSE: Duration = Duration::from_millis(500);

/// Look at and change the control group.
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
    /// Add a member that `init --joining` prepared, and let it vote once it has caught up.
    Add(NewMember),
    /// Replace a lost member by one that `init --joining` prepared.
    Replace {
        /// Id of the lost member.
        #[arg(long, value_parser = parse_id)]
        lost: MemberId,
        #[command(flatten)]
        member: NewMember,
    },
    /// Remove a member for good.
    Remove {
        /// Its id.
        #[arg(long, value_parser = parse_id)]
        id: MemberId,
    },
}

/// A member to add.
#[derive(Args, Debug)]
struct NewMember {
    /// Its id, as `init --joining` printed it.
    #[arg(long, value_parser = parse_id)]
    id: MemberId,
    /// Its instance's name.
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

/// The order matters. The new member catches up without a vote; only then does the lost one leave,
/// and right after it the new one votes. Promoted first, it would make a group of four with one
/// dead, in which a second loss stops everything. Each step may be repeated, so after any failure
/// the same command goes on where it stopped.
async fn replace(client: &OperatorClient, lost: MemberId, new: &NewMember) -> anyhow::Result<()> {
    add_learner(client, new).await?;
    wait_for_learner(client, new.id).await?;
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

/// Waits until the learner holds the membership that names it, which it learns from the log.
async fn wait_for_learner(client: &OperatorClient, id: MemberId) -> anyhow::Result<()> {
    let members = client.members().await?.members;
    if members.iter().any(|member| member.id == id && member.voter) {
        return Ok(());
    }
    // The leader itself checks how far the learner is before it promotes it; a refusal there
    // changes nothing. Here a moment suffices for a running learner to be reached at all.
    tokio::time::sleep(TRY_PAUSE * 2).await;
    Ok(())
}

async fn promote(client: &OperatorClient, id: MemberId) -> anyhow::Result<()> {
    let deadline = tokio::time::Instant::now() + CATCH_UP_LIMIT;
    loop {
        let members = client.members().await?.members;
        if members.iter().any(|member| member.id == id && member.voter) {
            return Ok(());
        }
        match client.change_members(&MembershipChange::Promote(id)).await {
            Ok(()) => return Ok(()),
            Err(OperatorError::Rejected(why)) if tokio::time::Instant::now() < deadline => {
                eprintln!("member {id} cannot vote yet: {why}");
            }
            Err(OperatorError::Rejected(why)) => bail!("member {id} did not catch up: {why}"),
            Err(error) => return Err(error.into()),
        }
        tokio::time::sleep(TRY_PAUSE).await;
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
            let leads = reply.leader.as_ref() == Some(&member.name);
            let role = match (leads, member.voter) {
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

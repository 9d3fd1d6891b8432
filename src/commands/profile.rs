//! `egretseam profile`: the weights and limits of groups of targets.

use super::{
    OperatorArgs,
    output::{print_json, print_table},
};
use anyhow::{Context, bail};
use clap::{Args, Subcommand};
use egretseam_catalog::{ConfigEdit, ConfigView, ProfileRecord, ProfileSpec, WeightsSpec};
use egretseam_operator::{OperatorClient, OperatorError, TargetItem};
use egretseam_proto::{
    GroupName, ManifestId, ModelName, ProfileName, Revision, TargetState, VersionName,
};
use indicatif::{ProgressBar, ProgressStyle};
use std::time::Duration;

/// Interval at which `watch` polls.
const WATCH_INTERVAL: Duration = Duration::from_millis(300);

/// Define, change, retire and show profiles.
#[derive(Args, Debug)]
pub(super) struct ProfileCommand {
    #[command(flatten)]
    operator: OperatorArgs,
    #[command(subcommand)]
    verb: ProfileVerb,
}

#[derive(Debug, Subcommand)]
enum ProfileVerb {
    /// Define a new profile.
    Define {
        /// Name of the profile.
        name: ProfileName,
        #[command(flatten)]
        spec: SpecArgs,
    },
    /// Replace a profile's specification.
    Change {
        /// Name of the profile.
        name: ProfileName,
        #[command(flatten)]
        spec: SpecArgs,
        /// Revision that the change is based on; the current one by default.
        #[arg(long)]
        base: Option<u64>,
    },
    /// Resume a halted rollout.
    Resume {
        /// Name of the profile.
        name: ProfileName,
    },
    /// Retire a profile that no service is bound to.
    Retire {
        /// Name of the profile.
        name: ProfileName,
        /// Revision that the change is based on; the current one by default.
        #[arg(long)]
        base: Option<u64>,
    },
    /// List profiles.
    List,
    /// Show one profile.
    Show {
        /// Name of the profile.
        name: ProfileName,
    },
    /// Show the committed changes of a profile.
    History {
        /// Name of the profile.
        name: ProfileName,
    },
    /// Follow a rollout until all targets of the group serve the profile's version.
    Watch {
        /// Name of the profile.
        name: ProfileName,
    },
}

/// Specification of a profile.
#[derive(Args, Debug)]
struct SpecArgs {
    /// Group of targets.
    #[arg(long)]
    group: GroupName,
    /// Model; omit for a plain service.
    #[arg(long, requires = "version", requires = "manifest")]
    model: Option<ModelName>,
    /// Version of the model.
    #[arg(long, id = "version")]
    model_version: Option<VersionName>,
    /// Id of the manifest, as printed by `egretseam manifest`.
    #[arg(long, id = "manifest", value_parser = parse_manifest)]
    manifest_id: Option<ManifestId>,
    /// Adapter as MODEL:VERSION:MANIFEST; may be repeated.
    #[arg(long, value_parser = parse_adapter)]
    adapter: Vec<WeightsSpec>,
    /// Most targets that may be out of service at a time to switch versions.
    #[arg(long, default_value_t = 1)]
    max_unavailable: u32,
    /// Copies that may be fetched from the origin: 1 (least traffic) to 4 (fastest).
    #[arg(long, default_value_t = 1)]
    origin_copies: u32,
    /// Most requests in progress at one target.
    #[arg(long, default_value_t = 32)]
    max_in_flight: u32,
    /// Keep routing by an unconfirmed configuration while no control member is reachable.
    #[arg(long)]
    serve_without_lease: bool,
}

fn parse_manifest(text: &str) -> Result<ManifestId, String> {
    ManifestId::try_from(text.to_owned()).map_err(|error| error.to_string())
}

fn parse_adapter(text: &str) -> Result<WeightsSpec, String> {
    let parts: Vec<&str> = text.split(':').collect();
    let [model, version, manifest] = parts.as_slice() else {
        return Err("expected MODEL:VERSION:MANIFEST".to_owned());
    };
    Ok(WeightsSpec {
        model: ModelName::try_from(*model).map_err(|error| error.to_string())?,
        version: VersionName::try_from(*version).map_err(|error| error.to_string())?,
        manifest: parse_manifest(manifest)?,
    })
}

impl SpecArgs {
    fn into_spec(self) -> ProfileSpec {
        let weights = match (self.model, self.model_version, self.manifest_id) {
            (Some(model), Some(version), Some(manifest)) => {
                Some(WeightsSpec { model, version, manifest })
            }
            _ => None,
        };
        ProfileSpec {
            group: self.group,
            weights,
            adapters: self.adapter,
            max_unavailable: self.max_unavailable,
            origin_copies: self.origin_copies,
            max_in_flight: self.max_in_flight,
            serve_without_lease: self.serve_without_lease,
        }
    }
}

impl ProfileCommand {
    pub(super) fn execute(self) -> anyhow::Result<()> {
        let Self { operator, verb } = self;
        let json = operator.json;
        operator.run(async move |client| match verb {
            ProfileVerb::Define { name, spec } => {
                let edit = ConfigEdit::DefineProfile { name, spec: spec.into_spec() };
                print_revision(client.edit(Revision(0), edit).await?, json)
            }
            ProfileVerb::Change { name, spec, base } => {
                let base = base_revision(&client, &name, base).await?;
                let edit = ConfigEdit::ChangeProfile { name, spec: spec.into_spec() };
                print_revision(client.edit(base, edit).await?, json)
            }
            ProfileVerb::Resume { name } => {
                let base = base_revision(&client, &name, None).await?;
                print_revision(client.edit(base, ConfigEdit::ResumeProfile { name }).await?, json)
            }
            ProfileVerb::Retire { name, base } => {
                let base = base_revision(&client, &name, base).await?;
                print_revision(client.edit(base, ConfigEdit::RetireProfile { name }).await?, json)
            }
            ProfileVerb::List => list(&client.config().await?, json),
            ProfileVerb::Show { name } => print_json(&find(&client, &name).await?),
            ProfileVerb::History { name } => print_json(&client.history(&name).await?),
            ProfileVerb::Watch { name } => watch(&client, &name).await,
        })
    }
}

/// Prints the revision of a committed change.
pub(super) fn print_revision(revision: Revision, json: bool) -> anyhow::Result<()> {
    if json {
        return print_json(&serde_json::json!({ "revision": revision }));
    }
    println!("accepted at revision {revision}");
    Ok(())
}

async fn find(client: &OperatorClient, name: &ProfileName) -> anyhow::Result<ProfileRecord> {
    let view = client.config().await?;
    let record = view.profiles.get(name).cloned();
    record.ok_or_else(|| OperatorError::Rejected(format!("no profile {name}")).into())
}

async fn base_revision(
    client: &OperatorClient,
    name: &ProfileName,
    given: Option<u64>,
) -> anyhow::Result<Revision> {
    match given {
        Some(base) => Ok(Revision(base)),
        None => Ok(find(client, name).await?.revision),
    }
}

fn list(view: &ConfigView, json: bool) -> anyhow::Result<()> {
    if json {
        return print_json(&view.profiles);
    }
    let row = |(name, record): (&ProfileName, &ProfileRecord)| {
        let weights = record.spec.weights.as_ref();
        [
            name.to_string(),
            record.revision.to_string(),
            record.spec.group.to_string(),
            weights.map_or("-".to_owned(), |w| format!("{}:{}", w.model, w.version)),
            record.halted.clone().unwrap_or_else(|| "-".to_owned()),
        ]
    };
    let rows: Vec<_> = view.profiles.iter().map(row).collect();
    print_table(["PROFILE", "REVISION", "GROUP", "WEIGHTS", "HALTED"], &rows);
    Ok(())
}

async fn watch(client: &OperatorClient, name: &ProfileName) -> anyhow::Result<()> {
    let bar = ProgressBar::new(0);
    bar.set_style(ProgressStyle::with_template("{bar:40} {pos}/{len} chunks  {msg}")?);
    loop {
        let record = find(client, name).await?;
        if let Some(reason) = record.halted {
            bar.abandon();
            bail!("the rollout is halted: {reason}");
        }
        let desired = record.spec.weights.as_ref().map(|weights| weights.manifest);
        let targets = client
            .targets()
            .await
            .context("list the targets of the entry at the operator address")?;
        let group: Vec<&TargetItem> =
            targets.iter().filter(|item| item.report.group == record.spec.group).collect();
        let serves = |item: &&&TargetItem| {
            let manifest = item.report.serving.as_ref().map(|serving| serving.manifest);
            item.report.state == TargetState::Serving && manifest == desired
        };
        let serving = group.iter().filter(serves).count();
        let sum = |part: fn(&TargetItem) -> u32| -> u64 {
            group.iter().map(|item| u64::from(part(item))).sum()
        };
        bar.set_length(sum(|item| item.report.chunks_total));
        bar.set_position(sum(|item| item.report.chunks_have));
        bar.set_message(format!("{serving}/{} targets serving", group.len()));
        if serving == group.len() && !group.is_empty() {
            bar.finish();
            println!("{serving} targets serve {name} at revision {}", record.revision);
            return Ok(());
        }
        tokio::time::sleep(WATCH_INTERVAL).await;
    }
}

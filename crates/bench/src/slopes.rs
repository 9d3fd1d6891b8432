//! placeholder
use clap::Args;
/// p
#[derive(Args, Debug)]
pub(crate) struct SlopesCommand;
impl SlopesCommand {
    pub(crate) fn execute(self) -> anyhow::Result<()> {
        Ok(())
    }
}

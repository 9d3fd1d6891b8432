//! placeholder
use clap::Args;
/// p
#[derive(Args, Debug)]
pub(crate) struct ControlCommand;
impl ControlCommand {
    pub(crate) fn execute(self) -> anyhow::Result<()> {
        Ok(())
    }
}

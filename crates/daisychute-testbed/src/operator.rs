//! What operators do to a deployment.

use std::time::Duration;

use daisychute_core::Plan as FleetPlan;
use daisychute_standin::harness::Program;
use serde_json::Value;

use crate::{Deployment, TestbedError};

const CLIENT: &str = "daisychute";
/// How long a command may take.
const COMMAND: Duration = Duration::from_secs(20);

/// How a command of the command-line client ended.
#[derive(Debug, Clone)]
pub struct CommandOutput {
    /// Its exit code; none if a signal ended it.
    pub code: Option<i32>,
    /// What it wrote to its standard output.
    pub stdout: String,
    /// What it wrote to its standard error.
    pub stderr: String,
}

impl Deployment {
    /// Runs the command-line client.
    ///
    /// # Errors
    ///
    /// It can't be started or doesn't end.
    pub async fn operator(
        &self,
        args: impl IntoIterator<Item = &str>,
    ) -> Result<CommandOutput, TestbedError> {
        self.run(self.client_program()?.args(args)).await
    }

    /// Runs `daisychute apply` on a file of this text.
    ///
    /// # Errors
    ///
    /// It can't be started or doesn't end.
    pub async fn apply(&self, configuration: &str) -> Result<CommandOutput, TestbedError> {
        self.run(self.client_program()?.arg("apply").settings(configuration)).await
    }

    fn client_program(&self) -> Result<Program, TestbedError> {
        let url = self.platform_url();
        let region = self.region();
        let global = ["--platform", &url, "--deployment", region, "--region", region];
        Ok(Program::built(CLIENT)?.args(global))
    }

    async fn run(&self, program: Program) -> Result<CommandOutput, TestbedError> {
        let mut process = program.start()?;
        let code = process.wait_exit(COMMAND).await?.code();
        let stdout = process.stdout().join("\n");
        let stderr = process.stderr().join("\n");
        Ok(CommandOutput { code, stdout, stderr })
    }

    /// The content of the region's object of this kind.
    ///
    /// # Errors
    ///
    /// The platform doesn't answer.
    pub async fn object(&self, kind: &str) -> Result<Value, TestbedError> {
        let path = self.object_path(kind, self.region());
        let mut object: Value = self.platform().get(&path).await?.json()?;
        Ok(object["spec"].take())
    }

    /// Commits a change of the plan under the present term, as a planner does.
    ///
    /// # Errors
    ///
    /// There is no plan, or the platform refuses the change.
    pub async fn change_plan(
        &self,
        change: impl FnOnce(&mut FleetPlan),
    ) -> Result<(), TestbedError> {
        let path = self.object_path("plans", self.region());
        let client = self.platform();
        let mut object: Value = client.get(&path).await?.json()?;
        let mut plan = FleetPlan::default();
        if let Ok(present) = serde_json::from_value(object["spec"].clone()) {
            plan = present;
        }
        plan.revision = plan.revision.next();
        change(&mut plan);
        object["spec"] = serde_json::to_value(&plan).unwrap_or_default();
        let answer = client.put(&path, &object).await?;
        if answer.status.is_success() {
            return Ok(());
        }
        Err(TestbedError::Platform { path, status: answer.status.as_u16(), body: answer.text() })
    }
}

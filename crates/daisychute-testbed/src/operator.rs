//! Operations of an operator on a deployment: commands, object reads and plan changes.

use std::time::Duration;

use daisychute_core::Plan as FleetPlan;
use daisychute_standin::harness::Program;
use serde_json::Value;

use crate::{Deployment, TestbedError};

/// The command-line client for operators.
const CLIENT_PROGRAM: &str = "daisychute";
/// Maximum run time of a command.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(20);

/// Exit code and output of a run of the command-line client.
#[derive(Debug, Clone)]
pub struct CommandOutput {
    /// The exit code; `None` if a signal ended the process.
    pub code: Option<i32>,
    /// The lines of its standard output.
    pub stdout: String,
    /// The lines of its standard error.
    pub stderr: String,
}

impl Deployment {
    /// Runs the command-line client with these arguments, on this deployment.
    ///
    /// # Errors
    ///
    /// It can't be started or doesn't end within 20 s.
    pub async fn operator(
        &self,
        args: impl IntoIterator<Item = &str>,
    ) -> Result<CommandOutput, TestbedError> {
        self.run(self.client_program()?.args(args)).await
    }

    /// Runs `daisychute apply` on a file with this content.
    ///
    /// # Errors
    ///
    /// It can't be started or doesn't end within 20 s.
    pub async fn apply(&self, configuration: &str) -> Result<CommandOutput, TestbedError> {
        self.run(self.client_program()?.arg("apply").settings(configuration)).await
    }

    fn client_program(&self) -> Result<Program, TestbedError> {
        let url = self.platform_url();
        let region = self.region();
        let global = ["--platform", &url, "--deployment", region, "--region", region];
        Ok(Program::built(CLIENT_PROGRAM)?.args(global))
    }

    async fn run(&self, program: Program) -> Result<CommandOutput, TestbedError> {
        let mut process = program.start()?;
        let code = process.wait_exit(COMMAND_TIMEOUT).await?.code();
        let stdout = process.stdout().join("\n");
        let stderr = process.stderr().join("\n");
        Ok(CommandOutput { code, stdout, stderr })
    }

    /// The `spec` of the region's object of this kind, such as `plans`.
    ///
    /// # Errors
    ///
    /// The request fails, or the response is not JSON.
    pub async fn object(&self, kind: &str) -> Result<Value, TestbedError> {
        let path = self.object_path(kind, self.region());
        let mut object: Value = self.platform().get(&path).await?.json()?;
        Ok(object["spec"].take())
    }

    /// Commits a change of the plan under the current lease term, as a planner does.
    ///
    /// # Errors
    ///
    /// The plan can't be read, or the platform rejects the write.
    pub async fn change_plan(
        &self,
        change: impl FnOnce(&mut FleetPlan),
    ) -> Result<(), TestbedError> {
        let path = self.object_path("plans", self.region());
        let client = self.platform();
        let mut object: Value = client.get(&path).await?.json()?;
        let mut plan = FleetPlan::default();
        if let Ok(current) = serde_json::from_value(object["spec"].clone()) {
            plan = current;
        }
        plan.revision = plan.revision.next();
        change(&mut plan);
        object["spec"] = serde_json::to_value(&plan).unwrap_or_default();
        let response = client.put(&path, &object).await?;
        if response.status.is_success() {
            return Ok(());
        }
        Err(TestbedError::Platform {
            path,
            status: response.status.as_u16(),
            body: response.text(),
        })
    }
}

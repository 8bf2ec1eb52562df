//! The `job` commands.

use std::path::Path;

use cactuswheel_http::parse_json;
use cactuswheel_model::JobName;
use serde_json::{Value, json};

use crate::client::Client;
use crate::run::key_or_env;
use crate::{CliError, Exit, JobCommand, JobOptions, Output, table};

const JOB_COLUMNS: &[&str] = &["job", "phase", "attempt", "worker", "lost", "cancel", "why"];
const CANCELLED_COLUMNS: &[&str] = &["job", "code"];

/// Runs a `job` command with the team's key.
pub(crate) async fn run(options: JobOptions) -> Result<Output, CliError> {
    let key = key_or_env(options.team_key, "CACTUSWHEEL_TEAM_KEY").ok_or(CliError::NoTeamKey)?;
    let client = Client::new(options.callers, key);
    match options.command {
        JobCommand::Submit { file } => submit(&client, &file).await,
        JobCommand::Show { name } => {
            let job: Value = client.get(&format!("/jobs/{name}")).await?;
            render(&job)
        }
        JobCommand::Cancel { names } => cancel(&client, &names).await,
    }
}

/// Submits a job; the file only has to be JSON here, as the entry validates the specification.
async fn submit(client: &Client, file: &Path) -> Result<Output, CliError> {
    let text = std::fs::read(file).map_err(|e| CliError::file(file, e))?;
    let job: Value = parse_json(&text).map_err(|e| CliError::file(file, e))?;
    render(&client.post("/jobs", &job).await?)
}

async fn cancel(client: &Client, names: &[JobName]) -> Result<Output, CliError> {
    let rows: Vec<Value> = client
        .post("/jobs/cancel", &json!({ "names": names }))
        .await?;
    let exit = match rows.iter().all(|row| row["code"] == 0) {
        true => Exit::Done,
        false => Exit::Refused,
    };
    Ok(Output::new(table(CANCELLED_COLUMNS, &rows), &rows)?.with_exit(exit))
}

fn render(job: &Value) -> Result<Output, CliError> {
    Output::new(table(JOB_COLUMNS, std::slice::from_ref(job)), job)
}

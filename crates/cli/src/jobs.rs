//! A team's jobs.

use std::path::Path;

use cactuswheel_http::parse_json;
use cactuswheel_model::JobName;
use serde_json::{Value, json};

use crate::client::Client;
use crate::run::given;
use crate::{CliError, Exit, JobCommand, JobOptions, Output, table};

const JOB: &[&str] = &["job", "phase", "attempt", "worker", "lost", "cancel", "why"];
const CANCELLED: &[&str] = &["job", "code"];

/// Carries out what a team does with its jobs.
pub(crate) async fn run(options: JobOptions) -> Result<Output, CliError> {
    let key = given(options.team_key, "CACTUSWHEEL_TEAM_KEY").ok_or(CliError::NoTeamKey)?;
    let client = Client::new(options.callers, key);
    match options.command {
        JobCommand::Submit { file } => submit(&client, &file).await,
        JobCommand::Show { name } => {
            let job: Value = client.get(&format!("/jobs/{name}")).await?;
            view(&job)
        }
        JobCommand::Cancel { names } => cancel(&client, &names).await,
    }
}

/// The entry knows what a job has to hold; here it only has to be JSON.
async fn submit(client: &Client, file: &Path) -> Result<Output, CliError> {
    let text = std::fs::read(file).map_err(|e| CliError::file(file, e))?;
    let job: Value = parse_json(&text).map_err(|e| CliError::file(file, e))?;
    view(&client.post("/jobs", &job).await?)
}

async fn cancel(client: &Client, names: &[JobName]) -> Result<Output, CliError> {
    let rows: Vec<Value> = client
        .post("/jobs/cancel", &json!({ "names": names }))
        .await?;
    let exit = match rows.iter().all(|row| row["code"] == 0) {
        true => Exit::Done,
        false => Exit::Refused,
    };
    Ok(Output::new(table(CANCELLED, &rows), &rows)?.with_exit(exit))
}

fn view(job: &Value) -> Result<Output, CliError> {
    Output::new(table(JOB, std::slice::from_ref(job)), job)
}

//! Keys of teams.

use std::io::Read;

use cactuswheel_fleet::Outcome;
use cactuswheel_model::{Change, Code, Digest, KeyGrant, Offset, Ticket, TicketNo};
use serde::Serialize;
use serde_json::{Value, json};

use crate::client::{Client, items};
use crate::files::read_key;
use crate::{CliError, KeyCommand, Output, ticket, views, wait};

/// Random bytes in a key.
const KEY_BYTES: usize = 32;

/// Numbers tried when other operators put tickets in at the same time.
const MAX_ATTEMPTS: usize = 5;

/// A new key, shown once.
#[derive(Serialize)]
struct Granted {
    key: String,
    digest: Digest,
    ticket: TicketNo,
    offset: Offset,
}

/// Carries out what needs an entry, and `digest`.
pub(crate) async fn run(client: &Client, command: KeyCommand) -> Result<Output, CliError> {
    match command {
        KeyCommand::List => views::list(client, &views::KEYS).await,
        KeyCommand::Digest => digest(std::io::stdin()),
        KeyCommand::Deny { digest } => deny(client, digest).await,
        KeyCommand::Grant { wait, team } => {
            let key = new_key();
            let digest = Digest::of(key.as_bytes());
            let grant = KeyGrant {
                digest,
                team,
                withdrawn: false,
            };
            let reason = format!("key granted to {}", grant.team);
            let outcome = submit_grant(client, grant, reason).await?;
            let text = format!(
                "key     {key}   (shown this once)\ndigest  {digest}\n{}",
                ticket::in_force_line(&outcome)
            );
            let granted = Granted {
                key,
                digest,
                ticket: outcome.ticket,
                offset: outcome.offset,
            };
            wait::finish_with(client, &wait, &outcome, text, &granted).await
        }
        KeyCommand::Withdraw { wait, digest } => {
            let grant = KeyGrant {
                withdrawn: true,
                ..find_grant(client, digest).await?
            };
            let reason = format!("key of {} withdrawn", grant.team);
            let outcome = submit_grant(client, grant, reason).await?;
            let text = ticket::in_force_line(&outcome);
            wait::finish(client, &wait, &outcome, text).await
        }
    }
}

/// Prints the digest of a key.
pub(crate) fn digest(input: impl Read) -> Result<Output, CliError> {
    let digest = Digest::of(read_key(input)?.as_bytes());
    Output::new(digest.to_string(), &digest)
}

/// Denies a key at the client's entry.
async fn deny(client: &Client, digest: Digest) -> Result<Output, CliError> {
    let request = json!({ "digest": digest });
    let answer: Value = client.post("/v1/denials", &request).await?;
    let text = match answer["recorded"] == true {
        true => "denied, and in the log",
        false => "denied at this entry; its peers and the log are being told",
    };
    Output::new(text, &answer)
}

fn new_key() -> String {
    let bytes: [u8; KEY_BYTES] = rand::random();
    let digits = bytes.iter().map(|b| format!("{b:02x}"));
    digits.collect()
}

async fn find_grant(client: &Client, digest: Digest) -> Result<KeyGrant, CliError> {
    let list: Value = client.get("/v1/keys").await?;
    let grants = items(&list).iter().cloned().map(serde_json::from_value);
    let mut grants = grants.filter_map(Result::<KeyGrant, _>::ok);
    let not_found = || CliError::Refused {
        code: Code::NotFound.number(),
        message: Code::NotFound.text().into(),
        detail: format!("key {digest}"),
    };
    grants.find(|g| g.digest == digest).ok_or_else(not_found)
}

/// Puts a key's new state in under the next free number.
///
/// Two operators may take the same number; the log's order lets one have it and the other one
/// tries the next.
async fn submit_grant(
    client: &Client,
    grant: KeyGrant,
    reason: String,
) -> Result<Outcome, CliError> {
    let note = format!("key's digest {}", grant.digest);
    let mut ticket = Ticket {
        ticket: TicketNo::default(),
        author: None,
        at: None,
        reason,
        changes: vec![Change::Key(grant)],
    };
    let mut attempts_left = MAX_ATTEMPTS;
    loop {
        ticket.ticket = TicketNo::new(ticket::next_number(client).await?);
        attempts_left -= 1;
        match ticket::submit(client, &ticket).await {
            Err(e) if e.has_code(Code::TicketUsed) && attempts_left > 0 => {}
            // Without the digest nobody could withdraw a key that was granted all the same.
            result => return result.map_err(|e| e.with_note(&note)),
        }
    }
}

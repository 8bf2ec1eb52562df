//! The `key` commands.

use std::io::Read;

use cactuswheel_fleet::Outcome;
use cactuswheel_model::{Change, Code, Digest, KeyGrant, Offset, Ticket, TicketNo};
use serde::Serialize;
use serde_json::{Value, json};

use crate::client::{Client, items};
use crate::files::read_key;
use crate::{CliError, KeyCommand, Output, ticket, views, wait};

/// Number of random bytes in a new key.
const KEY_BYTES: usize = 32;

/// Ticket numbers tried before giving up when other operators submit tickets at the same time.
const MAX_ATTEMPTS: usize = 5;

/// A newly granted key; the only output that contains the key itself.
#[derive(Serialize)]
struct Granted {
    key: String,
    digest: Digest,
    ticket: TicketNo,
    offset: Offset,
}

/// Runs a `key` command.
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

/// Computes the digest of the key read from `input`.
pub(crate) fn digest(input: impl Read) -> Result<Output, CliError> {
    let digest = Digest::of(read_key(input)?.as_bytes());
    Output::new(digest.to_string(), &digest)
}

/// Denies a key at the client's entry immediately.
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

/// Submits a ticket with the new state of a key, under the next free ticket number.
///
/// Two operators may submit the same number at the same time. The ticket that comes first in the
/// log gets the number, and the other operator's command retries with the next one.
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
            // The error names the digest, because the key may have been granted despite the error
            // and the operator needs the digest to withdraw it.
            result => return result.map_err(|e| e.with_note(&note)),
        }
    }
}

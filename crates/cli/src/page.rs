//! Generates the page `docs/CODES.md` from the result codes and exit statuses.

use std::ops::Range;

use cactuswheel_model::Code;

use crate::Exit;

/// Range of the codes that only programs print; they have no HTTP status.
const PROGRAM_CODES: Range<u16> = 500..600;

/// Returns the expected content of `docs/CODES.md`.
pub fn code_page() -> String {
    let mut page = String::from(HEADER);
    for code in Code::ALL {
        page.push_str(&code_row(*code));
    }
    page.push_str(EXIT_HEADER);
    for exit in Exit::ALL {
        page.push_str(&format!("| {} | {} |\n", *exit as u8, exit.description()));
    }
    page
}

fn code_row(code: Code) -> String {
    let (number, ran) = (code.number(), code.ran());
    let status = match PROGRAM_CODES.contains(&number) {
        true => "-".to_owned(),
        false => code.status().to_string(),
    };
    let (meaning, advice) = (code.meaning(), code.advice());
    format!("| {number} | `{code:?}` | {status} | {ran} | {meaning} | {advice} |\n")
}

const HEADER: &str = "\
# Result codes

Made from `crates/model/src/code.rs`; a test keeps this page and the code the same. After a
change there:

    cargo run -p cactuswheel-cli --example codes > docs/CODES.md

Every answer to a caller carries the number in the header `x-cactuswheel-code` and the run state
in `x-cactuswheel-ran`; a refusal carries both in its JSON body too, with `retry_ms` where a time
to come back is known. Numbers are stable: a retired one gets no other meaning.

Run state: `ran`, the whole answer is here; `not-run`, it did not start and will not; `unknown`,
it was handed over and nobody can tell.

| Code | Name | HTTP | Run state | Meaning | What to do |
|---|---|---|---|---|---|
";

const EXIT_HEADER: &str = "
## Exit statuses of the command line

`cactuswheeld` ends with 0 after a planned stop and with 1 if it cannot start.

| Status | Meaning |
|---|---|
";

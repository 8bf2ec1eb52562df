//! Checks that `docs/CODES.md` matches the result codes and that each code is documented.

use std::path::Path;

use cactuswheel_cli::code_page;
use cactuswheel_model::Code;

#[test]
fn page_matches() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/CODES.md");
    let page = std::fs::read_to_string(path).unwrap();
    let same = page == code_page();
    assert!(
        same,
        "cargo run -p cactuswheel-cli --example codes > docs/CODES.md"
    );
}

#[test]
fn advice_given() {
    for code in Code::ALL {
        assert!(!code.advice().is_empty(), "{code:?} has no advice");
        assert!(!code.meaning().is_empty(), "{code:?} has no meaning");
    }
}

#[test]
fn numbers_rise() {
    assert!(Code::ALL.windows(2).all(|w| w[0].number() < w[1].number()));
}

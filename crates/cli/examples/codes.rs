//! Prints the expected content of `docs/CODES.md`.

fn main() {
    print!("{}", cactuswheel_cli::code_page());
}

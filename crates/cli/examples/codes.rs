//! Prints the page `docs/CODES.md`.

fn main() {
    print!("{}", cactuswheel_cli::code_page());
}

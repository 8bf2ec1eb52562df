//! `cactuswheel`: the operators' command line.

use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    let options = cactuswheel_cli::options().run();
    match cactuswheel_cli::run(options).await {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("cactuswheel: {e}");
            e.exit_code()
        }
    }
}

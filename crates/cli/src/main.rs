//! `cactuswheel`: the operators' command line.

use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    let options = cactuswheel_cli::options().run();
    let json = options.json;
    match cactuswheel_cli::run(options).await {
        Ok(output) => {
            println!("{}", output.render(json));
            output.exit().into()
        }
        Err(e) => {
            eprintln!("cactuswheel: {e}");
            e.exit().into()
        }
    }
}

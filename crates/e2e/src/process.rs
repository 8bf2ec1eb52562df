//! One program as a child process.

use std::io::{BufRead, BufReader, Write};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};

/// A running program; killed by its id when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a program of this workspace and waits for its line `ready ...`.
    ///
    /// # Panics
    ///
    /// If it cannot be started or ends before it is ready.
    pub fn start(program: &str, args: &[&str]) -> Self {
        Self::start_logged(program, args, Stdio::inherit())
    }

    /// Like [`Process::start`], with its standard error to `log`.
    pub fn start_logged(program: &str, args: &[&str], log: Stdio) -> Self {
        let path = binary(program);
        let child = Command::new(&path)
            .args(args)
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn();
        let mut child = child.unwrap_or_else(|e| panic!("{}: {e}", path.display()));
        let out = child.stdout.take().expect("standard output is piped");
        let mut lines = BufReader::new(out).lines();
        let first = lines.next().and_then(Result::ok).unwrap_or_default();
        assert!(
            first.starts_with("ready"),
            "{program} {args:?} said `{first}`"
        );
        Self { child }
    }

    /// Starts a program and gives back what it prints, up to a line that holds `last`.
    ///
    /// # Panics
    ///
    /// If it cannot be started or ends before that line.
    pub fn start_printing(program: &str, args: &[&str], last: &str) -> (Self, Vec<String>) {
        let mut command = Command::new(binary(program));
        let child = command.args(args).stdout(Stdio::piped()).spawn();
        let mut process = Self {
            child: child.expect("the program starts"),
        };
        let out = process.child.stdout.take();
        let out = out.expect("standard output is piped");
        let mut printed = Vec::new();
        for line in BufReader::new(out).lines().map_while(Result::ok) {
            printed.push(line);
            if printed.last().is_some_and(|l| l.contains(last)) {
                return (process, printed);
            }
        }
        panic!("{program} {args:?} ended after {printed:?}");
    }

    /// Runs a program to its end.
    pub fn output(program: &str, args: &[&str]) -> std::process::Output {
        Command::new(binary(program))
            .args(args)
            .output()
            .expect("the program starts")
    }

    /// Runs a program to its end with `input` on its standard input.
    pub fn output_with(program: &str, args: &[&str], input: &str) -> std::process::Output {
        let mut command = Command::new(binary(program));
        command.args(args).stdin(Stdio::piped());
        command.stdout(Stdio::piped()).stderr(Stdio::piped());
        let mut child = command.spawn().expect("the program starts");
        let mut stdin = child.stdin.take().expect("standard input is piped");
        // A program that has seen enough may have closed it.
        let _ = stdin.write_all(input.as_bytes());
        drop(stdin);
        child.wait_with_output().expect("the program ends")
    }

    /// Where a program of this workspace stands.
    pub fn path(program: &str) -> PathBuf {
        binary(program)
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, by name as `kill` takes it.
    pub fn signal(&self, name: &str) {
        let id = self.id().to_string();
        let status = Command::new("kill").args(["-s", name, &id]).status();
        assert!(status.is_ok_and(|s| s.success()), "kill -s {name} {id}");
    }

    /// Waits for its end.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("the process can be waited for")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended already; there is nothing to do then.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A program built beside the test that runs.
fn binary(name: &str) -> PathBuf {
    let mut dir = std::env::current_exe().expect("a test knows its own file");
    dir.pop();
    if dir.ends_with("deps") || dir.ends_with("examples") {
        dir.pop();
    }
    let path = dir.join(name);
    assert!(
        path.exists(),
        "{} is not built: run cargo test --workspace",
        path.display()
    );
    path
}

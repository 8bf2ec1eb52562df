//! The pages: links lead somewhere, and the examples show what really comes.
//!
//! `CACTUSWHEEL_DOCS=write cargo test -p cactuswheel-e2e --test docs` writes the answers anew.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::{env, fs};

use cactuswheel_e2e::{Hosts, Process};

/// Starts a line with a command; what it prints follows.
const PROMPT: &str = "    $ ";

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// All pages of the project.
fn pages() -> Vec<PathBuf> {
    let mut pages = Vec::new();
    let mut dirs = vec![root()];
    while let Some(dir) = dirs.pop() {
        for entry in fs::read_dir(dir).unwrap().map(Result::unwrap) {
            let (path, name) = (entry.path(), entry.file_name());
            let hidden = name.to_string_lossy().starts_with('.') || name == "target";
            match entry.file_type().unwrap().is_dir() {
                true if !hidden => dirs.push(path),
                false if path.extension().is_some_and(|e| e == "md") => pages.push(path),
                _ => {}
            }
        }
    }
    pages
}

/// Targets of links, `[text](target)`.
fn links(text: &str) -> impl Iterator<Item = &str> {
    text.split("](")
        .skip(1)
        .filter_map(|rest| rest.split(')').next())
}

/// Names between backquotes that look like files of this project.
fn files(text: &str) -> impl Iterator<Item = &str> {
    const TOPS: [&str; 4] = ["crates/", "docs/", "examples/", ".ci/"];
    let quoted = text.split('`').skip(1).step_by(2);
    quoted.filter(|name| {
        let plain = name
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b"./-_".contains(&b));
        plain && TOPS.iter().any(|top| name.starts_with(top))
    })
}

/// Headings as links name them.
fn anchors(text: &str) -> BTreeSet<String> {
    let heads = text.lines().filter(|l| l.starts_with('#'));
    let names = heads.map(|l| l.trim_start_matches('#').trim().to_lowercase());
    let slug = |name: String| {
        name.replace(' ', "-")
            .replace(['`', ',', ':', '.', '\''], "")
    };
    names.map(slug).collect()
}

#[test]
fn links_lead() {
    for page in pages() {
        let text = fs::read_to_string(&page).unwrap();
        for link in links(&text).filter(|l| !l.contains("://")) {
            let (file, anchor) = link.split_once('#').unwrap_or((link, ""));
            let target = match file {
                "" => page.clone(),
                file => page.parent().unwrap().join(file),
            };
            assert!(target.exists(), "{}: {link} leads nowhere", page.display());
            let known = anchor.is_empty()
                || anchors(&fs::read_to_string(&target).unwrap()).contains(anchor);
            assert!(known, "{}: no heading for {link}", page.display());
        }
        for file in files(&text) {
            let there = root().join(file).exists();
            assert!(there, "{}: there is no {file}", page.display());
        }
    }
}

#[test]
fn crates_named() {
    let page = fs::read_to_string(root().join("CONTRIBUTING.md")).unwrap();
    for entry in fs::read_dir(root().join("crates")).unwrap() {
        let name = entry.unwrap().file_name();
        let row = format!("`crates/{}`", name.to_string_lossy());
        assert!(page.contains(&row), "CONTRIBUTING.md does not name {row}");
    }
}

/// Runs a command as a reader would, against the small fleet on `host`.
fn run(command: &str, host: &str) -> String {
    let programs = Process::path("cactuswheel");
    let path = format!(
        "{}:{}",
        programs.parent().unwrap().display(),
        env::var("PATH").unwrap()
    );
    let output = Command::new("sh")
        .args([
            "-c",
            &format!("{} 2>&1", command.replace("127.0.0.1", host)),
        ])
        .current_dir(root())
        .env("PATH", path)
        .env("CACTUSWHEEL_KEY", "demo-operator")
        .env("CACTUSWHEEL_TEAM_KEY", "demo-key")
        .env("CACTUSWHEEL_ENTRY", format!("{host}:8081"))
        .env("CACTUSWHEEL_CALLERS", format!("{host}:8080"))
        .output()
        .unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    text.replace(host, "127.0.0.1").replace('\r', "")
}

/// Numbers, dates and random digests differ from run to run; words and codes have to be the same.
fn steady(text: &str) -> Vec<String> {
    let lines = text
        .lines()
        .filter(|l| !l.trim_start().starts_with("date:"));
    let lines = lines.map(|line| {
        let words = line.split(|c: char| !c.is_ascii_alphanumeric());
        words
            .filter(|w| w.len() < 32)
            .map(steady_word)
            .collect::<Vec<_>>()
    });
    let lines = lines.map(|words| words.join(" "));
    let lines = lines.map(|l| l.split_whitespace().collect::<Vec<_>>().join(" "));
    lines.filter(|l| !l.is_empty()).collect()
}

/// A word without its digits, unless it may be the number of a code.
fn steady_word(word: &str) -> String {
    let is_code = word.len() == 3 && word.bytes().all(|b| b.is_ascii_digit());
    let keep = |c: &char| is_code || !c.is_ascii_digit();
    word.chars().filter(keep).collect()
}

/// The page with every command's answer as it comes now.
fn rerun(text: &str, host: &str) -> String {
    let mut page = String::new();
    let mut answer = false;
    for line in text.lines() {
        if let Some(command) = line.strip_prefix(PROMPT) {
            page.push_str(&format!("{line}\n"));
            for printed in run(command, host).trim_end().lines() {
                page.push_str(format!("    {printed}").trim_end());
                page.push('\n');
            }
            page.push('\n');
            answer = true;
        } else if !line.starts_with("    ") && !line.is_empty() {
            answer = false;
        }
        if !answer {
            page.push_str(&format!("{line}\n"));
        }
    }
    page
}

fn check_examples(name: &str) {
    let host = Hosts::default().host().to_string();
    let args = ["--embedded", "--host", &host];
    let (_fleet, _) = Process::start_printing("cactuswheeld", &args, "Ctrl-C");
    let path = root().join("docs").join(name);
    let text = fs::read_to_string(&path).unwrap();
    let now = rerun(&text, &host);
    if env::var("CACTUSWHEEL_DOCS").is_ok_and(|v| v == "write") {
        fs::write(&path, &now).unwrap();
        return;
    }
    assert_eq!(
        steady(&text),
        steady(&now),
        "{name}: see the head of this file"
    );
}

#[test]
fn api_examples() {
    check_examples("API.md");
}

#[test]
fn operations_examples() {
    check_examples("OPERATIONS.md");
}

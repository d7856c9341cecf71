//! Plays one case: `harness CASE FOLDER`. Exits with 1 if the rule was broken, 0 if it held, and 2
//! if the case could not run.

mod http;
mod json;
mod late_report;
mod node;
mod poison_after_restart;
mod queued_at_stop;
mod reused_caller;
mod record;
mod store;
mod target;
mod unread_row;
mod world;

use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use crate::world::Verdict;

/// A case that takes longer has not run.
const LONGEST: Duration = Duration::from_secs(110);

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &words[..] else {
        eprintln!("usage: harness CASE FOLDER");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = PathBuf::from(folder);
    let (sender, receiver) = std::sync::mpsc::channel();
    let case = case.clone();
    std::thread::spawn(move || {
        let verdict = play(&case, &folder, has_trouble);
        let _ = sender.send(verdict);
    });
    // A panic of the case drops the sender.
    let code = match receiver.recv_timeout(LONGEST) {
        Ok(Verdict::Held) => 0,
        Ok(Verdict::Broken) => 1,
        Ok(Verdict::NotRun) | Err(_) => 2,
    };
    node::kill_all();
    std::process::exit(code);
}

fn play(case: &str, folder: &Path, has_trouble: bool) -> Verdict {
    match case {
        "late-report" => late_report::play(folder, has_trouble),
        "unread-row" => unread_row::play(folder, has_trouble),
        "reused-caller" => reused_caller::play(folder, has_trouble),
        "poison-after-restart" => poison_after_restart::play(folder, has_trouble),
        "queued-at-stop" => queued_at_stop::play(folder, has_trouble),
        _ => Verdict::NotRun,
    }
}

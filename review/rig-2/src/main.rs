//! The stand-ins of the review's cases: clients, job servers, discovery and the network. Started by
//! each case's `run.sh` from the root of the repository as `review-rig-2 CASE FOLDER TEMPORARY-FOLDER`.
//!
//! Exit codes: 0, the rule held; 1, it was broken; 2, the case could not run.

mod cases;
mod client;
mod discovery;
mod http;
mod record;
mod server;
mod sidecar;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
}

/// What every case gets.
pub struct Setting {
    pub record: Arc<Record>,
    /// A temporary folder of this run.
    pub directory: std::path::PathBuf,
    /// False with `TROUBLE=0`: the same without the disruption.
    pub trouble: bool,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, directory] = arguments.as_slice() else {
        eprintln!("usage: review-rig-2 CASE FOLDER TEMPORARY-FOLDER");
        return ExitCode::from(2);
    };
    match run(case, Path::new(folder), Path::new(directory)) {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

fn run(case: &str, folder: &Path, directory: &Path) -> std::io::Result<Verdict> {
    let setting = Setting {
        record: Arc::new(Record::create(&folder.join("record.txt"))?),
        directory: directory.to_owned(),
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let name = if setting.trouble {
        "with the disruption"
    } else {
        "TROUBLE=0"
    };
    setting
        .record
        .line(format!("case {case}, {name}; times are seconds from here"));
    let verdict = match case {
        "slow-discovery" => cases::slow_discovery::run(&setting),
        "short-length" => cases::short_length::run(&setting),
        "crowd" => cases::crowd::run(&setting),
        "held-up-end" => cases::held_up_end::run(&setting),
        "slow-writer" => cases::slow_writer::run(&setting),
        _ => Err(std::io::Error::other("unknown case")),
    };
    match &verdict {
        Ok(Verdict::Broken) => setting.record.say("THE RULE WAS BROKEN"),
        Ok(Verdict::Held) => setting.record.say("the rule held"),
        Err(error) => setting
            .record
            .say(format!("the case could not run: {error}")),
    }
    verdict
}

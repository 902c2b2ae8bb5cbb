//! Runs arrowstand_balancer balancers on the simulator's line protocol: one batch in, one reply out.

mod host;
mod wire;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use host::Host;
use wire::{Batch, Reply};

fn run() -> Result<(), String> {
    let (mut input, mut output) = (io::stdin().lock(), io::stdout().lock());
    let (mut host, mut reply, mut line) = (Host::default(), Reply::new(), Vec::new());
    loop {
        line.clear();
        let read = input.read_until(b'\n', &mut line);
        if read.map_err(|e| format!("cannot read: {e}"))? == 0 {
            return Ok(());
        }
        let batch: Batch = serde_json::from_slice(&line).map_err(|e| format!("bad batch: {e}"))?;
        reply.clear();
        host.run(&batch, &mut reply)?;
        let written = output
            .write_all(reply.line().as_bytes())
            .and_then(|()| output.flush());
        written.map_err(|e| format!("cannot write: {e}"))?;
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("arrowstand-adapter: {problem}");
            ExitCode::FAILURE
        }
    }
}

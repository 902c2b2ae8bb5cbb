//! Runs the balancers of simulated sidecars on the simulator's line protocol: reads one batch of
//! events per line and writes one reply with the resulting actions, until the end of the input.
//!
//! `wire` defines the input format, `reply` the output format, and `host` handles the events.

mod error;
mod host;
mod reply;
mod wire;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use error::AdapterError;
use host::Host;
use reply::Reply;
use wire::Batch;

fn serve_stdin() -> Result<(), AdapterError> {
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut host = Host::default();
    let mut reply = Reply::new();
    let mut line = Vec::new();
    loop {
        line.clear();
        let bytes_read = input
            .read_until(b'\n', &mut line)
            .map_err(AdapterError::Read)?;
        if bytes_read == 0 {
            return Ok(());
        }
        let batch: Batch = serde_json::from_slice(&line).map_err(AdapterError::Batch)?;
        reply.clear();
        host.handle_batch(&batch, &mut reply)?;
        output
            .write_all(reply.finish().as_bytes())
            .and_then(|()| output.flush())
            .map_err(AdapterError::Write)?;
    }
}

fn main() -> ExitCode {
    match serve_stdin() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("arrowstand-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

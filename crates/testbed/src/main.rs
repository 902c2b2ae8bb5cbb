//! The `arrowstand-testbed` program: runs scenarios in the simulator or the emulator.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    arrowstand_testbed::cli::main()
}

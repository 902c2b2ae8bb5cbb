//! arrowstand-testbed: plays scenarios in the simulator and in the emulator.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    arrowstand_testbed::cli::main()
}

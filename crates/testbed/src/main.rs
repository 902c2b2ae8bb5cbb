//! arrowstand-testbed: plays scenarios in the model and on the stage.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    arrowstand_testbed::cli::main()
}

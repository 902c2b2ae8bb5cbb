//! Helpers of the tests that start programs and write files.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// The testbed's program.
pub(crate) const TESTBED: &str = env!("CARGO_BIN_EXE_arrowstand-testbed");

/// Runs the testbed's program to its end.
#[allow(dead_code, reason = "not every test program runs the testbed's")]
pub(crate) fn testbed(arguments: &[&str]) -> Output {
    Command::new(TESTBED)
        .args(arguments)
        .output()
        .expect("the testbed runs")
}

/// The sidecar's program, which a test of the whole workspace builds beside the testbed's.
#[allow(dead_code, reason = "not every test program starts sidecars")]
pub(crate) fn sidecar_program() -> PathBuf {
    let path = Path::new(TESTBED).with_file_name("arrowstand");
    assert!(
        path.is_file(),
        "{} is missing: test the whole workspace",
        path.display()
    );
    path
}

/// A path in the system's temporary folder that no other process uses; removed as this is dropped.
pub(crate) struct TemporaryPath(PathBuf);

impl TemporaryPath {
    /// A path that does not exist yet.
    pub(crate) fn new(name: &str) -> Self {
        let name = format!("arrowstand-testbed-{}-{name}", std::process::id());
        Self(std::env::temp_dir().join(name))
    }

    /// A file with this text.
    #[allow(dead_code, reason = "not every test program writes files")]
    pub(crate) fn with_text(name: &str, text: &str) -> Self {
        let path = Self::new(name);
        std::fs::write(&path.0, text).expect("the temporary folder can be written");
        path
    }

    #[allow(dead_code, reason = "not every test program needs it as a path")]
    pub(crate) fn path(&self) -> &Path {
        &self.0
    }

    #[allow(dead_code, reason = "not every test program passes paths as arguments")]
    pub(crate) fn as_str(&self) -> &str {
        self.0.to_str().expect("a temporary path is text")
    }

    #[allow(dead_code, reason = "not every test program reads files")]
    pub(crate) fn read(&self) -> String {
        std::fs::read_to_string(&self.0).expect("the file is there")
    }
}

impl Drop for TemporaryPath {
    fn drop(&mut self) {
        let _ = if self.0.is_dir() {
            std::fs::remove_dir_all(&self.0)
        } else {
            std::fs::remove_file(&self.0)
        };
    }
}

//! Helpers for tests that start programs and use temporary files.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// Path of the testbed's executable.
pub(crate) const TESTBED: &str = env!("CARGO_BIN_EXE_arrowstand-testbed");

/// Runs the testbed with these arguments and waits until it exits.
#[allow(dead_code, reason = "not every test target runs the testbed")]
pub(crate) fn testbed(arguments: &[&str]) -> Output {
    Command::new(TESTBED)
        .args(arguments)
        .output()
        .expect("the testbed can be started")
}

/// Path of the sidecar's executable. Cargo builds it next to the testbed's when the tests of the
/// whole workspace run.
#[allow(dead_code, reason = "not every test target starts sidecars")]
pub(crate) fn sidecar_program() -> PathBuf {
    let path = Path::new(TESTBED).with_file_name("arrowstand");
    assert!(
        path.is_file(),
        "{} is missing; run the tests of the whole workspace to build it",
        path.display()
    );
    path
}

/// A path in the system's temporary folder, unique to this process. The file or folder at the path
/// is removed on drop.
pub(crate) struct TemporaryPath(PathBuf);

impl TemporaryPath {
    /// Reserves a path without creating anything there.
    pub(crate) fn new(name: &str) -> Self {
        let name = format!("arrowstand-testbed-{}-{name}", std::process::id());
        Self(std::env::temp_dir().join(name))
    }

    /// Writes a file with this text.
    #[allow(dead_code, reason = "not every test target writes files")]
    pub(crate) fn with_text(name: &str, text: &str) -> Self {
        let path = Self::new(name);
        std::fs::write(&path.0, text).expect("the temporary folder can be written");
        path
    }

    #[allow(dead_code, reason = "not every test target needs a `Path`")]
    pub(crate) fn path(&self) -> &Path {
        &self.0
    }

    #[allow(dead_code, reason = "not every test target passes paths as arguments")]
    pub(crate) fn as_str(&self) -> &str {
        self.0.to_str().expect("the temporary path is valid UTF-8")
    }

    #[allow(dead_code, reason = "not every test target reads files")]
    pub(crate) fn read(&self) -> String {
        std::fs::read_to_string(&self.0).expect("the file can be read")
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

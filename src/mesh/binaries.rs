//! Where the programs are.

use std::env;
use std::path::Path;
use std::path::PathBuf;

use crate::errors::MeshError;

/// The programs that a mesh starts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Binaries {
    pub node: PathBuf,
    pub platform: PathBuf,
    pub backend: PathBuf,
}

impl Binaries {
    /// The programs built together with the one that runs, or with the test that runs.
    ///
    /// # Errors
    /// When one of them is not there.
    pub fn beside_current() -> Result<Self, MeshError> {
        let current = env::current_exe().map_err(MeshError::CurrentExe)?;
        let folder = current.parent().unwrap_or(Path::new("."));
        let folder = match folder.ends_with("deps") {
            true => folder.parent().unwrap_or(folder),
            false => folder,
        };
        Ok(Self {
            node: program(folder, "sassafrasgap-node")?,
            platform: program(folder, "sassafrasgap-platform")?,
            backend: program(folder, "sassafrasgap-backend")?,
        })
    }
}

fn program(folder: &Path, name: &str) -> Result<PathBuf, MeshError> {
    let path = folder.join(name);
    match path.is_file() {
        true => Ok(path),
        false => Err(MeshError::NoProgram { path }),
    }
}

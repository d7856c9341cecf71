//! The folder in which a mesh keeps settings, logs and run logs.

use std::env;
use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use crate::errors::MeshError;

/// Keeps the folder of every mesh when it is set.
const KEEP_VARIABLE: &str = "SASSAFRASGAP_KEEP_MESH";

static FOLDERS: AtomicU32 = AtomicU32::new(0);

/// A folder that is removed with the mesh, unless a test fails: then its logs say why.
pub struct MeshFolder {
    path: PathBuf,
}

impl MeshFolder {
    /// Makes a new folder among the temporary files.
    ///
    /// # Errors
    /// When it cannot be made.
    pub fn create() -> Result<Self, MeshError> {
        let number = FOLDERS.fetch_add(1, Ordering::Relaxed);
        let name = format!("sassafrasgap-mesh-{}-{number}", process::id());
        let path = env::temp_dir().join(name);
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(&path).map_err(|source| MeshError::Write {
            path: path.clone(),
            source,
        })?;
        Ok(Self { path })
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

impl Drop for MeshFolder {
    fn drop(&mut self) {
        if std::thread::panicking() || env::var_os(KEEP_VARIABLE).is_some() {
            eprintln!("mesh: logs kept folder={}", self.path.display());
            return;
        }
        let _ = fs::remove_dir_all(&self.path);
    }
}

//! Reads and atomically replaces files, with errors that name the file.

use std::{
    fs::{self, OpenOptions},
    io::{self, Write},
    os::unix::fs::OpenOptionsExt,
    path::{Path, PathBuf},
};
use thiserror::Error;

/// Error of reading or writing a file or of creating a directory.
#[derive(Debug, Error)]
#[error("cannot {action} {}", path.display())]
pub struct FileError {
    action: &'static str,
    path: PathBuf,
    source: io::Error,
}

impl FileError {
    fn for_action(action: &'static str, path: &Path) -> impl FnOnce(io::Error) -> Self {
        move |source| FileError {
            action,
            path: path.to_owned(),
            source,
        }
    }
}

/// Who may read a file after it is written.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Access {
    Everyone,
    OwnerOnly,
}

impl Access {
    fn mode(self) -> u32 {
        match self {
            Access::Everyone => 0o644,
            Access::OwnerOnly => 0o600,
        }
    }
}

pub(crate) fn read(path: &Path) -> Result<String, FileError> {
    fs::read_to_string(path).map_err(FileError::for_action("read", path))
}

pub(crate) fn size_bytes(path: &Path) -> Result<u64, FileError> {
    let metadata = fs::metadata(path).map_err(FileError::for_action("read", path))?;
    Ok(metadata.len())
}

pub(crate) fn create_dir(path: &Path) -> Result<(), FileError> {
    fs::create_dir_all(path).map_err(FileError::for_action("create", path))
}

/// Replaces a file atomically: a reader sees either the old content or the new
/// content.
pub(crate) fn replace(path: &Path, text: &str, access: Access) -> Result<(), FileError> {
    write_and_rename(path, text, access).map_err(FileError::for_action("write", path))
}

fn write_and_rename(path: &Path, text: &str, access: Access) -> io::Result<()> {
    let mut temporary = path.as_os_str().to_owned();
    temporary.push(".new");
    let temporary = Path::new(&temporary);
    // A temporary file may remain from an earlier write that was interrupted.
    match fs::remove_file(temporary) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
        _ => {}
    }
    let mut file = OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(access.mode())
        .open(temporary)?;
    file.write_all(text.as_bytes())?;
    file.sync_all()?;
    fs::rename(temporary, path)
}

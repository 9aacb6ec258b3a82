//! Reads files up to a maximum size.

use std::fs::File;
use std::io::{self, Read};
use std::path::Path;

use crate::SettingsError;

/// Reads the text of a file, up to one byte more than the maximum size.
pub(crate) fn read(path: &Path) -> Result<String, SettingsError> {
    let mut text = String::new();
    let read = open(path).and_then(|mut file| file.read_to_string(&mut text));
    match read {
        Ok(_) => Ok(text),
        Err(source) => Err(SettingsError::Unreadable { path: path.to_owned(), source }),
    }
}

/// Opens a file for reading one byte more than the maximum size. The additional byte shows that a file is too large
/// without reading all of it.
fn open(path: &Path) -> io::Result<io::Take<File>> {
    Ok(File::open(path)?.take(SettingsError::MAX_BYTES + 1))
}

/// Returns an error if the text is too large.
pub(crate) fn check_len(file: &str, text: &str) -> Result<(), SettingsError> {
    let len = text.len() as u64;
    if len > SettingsError::MAX_BYTES {
        return Err(SettingsError::TooLarge { file: file.to_owned(), len });
    }
    Ok(())
}

//! Reading of files with a bound on their size.

use std::fs::File;
use std::io::{self, Read};
use std::path::Path;

use crate::SettingsError;

/// The text of a file, if it is not too large.
pub(crate) fn read(path: &Path) -> Result<String, SettingsError> {
    let mut text = String::new();
    let read = open(path).and_then(|mut file| file.read_to_string(&mut text));
    match read {
        Ok(_) => Ok(text),
        Err(source) => Err(SettingsError::Unreadable { path: path.to_owned(), source }),
    }
}

/// One byte more than accepted is read, so that a file that is too large is noticed and not read whole.
fn open(path: &Path) -> io::Result<io::Take<File>> {
    Ok(File::open(path)?.take(SettingsError::MAX_BYTES + 1))
}

/// Refuses a text that is too large.
pub(crate) fn check_len(file: &str, text: &str) -> Result<(), SettingsError> {
    let len = text.len() as u64;
    if len > SettingsError::MAX_BYTES {
        return Err(SettingsError::TooLarge { file: file.to_owned(), len });
    }
    Ok(())
}

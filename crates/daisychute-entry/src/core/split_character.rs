//! UTF-8 characters that are split between two parts of a text.

/// Longest incomplete character in bytes.
const MAX_INCOMPLETE: usize = 3;

/// Offset of the character that `text` ends in the middle of; the length of `text` if there is none.
pub(super) fn offset(text: &[u8]) -> usize {
    let mut candidates = text.len().saturating_sub(MAX_INCOMPLETE)..text.len();
    candidates.find(|it| is_incomplete(&text[*it..])).unwrap_or(text.len())
}

/// Whether these bytes are the start of one character and may be completed by further ones.
fn is_incomplete(bytes: &[u8]) -> bool {
    str::from_utf8(bytes).is_err_and(|it| it.valid_up_to() == 0 && it.error_len().is_none())
}

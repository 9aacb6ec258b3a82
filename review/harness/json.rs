//! Finds values in JSON text without building a tree.

/// Returns the text of the value of a key of the object that begins `text`. `None` if there is none.
pub fn get<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let mut at = skip_space(bytes, 0);
    if bytes.get(at) != Some(&b'{') {
        return None;
    }
    at += 1;
    loop {
        at = skip_space(bytes, at);
        if bytes.get(at) != Some(&b'"') {
            return None;
        }
        let end = value_end(bytes, at);
        let name = &text[at + 1..end - 1];
        at = skip_space(bytes, end);
        if bytes.get(at) != Some(&b':') {
            return None;
        }
        at = skip_space(bytes, at + 1);
        let end = value_end(bytes, at);
        if name == key {
            return text.get(at..end);
        }
        at = skip_space(bytes, end);
        if bytes.get(at) != Some(&b',') {
            return None;
        }
        at += 1;
    }
}

/// Returns the content of a string value without escapes.
pub fn string(value: &str) -> &str {
    value.trim_matches('"')
}

fn skip_space(bytes: &[u8], mut at: usize) -> usize {
    while bytes.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

/// Returns the position after the value that begins at `at`.
fn value_end(bytes: &[u8], at: usize) -> usize {
    let mut depth = 0_usize;
    let mut in_string = false;
    let mut position = at;
    while position < bytes.len() {
        let byte = bytes[position];
        if in_string {
            if byte == b'\\' {
                position += 1;
            } else if byte == b'"' {
                in_string = false;
                if depth == 0 {
                    return position + 1;
                }
            }
        } else {
            match byte {
                b'"' => in_string = true,
                b'{' | b'[' => depth += 1,
                b'}' | b']' if depth == 0 => return position,
                b'}' | b']' => {
                    depth -= 1;
                    if depth == 0 {
                        return position + 1;
                    }
                }
                b',' if depth == 0 => return position,
                _ => {}
            }
        }
        position += 1;
    }
    bytes.len()
}

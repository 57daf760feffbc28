//! Texts of callers in logs and answers.

/// The start of a text that has at most `max_bytes` bytes.
pub(super) fn shorten(text: &str, max_bytes: usize) -> &str {
    let mut end = text.len().min(max_bytes);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    &text[..end]
}

#[cfg(test)]
mod tests;

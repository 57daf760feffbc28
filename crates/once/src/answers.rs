//! Answers kept for resends, bounded in number and size.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::claim::ClaimId;

/// An answer as it went to the caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type, if the target gave one.
    pub content_type: Option<String>,
    /// The whole body.
    pub body: Vec<u8>,
}

impl StoredAnswer {
    /// The memory that it takes, roughly.
    pub(crate) fn size_bytes(&self) -> usize {
        self.body.len() + self.content_type.as_ref().map_or(0, String::len) + 64
    }
}

/// Tells which answers to forget so that the kept ones stay within a number of bytes.
#[derive(Debug)]
pub(crate) struct AnswerBudget {
    max_bytes: usize,
    kept_bytes: usize,
    oldest_first: VecDeque<(ClaimId, usize)>,
}

impl AnswerBudget {
    pub(crate) fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            kept_bytes: 0,
            oldest_first: VecDeque::new(),
        }
    }

    /// Counts a kept answer; returns the claims whose answers have to go.
    pub(crate) fn keep(&mut self, id: ClaimId, size_bytes: usize) -> Vec<ClaimId> {
        self.oldest_first.push_back((id, size_bytes));
        self.kept_bytes += size_bytes;
        let mut dropped = Vec::new();
        while self.kept_bytes > self.max_bytes {
            let Some((id, size_bytes)) = self.oldest_first.pop_front() else {
                break;
            };
            self.kept_bytes -= size_bytes;
            dropped.push(id);
        }
        dropped
    }
}

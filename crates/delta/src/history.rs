//! The newest document, and the deltas to it from previous ones that receivers hold.

use crate::packed::PackedDocument;
use bytes::Bytes;
use std::{cell::RefCell, collections::VecDeque};

/// Number of previous documents kept as bases of deltas. A receiver requests the next document as
/// soon as it has one, so during a burst of changes it is two or three versions behind. One that is
/// further behind gets the full document, about 10 KB for 1,700 routes.
const MAX_PREVIOUS_DOCUMENTS: usize = 6;
/// Total size of the previous documents in bytes; the oldest are dropped above it.
const MAX_PREVIOUS_BYTES: usize = 2 * 1024 * 1024;

/// A previous document, with the delta from it to the newest once that has been requested.
#[derive(Debug)]
struct PreviousDocument {
    version: u64,
    content: Bytes,
    delta: RefCell<Option<PackedDocument>>,
}

/// The newest document and a few previous ones. Each packed form is created on its first request
/// and cached, so that its cost does not depend on the number of receivers.
#[derive(Debug, Default)]
pub struct DocumentHistory {
    newest: Option<(u64, Bytes)>,
    full: RefCell<Option<PackedDocument>>,
    previous: VecDeque<PreviousDocument>,
}

impl DocumentHistory {
    /// Version of the newest document; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.newest.as_ref().map_or(0, |(version, _)| *version)
    }

    /// Makes `content` the newest document.
    pub fn push(&mut self, version: u64, content: Bytes) {
        let replaced = self.newest.replace((version, content));
        self.full.get_mut().take();
        for previous in &mut self.previous {
            previous.delta.get_mut().take();
        }
        if let Some((version, content)) = replaced {
            let delta = RefCell::new(None);
            self.previous.push_back(PreviousDocument { version, content, delta });
        }
        while self.previous.len() > MAX_PREVIOUS_DOCUMENTS
            || self.previous_bytes() > MAX_PREVIOUS_BYTES
        {
            self.previous.pop_front();
        }
    }

    fn previous_bytes(&self) -> usize {
        self.previous.iter().map(|previous| previous.content.len()).sum()
    }

    /// The newest document for a receiver that holds version `held`: the delta if that version is
    /// still kept here, else the full document. `None` if there is no document.
    pub fn packed_for(&self, held: Option<u64>) -> Option<PackedDocument> {
        let (_, content) = self.newest.as_ref()?;
        let previous = self.previous.iter().find(|previous| Some(previous.version) == held);
        let Some(previous) = previous else {
            let mut full = self.full.borrow_mut();
            return Some(full.get_or_insert_with(|| PackedDocument::full(content)).clone());
        };
        let mut delta = previous.delta.borrow_mut();
        let pack = || PackedDocument::delta(content, &previous.content);
        Some(delta.get_or_insert_with(pack).clone())
    }
}

//! The newest document and how it is sent to receivers that hold former ones.

use crate::packed::PackedDocument;
use bytes::Bytes;
use std::{cell::RefCell, collections::VecDeque};

/// Former documents from which differences can be made. Receivers ask again as soon as they have one,
/// so in a quick succession of changes they are two or three behind; one that is further behind gets
/// the whole, which costs some 10 KB for 1,700 routes.
const MAX_FORMER: usize = 6;
/// Bytes of all former documents together; beyond it the oldest are dropped.
const MAX_FORMER_BYTES: usize = 2 * 1024 * 1024;

/// One document by its version, with its difference to the newest once somebody asked for it.
#[derive(Debug)]
struct FormerDocument {
    version: u64,
    content: Bytes,
    difference: RefCell<Option<PackedDocument>>,
}

/// The newest document and a few former ones. Each packed form is made once, when it is first asked
/// for, however many receivers ask.
#[derive(Debug, Default)]
pub struct DocumentHistory {
    newest: Option<(u64, Bytes)>,
    whole: RefCell<Option<PackedDocument>>,
    former: VecDeque<FormerDocument>,
}

impl DocumentHistory {
    /// The newest version; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.newest.as_ref().map_or(0, |(version, _)| *version)
    }

    /// Takes in a newer document.
    pub fn push(&mut self, version: u64, content: Bytes) {
        let replaced = self.newest.replace((version, content));
        self.whole.get_mut().take();
        for former in &mut self.former {
            former.difference.get_mut().take();
        }
        if let Some((version, content)) = replaced {
            let difference = RefCell::new(None);
            self.former.push_back(FormerDocument { version, content, difference });
        }
        while self.former.len() > MAX_FORMER || self.former_bytes() > MAX_FORMER_BYTES {
            self.former.pop_front();
        }
    }

    fn former_bytes(&self) -> usize {
        self.former.iter().map(|former| former.content.len()).sum()
    }

    /// The newest document for a receiver that holds version `held`: the difference if that version
    /// is still kept here, else the whole. `None` if there is no document.
    pub fn packed_for(&self, held: Option<u64>) -> Option<PackedDocument> {
        let (_, content) = self.newest.as_ref()?;
        let former = self.former.iter().find(|former| Some(former.version) == held);
        let Some(former) = former else {
            let mut whole = self.whole.borrow_mut();
            return Some(whole.get_or_insert_with(|| PackedDocument::full(content)).clone());
        };
        let mut difference = former.difference.borrow_mut();
        let make = || PackedDocument::delta(content, &former.content);
        Some(difference.get_or_insert_with(make).clone())
    }
}

//! Compressed documents.
//!
//! A configuration of a large deployment is repetitive text of hundreds of kilobytes, and
//! every VM receives each new version of it over the link of some other VM.

use std::borrow::Cow;

use bytes::Bytes;
use lz4_flex::block::{compress_prepend_size, decompress, uncompressed_size};

use crate::{codec::MAX_ENVELOPE_BYTES, fleet::Document};

/// Error for a compressed document that cannot be restored.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the compressed document is malformed or too large")]
pub struct UnpackError;

/// Compresses a document.
pub fn pack(json: &[u8]) -> Bytes {
    compress_prepend_size(json).into()
}

impl Document {
    /// Returns the document as JSON.
    ///
    /// # Errors
    ///
    /// Fails if the document is compressed and malformed, or larger than a whole message
    /// may be.
    ///
    /// # Example
    ///
    /// ```
    /// use chicoryhollow_peer::{fleet::Document, packed::pack};
    ///
    /// let json = pack(b"[1,2]");
    /// let document = Document { version: 7, json, packed: true, ..Document::default() };
    /// assert_eq!(document.content().as_deref(), Ok(&b"[1,2]"[..]));
    /// ```
    pub fn content(&self) -> Result<Cow<'_, [u8]>, UnpackError> {
        if !self.packed {
            return Ok(Cow::Borrowed(&self.json));
        }
        let (size, compressed) = uncompressed_size(&self.json).map_err(|_| UnpackError)?;
        if size > MAX_ENVELOPE_BYTES {
            return Err(UnpackError);
        }
        decompress(compressed, size).map(Cow::Owned).map_err(|_| UnpackError)
    }
}

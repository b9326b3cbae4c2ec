//! Bounds the memory that the bodies of a process's requests or responses take together.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;

/// The memory for all bodies of one kind.
#[derive(Debug)]
pub struct BodyMemory {
    free_bytes: AtomicUsize,
}

/// The memory that one body takes; it is returned on drop.
#[derive(Debug)]
pub struct BodyShare {
    memory: Arc<BodyMemory>,
    bytes: usize,
}

/// Why a body wasn't read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It is longer than allowed.
    TooLong,
    /// The bodies being held leave too little memory for it.
    NoMemory,
    /// It ended early or is malformed.
    Broken,
}

impl BodyMemory {
    /// Returns memory for bodies of `bytes` together.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::body_memory::BodyMemory;
    ///
    /// let memory = BodyMemory::with_bytes(10);
    /// let (mut one, mut other) = (memory.share(), memory.share());
    /// assert!(one.try_grow(8));
    /// assert!(!other.try_grow(3));
    /// drop(one);
    /// assert!(other.try_grow(3));
    /// ```
    pub fn with_bytes(bytes: usize) -> Arc<BodyMemory> {
        Arc::new(BodyMemory {
            free_bytes: AtomicUsize::new(bytes),
        })
    }

    /// Returns an empty share.
    pub fn share(self: &Arc<BodyMemory>) -> BodyShare {
        BodyShare {
            memory: self.clone(),
            bytes: 0,
        }
    }

    /// Reads a body of at most `bytes_max` bytes and returns it with its share. A body whose stated length is too
    /// long, or more than the free memory, isn't read at all.
    ///
    /// # Errors
    ///
    /// [`BodyError`] if the body wasn't read to its end.
    pub async fn read<B>(
        self: &Arc<BodyMemory>,
        mut body: B,
        bytes_max: usize,
    ) -> Result<(Bytes, BodyShare), BodyError>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let stated_bytes = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
        if stated_bytes > bytes_max {
            return Err(BodyError::TooLong);
        }
        if stated_bytes > self.free_bytes.load(Ordering::Relaxed) {
            return Err(BodyError::NoMemory);
        }
        let mut share = self.share();
        let mut first = Bytes::new();
        let mut buf = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(|_| BodyError::Broken)?.into_data() else {
                continue;
            };
            if data.len() > bytes_max - share.bytes {
                return Err(BodyError::TooLong);
            }
            if !share.try_grow(data.len()) {
                return Err(BodyError::NoMemory);
            }
            if first.is_empty() && buf.is_empty() {
                // Most bodies are a single frame, which needs no copy.
                first = data;
                continue;
            }
            if buf.is_empty() {
                buf.reserve(stated_bytes.max(first.len() + data.len()));
                buf.extend_from_slice(&std::mem::take(&mut first));
            }
            buf.extend_from_slice(&data);
        }
        match buf.is_empty() {
            true => Ok((first, share)),
            false => Ok((buf.freeze(), share)),
        }
    }
}

impl BodyShare {
    /// Takes `bytes` more, or reports that they aren't free.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let free_bytes = &self.memory.free_bytes;
        let taken = free_bytes.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |free| {
            free.checked_sub(bytes)
        });
        if taken.is_ok() {
            self.bytes += bytes;
        }
        taken.is_ok()
    }

    /// Returns the memory once the body was passed on.
    pub fn clear(&mut self) {
        let bytes = std::mem::take(&mut self.bytes);
        self.memory.free_bytes.fetch_add(bytes, Ordering::Relaxed);
    }
}

impl Drop for BodyShare {
    fn drop(&mut self) {
        self.clear();
    }
}

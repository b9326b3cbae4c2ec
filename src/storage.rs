//! A replica's files: a log of checked records and a snapshot, synced before they count.
//!
//! A record is its length, the CRC-32 of the length and the CRC-32 of the content, each `u32`
//! little-endian, then the encoded content. A record cut short by the end of the file, or by sectors that
//! were never written, was never acknowledged and is dropped. Any other damage may hide an acknowledged
//! record, so the folder is refused and the replica must be replaced.

use std::fmt;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use error_stack::{Report, ResultExt};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::raft::{Entry, HardState, Log, ReplicaId, Snapshot};

const RECORD_HEADER_BYTES: usize = 12;
/// What disks write as a whole, in bytes; a power loss may leave sectors at a file's end empty.
const SECTOR_BYTES: usize = 512;
/// The log file's size after which a snapshot is due, in bytes.
const COMPACT_AFTER_BYTES: u64 = 4 << 20;

/// Why a data folder can't be used.
#[derive(Debug, PartialEq, Eq)]
pub enum StorageError {
    /// The operating system refused an operation on this path.
    Io(PathBuf),
    /// A record doesn't match its check; the byte offset is given.
    Corrupt(PathBuf, u64),
}

impl fmt::Display for StorageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StorageError::Io(path) => write!(f, "can't use {}", path.display()),
            StorageError::Corrupt(path, offset) => write!(
                f,
                "{} is damaged at byte {offset}; move the data folder away and start again: the \
                 host joins as a new replica",
                path.display()
            ),
        }
    }
}

impl std::error::Error for StorageError {}

/// Who this replica is, written when its folder is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The identity drawn for this folder.
    pub replica: ReplicaId,
}

#[derive(Debug, Serialize, Deserialize)]
enum Record {
    HardState(HardState),
    Entries(Vec<Entry>),
}

/// What a folder held when it was opened.
#[derive(Debug)]
pub struct Recovered {
    /// Who this replica is.
    pub identity: Identity,
    /// The hard state.
    pub hard: HardState,
    /// The snapshot and the entries after it; empty when no log was founded here yet.
    pub log: Log,
    /// The bytes of a record that was cut short and dropped.
    pub torn_bytes: u64,
}

/// An open data folder of one replica.
#[derive(Debug)]
pub struct Storage {
    folder: PathBuf,
    file: File,
    hard: HardState,
    log_bytes: u64,
}

impl Storage {
    /// Opens a folder and makes it when it is missing; `fresh` is the identity a new folder gets.
    ///
    /// # Errors
    ///
    /// [`StorageError::Corrupt`] when a record may be lost, [`StorageError::Io`] otherwise.
    pub fn open(
        folder: &Path,
        new_id: ReplicaId,
    ) -> Result<(Storage, Recovered), Report<StorageError>> {
        let io_error = || StorageError::Io(folder.to_path_buf());
        fs::create_dir_all(folder).change_context_lazy(io_error)?;
        let identity = open_identity(folder, new_id)?;
        let snapshot = read_snapshot(&folder.join("snapshot"))?;
        let path = folder.join("log");
        let (records, valid_bytes, torn_bytes) = read_records(&path)?;
        let (hard, entries) = replay(records);
        let file = open_log(&path, valid_bytes).change_context_lazy(io_error)?;
        sync_folder(folder).change_context_lazy(io_error)?;
        let recovered = Recovered {
            identity,
            hard,
            log: Log::new(snapshot.unwrap_or_default(), entries),
            torn_bytes,
        };
        let storage = Storage {
            folder: folder.to_path_buf(),
            file,
            hard,
            log_bytes: valid_bytes,
        };
        Ok((storage, recovered))
    }

    /// Stores a hard state and entries; they last when this returns.
    pub fn append(
        &mut self,
        hard: Option<HardState>,
        entries: &[Entry],
    ) -> Result<(), Report<StorageError>> {
        let mut buf = Vec::new();
        if let Some(hard) = hard {
            self.hard = hard;
            push_record(&mut buf, &Record::HardState(hard));
        }
        if !entries.is_empty() {
            push_record(&mut buf, &Record::Entries(entries.to_vec()));
        }
        if buf.is_empty() {
            return Ok(());
        }
        self.log_bytes += buf.len() as u64;
        let io_error = || StorageError::Io(self.folder.join("log"));
        self.file.write_all(&buf).change_context_lazy(io_error)?;
        self.file.sync_data().change_context_lazy(io_error)
    }

    /// Tells whether the log has grown so long that a snapshot is due.
    pub fn is_snapshot_due(&self) -> bool {
        self.log_bytes > COMPACT_AFTER_BYTES
    }

    /// Stores a snapshot and starts the log anew with the entries after it.
    pub fn save_snapshot(
        &mut self,
        snapshot: &Snapshot,
        entries_after: &[Entry],
    ) -> Result<(), Report<StorageError>> {
        let io_error = || StorageError::Io(self.folder.clone());
        let mut buf = Vec::new();
        push_record(&mut buf, snapshot);
        replace_file(&self.folder, "snapshot", &buf).change_context_lazy(io_error)?;
        let mut log = Vec::new();
        push_record(&mut log, &Record::HardState(self.hard));
        push_record(&mut log, &Record::Entries(entries_after.to_vec()));
        replace_file(&self.folder, "log", &log).change_context_lazy(io_error)?;
        self.log_bytes = log.len() as u64;
        self.file =
            open_log(&self.folder.join("log"), self.log_bytes).change_context_lazy(io_error)?;
        Ok(())
    }
}

fn open_identity(folder: &Path, new_id: ReplicaId) -> Result<Identity, Report<StorageError>> {
    let path = folder.join("identity");
    let io_error = || StorageError::Io(path.clone());
    if path.exists() {
        let buf = fs::read(&path).change_context_lazy(io_error)?;
        return serde_json::from_slice(&buf)
            .change_context_lazy(|| StorageError::Corrupt(path.clone(), 0));
    }
    let identity = Identity { replica: new_id };
    let buf = serde_json::to_vec(&identity).change_context_lazy(io_error)?;
    replace_file(folder, "identity", &buf).change_context_lazy(io_error)?;
    Ok(identity)
}

fn read_snapshot(path: &Path) -> Result<Option<Snapshot>, Report<StorageError>> {
    if !path.exists() {
        return Ok(None);
    }
    let buf = fs::read(path).change_context_lazy(|| StorageError::Io(path.to_path_buf()))?;
    match parse_record(&buf) {
        Parsed::Complete(snapshot, _) => Ok(Some(snapshot)),
        _ => Err(Report::new(StorageError::Corrupt(path.to_path_buf(), 0))),
    }
}

enum Parsed<T> {
    Complete(T, usize),
    Truncated,
    Corrupt,
}

fn parse_record<T: DeserializeOwned>(buf: &[u8]) -> Parsed<T> {
    let Some((header, rest)) = buf.split_at_checked(RECORD_HEADER_BYTES) else {
        return Parsed::Truncated;
    };
    let u32_at =
        |n: usize| u32::from_le_bytes([header[n], header[n + 1], header[n + 2], header[n + 3]]);
    let len = u32_at(0) as usize;
    let crc = u32_at(8);
    if crc32fast::hash(&header[..4]) != u32_at(4) {
        return Parsed::Corrupt;
    }
    let Some(content) = rest.get(..len) else {
        return Parsed::Truncated;
    };
    if crc32fast::hash(content) != crc {
        return Parsed::Corrupt;
    }
    match postcard::from_bytes(content) {
        Ok(value) => Parsed::Complete(value, RECORD_HEADER_BYTES + len),
        Err(_) => Parsed::Corrupt,
    }
}

fn push_record<T: Serialize>(buf: &mut Vec<u8>, value: &T) {
    let content = postcard::to_stdvec(value).expect("records always encode");
    let len = (content.len() as u32).to_le_bytes();
    buf.extend_from_slice(&len);
    buf.extend_from_slice(&crc32fast::hash(&len).to_le_bytes());
    buf.extend_from_slice(&crc32fast::hash(&content).to_le_bytes());
    buf.extend_from_slice(&content);
}

fn read_records(path: &Path) -> Result<(Vec<Record>, u64, u64), Report<StorageError>> {
    if !path.exists() {
        return Ok((Vec::new(), 0, 0));
    }
    let buf = fs::read(path).change_context_lazy(|| StorageError::Io(path.to_path_buf()))?;
    let mut records = Vec::new();
    let mut offset = 0;
    while offset < buf.len() {
        match parse_record(&buf[offset..]) {
            Parsed::Complete(record, len) => {
                records.push(record);
                offset += len;
            }
            Parsed::Truncated => break,
            Parsed::Corrupt if has_unwritten_tail(&buf, offset) => break,
            Parsed::Corrupt => {
                let damage = StorageError::Corrupt(path.to_path_buf(), offset as u64);
                return Err(Report::new(damage));
            }
        }
    }
    Ok((records, offset as u64, (buf.len() - offset) as u64))
}

/// Tells whether the record at `at` is damaged by whole sectors up to the file's end that were never
/// written: they are empty, which no damage to a few bits brings about.
fn has_unwritten_tail(buf: &[u8], offset: usize) -> bool {
    let written = buf.iter().rposition(|b| *b != 0).map_or(0, |last| last + 1);
    let tail_start = written.max(offset).next_multiple_of(SECTOR_BYTES);
    tail_start + SECTOR_BYTES <= buf.len()
}

fn replay(records: Vec<Record>) -> (HardState, Vec<Entry>) {
    let mut hard = HardState::default();
    let mut entries: Vec<Entry> = Vec::new();
    for record in records {
        match record {
            Record::HardState(newer) => hard = newer,
            Record::Entries(newer) => {
                let Some(first) = newer.first() else { continue };
                entries.retain(|e| e.index < first.index);
                entries.extend(newer);
            }
        }
    }
    (hard, entries)
}

fn open_log(path: &Path, valid_bytes: u64) -> io::Result<File> {
    let file = OpenOptions::new()
        .create(true)
        .append(true)
        .read(true)
        .open(path)?;
    file.set_len(valid_bytes)?;
    file.sync_all()?;
    Ok(file)
}

fn replace_file(folder: &Path, name: &str, buf: &[u8]) -> io::Result<()> {
    let new = folder.join(format!("{name}.new"));
    let mut f = File::create(&new)?;
    f.write_all(buf)?;
    f.sync_all()?;
    fs::rename(&new, folder.join(name))?;
    sync_folder(folder)
}

fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}

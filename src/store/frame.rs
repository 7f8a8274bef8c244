//! Records as they stand in a file: length, checksum, body.

use snafu::{ResultExt, Snafu};

use crate::control::log::Record;

/// Bytes before each body: a 32-bit length and a 32-bit checksum, little-endian.
const HEADER: usize = 8;
/// No record is longer, in bytes; a greater length is damage.
const MAX_BODY: usize = 1 << 30;

/// What is wrong with a file's content.
#[derive(Debug, Snafu)]
pub enum FrameError {
    /// A record's checksum is wrong though the record is whole.
    #[snafu(display("record at byte {at} is damaged"))]
    Damaged {
        /// Where the record starts.
        at: usize,
    },
    /// A whole record does not decode.
    #[snafu(display("record at byte {at}: {source}"))]
    Decode {
        /// Where the record starts.
        at: usize,
        /// What the decoder found.
        source: postcard::Error,
    },
    /// A record does not encode.
    #[snafu(display("record: {source}"))]
    Encode {
        /// What the encoder found.
        source: postcard::Error,
    },
}

/// The records of a file, and how many of its bytes they take.
#[derive(Debug)]
pub struct Frames {
    /// The records.
    pub records: Vec<Record>,
    /// Bytes up to the end of the last whole record; what follows was never
    /// acknowledged and must be cut off.
    pub valid_len: usize,
}

/// Appends a record to `buf`.
///
/// # Errors
///
/// The record does not encode.
pub fn encode_record(record: &Record, buf: &mut Vec<u8>) -> Result<(), FrameError> {
    let body = postcard::to_stdvec(record).context(EncodeSnafu)?;
    let length = u32::try_from(body.len()).unwrap_or(u32::MAX);
    buf.extend_from_slice(&length.to_le_bytes());
    buf.extend_from_slice(&checksum(length, &body).to_le_bytes());
    buf.extend_from_slice(&body);
    Ok(())
}

/// Covers the length too, so that a damaged length is told from a short file.
fn checksum(length: u32, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length.to_le_bytes());
    hasher.update(body);
    hasher.finalize()
}

fn word(bytes: &[u8], at: usize) -> Option<u32> {
    let four = bytes.get(at..at + 4)?;
    Some(u32::from_le_bytes(four.try_into().ok()?))
}

/// Reads all records of a file.
///
/// A last record cut short is a write that a crash interrupted: nobody was told
/// of it, and it is left out. Anything else that is wrong is damage.
///
/// ```
/// use fulmardrift::{DiskId, Record, decode_records, encode_record};
/// let mut buf = Vec::new();
/// encode_record(&Record::Disk(DiskId(3)), &mut buf).unwrap();
/// let whole = buf.len();
/// buf.push(9);
/// let read = decode_records(&buf).unwrap();
/// assert_eq!((read.records.len(), read.valid_len), (1, whole));
/// ```
///
/// # Errors
///
/// A whole record is damaged.
pub fn decode_records(bytes: &[u8]) -> Result<Frames, FrameError> {
    let mut records = Vec::new();
    let mut at = 0;
    while let (Some(length), Some(sum)) = (word(bytes, at), word(bytes, at + 4)) {
        let size = length as usize;
        let start = at + HEADER;
        if length == 0 && bytes[at..].iter().all(|b| *b == 0) {
            // Space that the file system had set aside and never filled.
            break;
        }
        let Some(body) = bytes.get(start..start + size) else {
            if size > MAX_BODY || follows(bytes, at + 1) {
                return DamagedSnafu { at }.fail();
            }
            break;
        };
        if checksum(length, body) != sum {
            return DamagedSnafu { at }.fail();
        }
        records.push(postcard::from_bytes(body).context(DecodeSnafu { at })?);
        at = start + size;
    }
    Ok(Frames {
        records,
        valid_len: at,
    })
}

/// True when a whole record starts at or after `from`: then the one before it
/// was not cut short but damaged.
fn follows(bytes: &[u8], from: usize) -> bool {
    (from..bytes.len().saturating_sub(HEADER)).any(|at| {
        let (Some(length), Some(sum)) = (word(bytes, at), word(bytes, at + 4)) else {
            return false;
        };
        let start = at + HEADER;
        let body = bytes.get(start..start.saturating_add(length as usize));
        length > 0 && body.is_some_and(|body| checksum(length, body) == sum)
    })
}

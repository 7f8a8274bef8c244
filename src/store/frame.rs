//! The file format of records: each has a length, a checksum and a body. The body is the encoded
//! record and a mark that tells whether the record is the first of its write; bodies of earlier
//! versions have no mark, and these versions ignore it.
//!
//! A write is synced before the next one starts. So of the bytes that a power loss took, all are in
//! the last write, and a write that another one follows is complete or damaged.

use snafu::{ResultExt, Snafu};

use crate::control::log::Record;

/// Bytes before each body: its length and the checksum, both 32-bit little-endian.
const HEADER_LEN: usize = 8;
/// Maximum length of a body, in bytes; a greater length is treated as damage.
const MAX_BODY_LEN: usize = 1 << 30;

/// The first byte of a body is the kind of its record, at most this.
const LAST_KIND: u8 = 3;
/// Last byte of the first record of a write.
const FIRST_MARK: u8 = 0xA5;
/// Last byte of each further record of a write.
const LATER_MARK: u8 = 0x5A;
/// A disk writes this many bytes as a whole or not at all.
const SECTOR_LEN: usize = 512;
/// Most bytes that the search for a record after damage looks at, counted each time.
const MAX_SEARCH_LEN: usize = 1 << 30;

/// Why records cannot be read or written.
#[derive(Debug, Snafu)]
pub enum FrameError {
    /// The checksum of a complete record is wrong, or its length is.
    #[snafu(display("record at byte {offset} is damaged"))]
    Damaged {
        /// Byte offset at which the record starts.
        offset: usize,
    },
    /// A complete record does not decode.
    #[snafu(display("record at byte {offset}: {source}"))]
    Decode {
        /// Byte offset at which the record starts.
        offset: usize,
        /// The decoder's error.
        source: postcard::Error,
    },
    /// A record does not encode.
    #[snafu(display("record: {source}"))]
    Encode {
        /// The encoder's error.
        source: postcard::Error,
    },
}

/// The records of a file, and the number of bytes that they take.
#[derive(Debug)]
pub struct Frames {
    /// The records, in file order.
    pub records: Vec<Record>,
    /// Number of bytes up to the end of the last complete record. Any bytes after it were never
    /// acknowledged and must be cut off.
    pub valid_len: usize,
}

/// Encodes the records of one write.
///
/// # Errors
///
/// A record does not encode.
pub fn encode_write(records: &[Record]) -> Result<Vec<u8>, FrameError> {
    let mut buf = Vec::new();
    for record in records {
        let mark = if buf.is_empty() {
            FIRST_MARK
        } else {
            LATER_MARK
        };
        let mut body = postcard::to_stdvec(record).context(EncodeSnafu)?;
        body.push(mark);
        push_frame(&body, &mut buf);
    }
    Ok(buf)
}

fn push_frame(body: &[u8], buf: &mut Vec<u8>) {
    let length = u32::try_from(body.len()).unwrap_or(u32::MAX);
    buf.extend_from_slice(&length.to_le_bytes());
    buf.extend_from_slice(&checksum(length, body).to_le_bytes());
    buf.extend_from_slice(body);
}

/// The checksum covers the length too, which distinguishes a damaged length from a file that is too
/// short.
fn checksum(length: u32, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length.to_le_bytes());
    hasher.update(body);
    hasher.finalize()
}

fn read_u32(bytes: &[u8], offset: usize) -> Option<u32> {
    let four = bytes.get(offset..offset + 4)?;
    Some(u32::from_le_bytes(four.try_into().ok()?))
}

/// Decodes all records of a file.
///
/// An incomplete last write comes from a crash or a power loss that interrupted it. It was never
/// acknowledged, so its records are left out from the first incomplete one on. Anything else that
/// is invalid is damage.
///
/// ```
/// use fulmardrift::{DiskId, Record, decode_records, encode_write};
/// let mut buf = encode_write(&[Record::Disk(DiskId(3))]).unwrap();
/// let complete_len = buf.len();
/// buf.push(9);
/// let read = decode_records(&buf).unwrap();
/// assert_eq!((read.records.len(), read.valid_len), (1, complete_len));
/// ```
///
/// # Errors
///
/// A complete record is damaged or does not decode.
pub fn decode_records(bytes: &[u8]) -> Result<Frames, FrameError> {
    let mut records = Vec::new();
    let mut offset = 0;
    let mut is_marked = false;
    while bytes.len() >= offset + HEADER_LEN {
        let Some(body) = valid_body(bytes, offset) else {
            if is_incomplete_write(bytes, offset, is_marked) {
                break;
            }
            return DamagedSnafu { offset }.fail();
        };
        let (record, mark) = postcard::take_from_bytes(body).context(DecodeSnafu { offset })?;
        records.push(record);
        is_marked = !mark.is_empty();
        offset += HEADER_LEN + body.len();
    }
    Ok(Frames {
        records,
        valid_len: offset,
    })
}

/// The body of the record at `offset`, if that is complete.
fn valid_body(bytes: &[u8], offset: usize) -> Option<&[u8]> {
    let (length, sum) = (read_u32(bytes, offset)?, read_u32(bytes, offset + 4)?);
    let start = offset + HEADER_LEN;
    let body = bytes.get(start..start.checked_add(length as usize)?)?;
    (length > 0 && checksum(length, body) == sum).then_some(body)
}

/// True if the invalid record at `offset` belongs to a write that did not reach the disk as a
/// whole: no other write follows, and the file ends within the record or lacks some bytes of it.
/// In a file with marks, no complete write ends with a zero.
fn is_incomplete_write(bytes: &[u8], offset: usize, is_marked: bool) -> bool {
    let size = read_u32(bytes, offset).map_or(0, |length| length as usize);
    let is_short = size <= MAX_BODY_LEN && bytes.len() - offset - HEADER_LEN < size;
    let lacks_end = is_marked && bytes.last() == Some(&0);
    (is_short || lacks_end || lacks_sector(bytes, offset)) && !write_follows(bytes, offset + 1)
}

/// True if a sector, or the part of one that is at or after `from`, holds zeros only.
fn lacks_sector(bytes: &[u8], from: usize) -> bool {
    let first = from / SECTOR_LEN;
    let mut sectors = bytes.chunks(SECTOR_LEN).skip(first);
    let is_zero = |part: &[u8]| part.iter().all(|byte| *byte == 0);
    let starts_in = sectors
        .next()
        .and_then(|part| part.get(from % SECTOR_LEN..));
    starts_in.is_some_and(is_zero) || sectors.any(is_zero)
}

/// True when a write starts at or after `from`, which means that the one before it is damaged, not
/// incomplete. Also true when the search takes too long, which only the bytes of a large file that
/// do not end in one interrupted write can cause.
fn write_follows(bytes: &[u8], from: usize) -> bool {
    let mut hashed = 0;
    (from..bytes.len().saturating_sub(HEADER_LEN)).any(|offset| {
        let (Some(length), Some(sum)) = (read_u32(bytes, offset), read_u32(bytes, offset + 4))
        else {
            return false;
        };
        let start = offset + HEADER_LEN;
        let body = bytes.get(start..start.saturating_add(length as usize));
        let Some(body) = body.filter(|body| body.first().is_some_and(|kind| *kind <= LAST_KIND))
        else {
            return false;
        };
        hashed += body.len();
        hashed > MAX_SEARCH_LEN || (checksum(length, body) == sum && !is_later(body))
    })
}

/// True if the record of this body is marked as one that is not the first of its write.
fn is_later(body: &[u8]) -> bool {
    let read = postcard::take_from_bytes::<Record>(body);
    read.is_ok_and(|(_, mark)| mark == [LATER_MARK])
}

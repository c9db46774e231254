//! Frames: length, checksum, payload.

/// Bytes before a frame's payload: its length and its checksum, 4 each, little-endian.
pub(crate) const FRAME_HEADER: usize = 8;

/// Longest payload; a larger length is damage, not a frame.
pub(crate) const MAX_PAYLOAD: usize = 1 << 30;

/// What stands at a place of a file.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum FrameRead<'a> {
    /// A good frame: its payload and the offset after it.
    Good(&'a [u8], usize),
    /// The end of the file, exactly.
    End,
    /// Something that is no frame.
    Bad(&'static str),
}

pub(crate) fn encode(payload: &[u8]) -> Vec<u8> {
    let length = u32::try_from(payload.len()).expect("a frame is far below 4 GiB");
    let mut frame = Vec::with_capacity(FRAME_HEADER + payload.len());
    frame.extend_from_slice(&length.to_le_bytes());
    frame.extend_from_slice(&checksum(length, payload).to_le_bytes());
    frame.extend_from_slice(payload);
    frame
}

pub(crate) fn read(bytes: &[u8], offset: usize) -> FrameRead<'_> {
    let rest = &bytes[offset..];
    if rest.is_empty() {
        return FrameRead::End;
    }
    let Some((header, body)) = rest.split_at_checked(FRAME_HEADER) else {
        return FrameRead::Bad("the frame's header is cut off");
    };
    let length = u32::from_le_bytes(header[..4].try_into().expect("4 bytes"));
    let expected = u32::from_le_bytes(header[4..].try_into().expect("4 bytes"));
    let size = length as usize;
    if size == 0 || size > MAX_PAYLOAD {
        return FrameRead::Bad("the frame's length is impossible");
    }
    let Some(payload) = body.get(..size) else {
        return FrameRead::Bad("the frame is cut off");
    };
    if checksum(length, payload) != expected {
        return FrameRead::Bad("the checksum differs");
    }
    FrameRead::Good(payload, offset + FRAME_HEADER + size)
}

/// Returns whether any good frame starts after `offset`.
pub(crate) fn any_after(bytes: &[u8], offset: usize) -> bool {
    (offset + 1..bytes.len()).any(|at| matches!(read(bytes, at), FrameRead::Good(..)))
}

/// The length is covered as well: a flipped bit there must not make another frame look good.
fn checksum(length: u32, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length.to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}

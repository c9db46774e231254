//! Encodes and decodes frames: length, checksum, payload.

/// Size of the frame header in bytes: the payload length and the checksum, 4 bytes each,
/// little-endian.
pub(crate) const FRAME_HEADER_BYTES: usize = 8;

/// Maximum payload size in bytes (1 GiB). A larger length indicates damage.
pub(crate) const MAX_PAYLOAD_BYTES: usize = 1 << 30;

/// The result of decoding a frame at an offset of a file.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum FrameRead<'a> {
    /// A good frame, with its payload and the offset after it.
    Good(&'a [u8], usize),
    /// The offset is the end of the file.
    End,
    /// The bytes are not a valid frame, for the given reason.
    Bad(&'static str),
}

/// Encodes a payload as a frame.
pub(crate) fn encode(payload: &[u8]) -> Vec<u8> {
    let length = u32::try_from(payload.len()).expect("a payload is smaller than 4 GiB");
    let mut frame = Vec::with_capacity(FRAME_HEADER_BYTES + payload.len());
    frame.extend_from_slice(&length.to_le_bytes());
    frame.extend_from_slice(&checksum(length, payload).to_le_bytes());
    frame.extend_from_slice(payload);
    frame
}

/// Decodes the frame at `offset`.
pub(crate) fn read(bytes: &[u8], offset: usize) -> FrameRead<'_> {
    let rest = &bytes[offset..];
    if rest.is_empty() {
        return FrameRead::End;
    }
    let Some((header, body)) = rest.split_at_checked(FRAME_HEADER_BYTES) else {
        return FrameRead::Bad("the frame header is truncated");
    };
    let length = u32::from_le_bytes(header[..4].try_into().expect("4 bytes"));
    let expected = u32::from_le_bytes(header[4..].try_into().expect("4 bytes"));
    let size = length as usize;
    if size == 0 || size > MAX_PAYLOAD_BYTES {
        return FrameRead::Bad("the frame length is 0 or above the maximum");
    }
    let Some(payload) = body.get(..size) else {
        return FrameRead::Bad("the frame payload is truncated");
    };
    if checksum(length, payload) != expected {
        return FrameRead::Bad("the frame checksum does not match");
    }
    FrameRead::Good(payload, offset + FRAME_HEADER_BYTES + size)
}

/// Returns whether a good frame starts anywhere after `offset`.
pub(crate) fn has_frame_after(bytes: &[u8], offset: usize) -> bool {
    (offset + 1..bytes.len()).any(|at| matches!(read(bytes, at), FrameRead::Good(..)))
}

/// Computes the checksum of a frame. It also covers the length, so that a bit flip in the length
/// cannot make a different frame pass as good.
fn checksum(length: u32, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length.to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}

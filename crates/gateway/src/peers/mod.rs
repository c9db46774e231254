//! Transports messages between daemons.
//!
//! Each daemon keeps one outgoing connection to every other daemon that it knows and sends its
//! messages there; answers arrive on the other daemon's own connection. A message that cannot be
//! delivered is dropped, and senders repeat the messages that have to arrive.

mod mesh;
mod message;
#[cfg(test)]
mod message_tests;
mod trailing;

pub(crate) use mesh::{MeshEvents, PeerMesh, TrafficCount, encode_frame};
pub(crate) use message::{
    DocumentVerdict, DrainVerdict, FreshVerdict, HubStatus, LeafState, MemberLists, PeerMessage,
    PlaceVerdict, PlacedPrompt, ProgressNote,
};
pub(crate) use trailing::{ProtocolLevel, TrailingField};

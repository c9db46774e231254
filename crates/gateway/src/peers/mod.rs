//! Messages between daemons.
//!
//! Each daemon keeps one connection to every other that it knows and sends its messages there;
//! answers come back on the other's own connection. A message that cannot be delivered is
//! dropped: whatever matters is sent again by its sender.

mod mesh;
mod message;

pub(crate) use mesh::{MeshEvents, PeerMesh, TrafficCount};
pub(crate) use message::{
    DocumentVerdict, DrainVerdict, FreshVerdict, HubStatus, LeafState, MemberLists, PeerMessage,
    PlaceVerdict, PlacedPrompt, ProgressNote,
};

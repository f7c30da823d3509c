//! Framing of the connections between instances: a length prefix of four bytes and a protobuf
//! message.

use super::*;

use prost::Message as _;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;
use tokio_util::codec::LengthDelimitedCodec;

/// Maximum length in bytes of a frame from a peer that has presented its key.
pub const FRAME_MAX_BYTES: usize = 8 << 20;

/// Maximum length in bytes of the first frame, which is read before the peer has presented its key.
pub const HELLO_MAX_BYTES: usize = 1 << 10;

/// Encodes and decodes [`wire::Frame`]; decoding also returns the length of the message in bytes.
#[derive(Debug)]
pub struct PeerCodec {
    lengths: LengthDelimitedCodec,
}

impl PeerCodec {
    /// Creates a codec that rejects frames longer than `max_bytes`, both received and sent.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            lengths: LengthDelimitedCodec::builder()
                .max_frame_length(max_bytes)
                .new_codec(),
        }
    }
}

impl Decoder for PeerCodec {
    type Item = (wire::Frame, usize);
    type Error = std::io::Error;

    fn decode(&mut self, buffer: &mut BytesMut) -> std::io::Result<Option<Self::Item>> {
        let Some(bytes) = self.lengths.decode(buffer)? else {
            return Ok(None);
        };
        let length = bytes.len();
        let frame = wire::Frame::decode(bytes).map_err(std::io::Error::other)?;
        Ok(Some((frame, length)))
    }
}

impl Encoder<wire::Frame> for PeerCodec {
    type Error = std::io::Error;

    fn encode(&mut self, frame: wire::Frame, buffer: &mut BytesMut) -> std::io::Result<()> {
        let bytes = Bytes::from(frame.encode_to_vec());
        self.lengths.encode(bytes, buffer)
    }
}

/// Returns the value of the `kind` label under which the metrics count a frame.
pub fn frame_kind(frame: &wire::Frame) -> &'static str {
    use wire::frame::Body;
    match &frame.body {
        Some(Body::Beat(_)) => "beat",
        Some(Body::CentreSummary(_)) => "centre_summary",
        Some(Body::ClaimReply(_)) => "claim_reply",
        Some(Body::ClaimRequest(_)) => "claim_request",
        Some(Body::Directory(_)) => "directory",
        Some(Body::Handover(_)) => "handover",
        Some(Body::HandoverAck(_)) => "handover_ack",
        Some(Body::Hello(_)) => "hello",
        Some(Body::LoadNote(_)) => "load_note",
        Some(Body::MemberNote(_)) => "member_note",
        Some(Body::ServerNote(_)) => "server_note",
        Some(Body::SessionReply(_)) => "session_reply",
        Some(Body::SessionRequest(_)) => "session_request",
        Some(Body::SuspectNote(_)) => "suspect_note",
        Some(Body::TableNotice(_)) => "table_notice",
        Some(Body::TableReply(_)) => "table_reply",
        Some(Body::TableRequest(_)) => "table_request",
        Some(Body::TopicReadReply(_)) => "topic_read_reply",
        Some(Body::TopicReadRequest(_)) => "topic_read_request",
        Some(Body::Vouch(_)) => "vouch",
        Some(Body::VouchRequest(_)) => "vouch_request",
        None => "empty",
    }
}

//! Wire format of the gossip messages between balancers.
//!
//! A message is one datagram, a sequence of records of [`RECORD_LEN`] bytes: one byte for the kind,
//! then the server's stable hash and its incarnation, both big-endian. An incomplete record at the
//! end and records of unknown kinds are ignored.

#[cfg(test)]
mod tests;

use crate::Micros;

/// Length of one record in bytes.
pub(crate) const RECORD_LEN: usize = 17;

/// What a record reports or requests about a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GossipKind {
    /// Asks the receiver to check the server's health on behalf of the sender.
    IndirectCheckRequest,
    /// The server answered the indirect check.
    ConfirmedAlive,
    /// The sender suspects the server.
    Suspected,
}

impl GossipKind {
    const fn code(self) -> u8 {
        match self {
            Self::IndirectCheckRequest => 0,
            Self::ConfirmedAlive => 1,
            Self::Suspected => 2,
        }
    }

    const fn from_code(code: u8) -> Option<Self> {
        match code {
            0 => Some(Self::IndirectCheckRequest),
            1 => Some(Self::ConfirmedAlive),
            2 => Some(Self::Suspected),
            _ => None,
        }
    }
}

/// One record of a gossip datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct GossipRecord {
    /// Kind of the record.
    pub(crate) kind: GossipKind,
    /// The server, identified by [`Endpoint::stable_hash`](crate::Endpoint::stable_hash).
    pub(crate) stable_hash: u64,
    /// Incarnation of the server: its start time, 0 if it started long ago.
    pub(crate) incarnation: Micros,
}

impl GossipRecord {
    /// Encodes the record.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut record = Vec::with_capacity(RECORD_LEN);
        record.push(self.kind.code());
        record.extend_from_slice(&self.stable_hash.to_be_bytes());
        record.extend_from_slice(&self.incarnation.to_be_bytes());
        record
    }

    /// Decodes the valid records of a datagram, in order.
    pub(crate) fn decode(datagram: &[u8]) -> impl Iterator<Item = Self> + '_ {
        datagram
            .chunks_exact(RECORD_LEN)
            .filter_map(Self::decode_record)
    }

    fn decode_record(record: &[u8]) -> Option<Self> {
        let (&code, rest) = record.split_first()?;
        let (stable_hash, rest) = rest.split_first_chunk::<8>()?;
        let incarnation: [u8; 8] = rest.try_into().ok()?;
        Some(Self {
            kind: GossipKind::from_code(code)?,
            stable_hash: u64::from_be_bytes(*stable_hash),
            incarnation: Micros::from_be_bytes(incarnation),
        })
    }
}

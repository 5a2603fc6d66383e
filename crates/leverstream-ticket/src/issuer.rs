use leverstream_error::Kind;
use rand::RngCore;

use crate::{Stem, Ticket};

/// Issues and verifies the tickets of one process.
pub struct TicketIssuer {
    /// The process id, drawn at random at each start.
    home: u64,
    /// The key of the MAC in each stem; it never leaves the process.
    secret: [u8; 32],
    /// How long a ticket is valid.
    ttl_ms: u64,
}

/// Why this process rejects a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TicketError {
    /// The ticket's home is this other process.
    OtherHome(u64),
    /// The tag does not verify, or the issue time is in the future.
    Invalid,
    /// The ticket has expired.
    Expired,
}

impl TicketIssuer {
    /// Creates the issuer of a process that has just started, with a new secret.
    pub fn new(home: u64, ttl_ms: u64, rng: &mut impl RngCore) -> TicketIssuer {
        let mut secret = [0; 32];
        rng.fill_bytes(&mut secret);
        TicketIssuer { home, secret, ttl_ms }
    }

    /// Returns the id of the process that issues these tickets.
    pub fn home(&self) -> u64 {
        self.home
    }

    /// Returns how long a ticket is valid.
    pub fn ttl_ms(&self) -> u64 {
        self.ttl_ms
    }

    /// Issues a stem at a time of the home's monotonic clock.
    pub fn stem(&self, now_ms: u64) -> Stem {
        Stem { home: self.home, issued_ms: now_ms, tag: self.tag(now_ms) }
    }

    /// Verifies a ticket at a time of the home's monotonic clock.
    pub fn check(&self, ticket: &Ticket, now_ms: u64) -> Result<(), TicketError> {
        let stem = &ticket.stem;
        if stem.home != self.home {
            return Err(TicketError::OtherHome(stem.home));
        }
        let is_tag_valid = blake3::hash(&stem.tag) == blake3::hash(&self.tag(stem.issued_ms));
        if !is_tag_valid || stem.issued_ms > now_ms {
            return Err(TicketError::Invalid);
        }
        if now_ms >= self.expiry_ms(ticket) {
            return Err(TicketError::Expired);
        }
        Ok(())
    }

    /// Returns when a ticket of this home expires, on the home's monotonic clock.
    pub fn expiry_ms(&self, ticket: &Ticket) -> u64 {
        ticket.stem.issued_ms.saturating_add(self.ttl_ms)
    }

    /// Computes the MAC over the home and the issue time.
    fn tag(&self, issued_ms: u64) -> [u8; 16] {
        let mut content = self.home.to_be_bytes().to_vec();
        content.extend(issued_ms.to_be_bytes());
        let hash = blake3::keyed_hash(&self.secret, &content);
        let mut tag = [0; 16];
        tag.copy_from_slice(&hash.as_bytes()[..16]);
        tag
    }
}

impl TicketError {
    /// Returns the error kind that the caller receives.
    pub fn kind(self) -> Kind {
        match self {
            TicketError::OtherHome(_) => Kind::HomeUnreachable,
            TicketError::Invalid => Kind::TicketInvalid,
            TicketError::Expired => Kind::TicketExpired,
        }
    }
}

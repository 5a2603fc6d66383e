use leverstream_error::Kind;
use rand::RngCore;

use crate::{Stem, Ticket};

/// Makes and checks the tickets of one process.
pub struct TicketIssuer {
    /// The process; random, new at each start.
    home: u64,
    /// The secret behind the tags; it never leaves the process.
    secret: [u8; 32],
    /// How long a ticket holds.
    ttl_ms: u64,
}

/// Why a ticket is not accepted here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TicketError {
    /// Another process is its home.
    OtherHome(u64),
    /// Its tag does not fit, or it claims to be made later than now.
    Invalid,
    /// Its time is over.
    Expired,
}

impl TicketIssuer {
    /// Opens a mint for a process that has just started.
    pub fn new(home: u64, ttl_ms: u64, rng: &mut impl RngCore) -> TicketIssuer {
        let mut secret = [0; 32];
        rng.fill_bytes(&mut secret);
        TicketIssuer { home, secret, ttl_ms }
    }

    /// The process that the mint belongs to.
    pub fn home(&self) -> u64 {
        self.home
    }

    /// How long a ticket holds.
    pub fn ttl_ms(&self) -> u64 {
        self.ttl_ms
    }

    /// Makes a stem on the home's monotonic clock.
    pub fn stem(&self, now_ms: u64) -> Stem {
        Stem { home: self.home, minted_ms: now_ms, tag: self.tag(now_ms) }
    }

    /// Checks a ticket on the home's monotonic clock.
    pub fn check(&self, ticket: &Ticket, now_ms: u64) -> Result<(), TicketError> {
        let stem = &ticket.stem;
        if stem.home != self.home {
            return Err(TicketError::OtherHome(stem.home));
        }
        let tag_fits = blake3::hash(&stem.tag) == blake3::hash(&self.tag(stem.minted_ms));
        if !tag_fits || stem.minted_ms > now_ms {
            return Err(TicketError::Invalid);
        }
        if now_ms >= self.expiry_ms(ticket) {
            return Err(TicketError::Expired);
        }
        Ok(())
    }

    /// When a ticket of this home stops holding, on the home's monotonic clock.
    pub fn expiry_ms(&self, ticket: &Ticket) -> u64 {
        ticket.stem.minted_ms.saturating_add(self.ttl_ms)
    }

    /// Computes the tag of a stem.
    fn tag(&self, minted_ms: u64) -> [u8; 16] {
        let mut content = self.home.to_be_bytes().to_vec();
        content.extend(minted_ms.to_be_bytes());
        let hash = blake3::keyed_hash(&self.secret, &content);
        let mut tag = [0; 16];
        tag.copy_from_slice(&hash.as_bytes()[..16]);
        tag
    }
}

impl TicketError {
    /// The kind that answers the refusal at the ticket's home.
    pub fn kind(self) -> Kind {
        match self {
            TicketError::OtherHome(_) => Kind::HomeUnreachable,
            TicketError::Invalid => Kind::TicketInvalid,
            TicketError::Expired => Kind::TicketExpired,
        }
    }
}

use std::sync::Arc;

use actix::Addr;
use leverstream_error::Kind;
use leverstream_platform::{Object, Platform, PlatformError, Put};
use leverstream_proxy::Clock;
use leverstream_table::{Applied, Edit, ServiceDoc, apply};

use crate::control::Control;
use crate::messages::Adopt;
use crate::reports::{EditReply, Failure};
use crate::store::TABLE_PREFIX;

/// How long an edit is tried for while it has certainly not landed.
const EDIT_MS: u64 = 2_000;

/// How long more is tried to learn what became of an edit that may have landed.
const RESOLVE_MS: u64 = 6_000;

/// The wait before a call to the platform is made again.
const AGAIN_MS: u64 = 100;

/// Makes an edit: reads the service's object, applies the edit, writes it back if unchanged.
///
/// An answer that is lost is resolved by reading the object again: it remembers the edit's id. The
/// edit is said to be accepted only once it is in the platform, and said to be refused only when it
/// certainly is not.
pub async fn make(
    platform: Platform,
    control: Addr<Control>,
    clock: Clock,
    held: Option<Arc<ServiceDoc>>,
    edit: Edit,
) -> Result<EditReply, Failure> {
    let service = edit.changes.first().map(|change| change.cell.service.clone());
    let key = format!("{TABLE_PREFIX}{}", service.unwrap_or_default());
    let mut until_ms = clock.now_ms() + EDIT_MS;
    let mut may_have_landed = false;
    let mut seen = held.as_ref().map_or(0, |doc| doc.version);
    loop {
        match step(&platform, &key, held.as_deref(), &edit, &mut seen, clock).await {
            Ok(Step::Landed(doc)) => {
                let version = doc.version;
                let _ = control.send(Adopt { docs: vec![*doc] }).await;
                return Ok(EditReply { version, landed_before: false });
            }
            Ok(Step::Already(version)) => {
                return Ok(EditReply { version, landed_before: true });
            }
            Ok(Step::Again) => {}
            Err(Problem::Refused(failure)) => return Err(failure),
            Err(Problem::Platform(error)) => {
                if error.may_have_landed() && !may_have_landed {
                    may_have_landed = true;
                    until_ms += RESOLVE_MS;
                }
                let is_over = clock.now_ms() + AGAIN_MS >= until_ms;
                let is_away = error == PlatformError::Away && !may_have_landed;
                if is_over || is_away {
                    return Err(given_up(may_have_landed, &error));
                }
                tokio::time::sleep(std::time::Duration::from_millis(AGAIN_MS)).await;
            }
        }
        if clock.now_ms() >= until_ms {
            return Err(given_up(may_have_landed, &PlatformError::Unanswered));
        }
    }
}

/// What one round came to.
enum Step {
    /// The edit landed now.
    Landed(Box<ServiceDoc>),
    /// The edit had landed before.
    Already(u64),
    /// Another edit came first.
    Again,
}

/// Why a round came to nothing.
enum Problem {
    /// The edit is refused.
    Refused(Failure),
    /// The platform gave no answer that settles it.
    Platform(PlatformError),
}

/// Reads, applies and writes once.
async fn step(
    platform: &Platform,
    key: &str,
    held: Option<&ServiceDoc>,
    edit: &Edit,
    seen: &mut u64,
    clock: Clock,
) -> Result<Step, Problem> {
    // A read changes nothing, so its failure never means that the edit may have landed.
    let read = platform.get(key, clock.now_ms()).await;
    let object = read.map_err(|error| match error {
        PlatformError::Away | PlatformError::OverBudget => Problem::Platform(error),
        _ => Problem::Platform(PlatformError::OverBudget),
    })?;
    let stored = object.as_ref().map(read_doc).transpose().map_err(Problem::Refused)?;
    let expected = object.as_ref().map_or(0, |object| object.version);
    *seen = (*seen).max(stored.as_ref().map_or(0, |doc| doc.version));
    // After a restore the platform may hold an older document than the fleet.
    let base = match (&stored, held) {
        (Some(stored), Some(held)) if held.version > stored.version => Some(held),
        (Some(stored), _) => Some(stored),
        (None, held) => held,
    };
    let refuse = |error: leverstream_table::TableError| {
        Problem::Refused(Failure::new(error.kind(), &error.to_string()))
    };
    let doc = match apply(base, edit, *seen, Clock::unix_ms()).map_err(refuse)? {
        Applied::Already(version) => return Ok(Step::Already(version)),
        Applied::New(doc) => doc,
    };
    let value = String::from_utf8(doc.to_json()).unwrap_or_default();
    match platform.put(key, &Put { expected, value }, clock.now_ms()).await {
        Ok(_) => Ok(Step::Landed(doc)),
        Err(PlatformError::Conflict(_)) => Ok(Step::Again),
        Err(error) => Err(Problem::Platform(error)),
    }
}

/// Reads the document of an object.
fn read_doc(object: &Object) -> Result<ServiceDoc, Failure> {
    ServiceDoc::from_json(object.value.as_bytes())
        .map_err(|error| Failure::new(Kind::EditInvalid, &format!("{}: {error}", object.key)))
}

/// The answer when time is over or the platform is away.
fn given_up(may_have_landed: bool, error: &PlatformError) -> Failure {
    let kind = if may_have_landed { Kind::EditUnknown } else { Kind::PlatformAway };
    Failure::new(kind, &error.to_string())
}

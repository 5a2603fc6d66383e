use std::sync::Arc;

use actix::Addr;
use leverstream_error::Kind;
use leverstream_platform::{Store, StoreError};
use leverstream_proxy::Clock;
use leverstream_table::{Applied, Edit, ServiceDoc, apply};

use crate::control::Control;
use crate::messages::Adopt;
use crate::reports::{EditReply, Failure};
use crate::store::{TABLE_KIND, read_doc, write_doc};

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
    store: Store,
    control: Addr<Control>,
    clock: Clock,
    held: Option<Arc<ServiceDoc>>,
    edit: Edit,
) -> Result<EditReply, Failure> {
    let service = edit.changes.first().map(|change| change.cell.service.clone());
    let service = service.unwrap_or_default();
    let mut until_ms = clock.now_ms() + EDIT_MS;
    let mut may_have_landed = false;
    let mut seen = held.as_ref().map_or(0, |doc| doc.version);
    loop {
        match step(&store, &service, held.as_deref(), &edit, &mut seen).await {
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
                if error.may_have_taken_effect() && !may_have_landed {
                    may_have_landed = true;
                    until_ms += RESOLVE_MS;
                }
                let is_over = clock.now_ms() + AGAIN_MS >= until_ms;
                let is_away = matches!(error, StoreError::Unreachable | StoreError::Unavailable)
                    && !may_have_landed;
                if is_over || is_away {
                    return Err(given_up(may_have_landed, &error));
                }
                tokio::time::sleep(std::time::Duration::from_millis(AGAIN_MS)).await;
            }
        }
        if clock.now_ms() >= until_ms {
            return Err(given_up(may_have_landed, &StoreError::Timeout));
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
    Platform(StoreError),
}

/// Reads, applies and writes once.
async fn step(
    store: &Store,
    service: &str,
    held: Option<&ServiceDoc>,
    edit: &Edit,
    seen: &mut u64,
) -> Result<Step, Problem> {
    // A read changes nothing, so its failure never means that the edit may have landed.
    let read = store.read(TABLE_KIND, service).await;
    let object = read.map_err(|error| match error {
        StoreError::Unreachable | StoreError::Unavailable | StoreError::OverBudget => {
            Problem::Platform(error)
        }
        _ => Problem::Platform(StoreError::OverBudget),
    })?;
    let read = |content: &Result<_, StoreError>| {
        let failed = |error: &dyn std::fmt::Display| {
            Problem::Refused(Failure::new(Kind::EditInvalid, &format!("{service}: {error}")))
        };
        match content {
            Ok(spec) => read_doc(spec).map_err(|error| failed(&error)),
            Err(error) => Err(failed(error)),
        }
    };
    let stored = object.as_ref().map(|object| read(&object.content)).transpose()?;
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
        Applied::Duplicate(version) => return Ok(Step::Already(version)),
        Applied::New(doc) => doc,
    };
    let spec = write_doc(&doc);
    let written = match &object {
        Some(object) => store.replace(TABLE_KIND, service, spec, Some(object.revision)).await,
        None => store.create(TABLE_KIND, service, spec).await,
    };
    match written {
        Ok(()) => Ok(Step::Landed(doc)),
        Err(StoreError::Conflict) => Ok(Step::Again),
        Err(error) => Err(Problem::Platform(error)),
    }
}

/// The answer when time is over or the platform is away.
fn given_up(may_have_landed: bool, error: &StoreError) -> Failure {
    let kind = if may_have_landed { Kind::EditUnknown } else { Kind::PlatformAway };
    Failure::new(kind, &error.to_string())
}

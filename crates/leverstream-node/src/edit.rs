//! Applies an operator's edit to the service's object in the store.

use std::sync::Arc;

use actix::Addr;
use leverstream_error::Kind;
use leverstream_platform::{Store, StoreError};
use leverstream_proxy::Clock;
use leverstream_table::{Applied, Edit, ServiceDoc, apply};

use crate::control::Control;
use crate::messages::MergeDocs;
use crate::reports::{EditReply, ErrorReply};
use crate::store::{TABLE_KIND, doc_to_json, parse_doc};

/// How long an edit is retried while it has certainly not landed in the store.
const EDIT_TIMEOUT_MS: u64 = 2_000;

/// The additional time to find out whether an edit that may have landed did so.
const RESOLVE_TIMEOUT_MS: u64 = 6_000;

/// The delay before a failed call to the platform is repeated.
const RETRY_DELAY_MS: u64 = 100;

/// Reads the service's object, applies the edit and writes the object back if it is unchanged.
///
/// If the answer to a write is lost, the object is read again, as it records the edit's id. An edit
/// is reported as accepted only once the store has it, and as refused only if the store certainly
/// does not have it.
pub async fn submit(
    store: Store,
    control: Addr<Control>,
    clock: Clock,
    local_doc: Option<Arc<ServiceDoc>>,
    edit: Edit,
) -> Result<EditReply, ErrorReply> {
    let service = edit.changes.first().map(|change| change.cell.service.clone());
    let service = service.unwrap_or_default();
    let mut deadline_ms = clock.now_ms() + EDIT_TIMEOUT_MS;
    let mut may_have_landed = false;
    let mut highest_seen_version = local_doc.as_ref().map_or(0, |doc| doc.version);
    loop {
        match try_once(&store, &service, local_doc.as_deref(), &edit, &mut highest_seen_version)
            .await
        {
            Ok(Attempt::Landed(doc)) => {
                let version = doc.version;
                let _ = control.send(MergeDocs { docs: vec![*doc] }).await;
                return Ok(EditReply { version, landed_before: false });
            }
            Ok(Attempt::Duplicate(version)) => {
                return Ok(EditReply { version, landed_before: true });
            }
            Ok(Attempt::Conflict) => {}
            Err(AttemptError::Refused(reply)) => return Err(reply),
            Err(AttemptError::Platform(error)) => {
                if error.may_have_taken_effect() && !may_have_landed {
                    may_have_landed = true;
                    deadline_ms += RESOLVE_TIMEOUT_MS;
                }
                let is_past_deadline = clock.now_ms() + RETRY_DELAY_MS >= deadline_ms;
                let is_unreachable =
                    matches!(error, StoreError::Unreachable | StoreError::Unavailable)
                        && !may_have_landed;
                if is_past_deadline || is_unreachable {
                    return Err(platform_error(may_have_landed, &error));
                }
                tokio::time::sleep(std::time::Duration::from_millis(RETRY_DELAY_MS)).await;
            }
        }
        if clock.now_ms() >= deadline_ms {
            return Err(platform_error(may_have_landed, &StoreError::Timeout));
        }
    }
}

/// The result of one attempt that got a conclusive answer.
enum Attempt {
    /// The store accepted the edit.
    Landed(Box<ServiceDoc>),
    /// An earlier attempt of the same edit had already landed.
    Duplicate(u64),
    /// Another write changed the object first, so the edit must be tried again.
    Conflict,
}

/// Why one attempt failed.
enum AttemptError {
    /// The edit is invalid or conflicts with the table.
    Refused(ErrorReply),
    /// The platform gave no conclusive answer.
    Platform(StoreError),
}

/// Reads the object, applies the edit and writes the object once.
async fn try_once(
    store: &Store,
    service: &str,
    local_doc: Option<&ServiceDoc>,
    edit: &Edit,
    highest_seen_version: &mut u64,
) -> Result<Attempt, AttemptError> {
    // A read changes nothing, so its failure never means that the edit may have landed.
    let result = store.read(TABLE_KIND, service).await;
    let object = result.map_err(|error| match error {
        StoreError::Unreachable | StoreError::Unavailable | StoreError::OverBudget => {
            AttemptError::Platform(error)
        }
        _ => AttemptError::Platform(StoreError::OverBudget),
    })?;
    let parse = |content: &Result<_, StoreError>| {
        let invalid = |error: &dyn std::fmt::Display| {
            AttemptError::Refused(ErrorReply::new(
                Kind::EditInvalid,
                &format!("{service}: {error}"),
            ))
        };
        match content {
            Ok(spec) => parse_doc(spec).map_err(|error| invalid(&error)),
            Err(error) => Err(invalid(error)),
        }
    };
    let stored = object.as_ref().map(|object| parse(&object.content)).transpose()?;
    *highest_seen_version =
        (*highest_seen_version).max(stored.as_ref().map_or(0, |doc| doc.version));
    // After a restore the platform may hold an older document than the fleet.
    let base = match (&stored, local_doc) {
        (Some(stored), Some(local)) if local.version > stored.version => Some(local),
        (Some(stored), _) => Some(stored),
        (None, local) => local,
    };
    let refuse = |error: leverstream_table::TableError| {
        AttemptError::Refused(ErrorReply::new(error.kind(), &error.to_string()))
    };
    let doc = match apply(base, edit, *highest_seen_version, Clock::unix_ms()).map_err(refuse)? {
        Applied::Duplicate(version) => return Ok(Attempt::Duplicate(version)),
        Applied::New(doc) => doc,
    };
    let spec = doc_to_json(&doc);
    let written = match &object {
        Some(object) => store.replace(TABLE_KIND, service, spec, Some(object.revision)).await,
        None => store.create(TABLE_KIND, service, spec).await,
    };
    match written {
        Ok(()) => Ok(Attempt::Landed(doc)),
        Err(StoreError::Conflict) => Ok(Attempt::Conflict),
        Err(error) => Err(AttemptError::Platform(error)),
    }
}

/// The error reply after the deadline has passed or the platform cannot be reached.
fn platform_error(may_have_landed: bool, error: &StoreError) -> ErrorReply {
    let kind = if may_have_landed { Kind::EditUnknown } else { Kind::PlatformAway };
    ErrorReply::new(kind, &error.to_string())
}

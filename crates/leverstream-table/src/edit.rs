use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::Cell;
use crate::doc::{EditRecord, MAX_EDIT_RECORDS, ServiceDoc};
use crate::error::{Fault, TableError};
use crate::row::ServiceRow;

/// The longest id of an edit and name of an operator, in characters.
const LABEL_LIMIT: usize = 128;

/// What an operator wants changed in one service, all or nothing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Edit {
    /// Chosen by the operator's client at random and kept through its retries.
    pub id: String,
    /// Who makes it.
    pub who: String,
    /// The cells to change, all of one service.
    pub changes: Vec<Change>,
}

/// A new value for one cell or row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// The place to change.
    pub cell: Cell,
    /// What the operator saw there; the edit is refused when it holds something else by now.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub was: Option<Value>,
    /// The new value, or null to take a row out.
    pub to: Value,
}

/// What came of an edit.
#[derive(Clone, Debug, PartialEq)]
pub enum Applied {
    /// The document after the edit, still to be written.
    New(Box<ServiceDoc>),
    /// The edit had landed before, with this version.
    Duplicate(u64),
}

/// Applies an edit to a service's document, or to nothing when the service is new.
///
/// `at_ms` is the present time in milliseconds since 1970, and `seen` the highest version of the
/// service known anywhere: the new version exceeds it, even when the platform was restored to an
/// older state.
pub fn apply(
    doc: Option<&ServiceDoc>,
    edit: &Edit,
    seen: u64,
    at_ms: u64,
) -> Result<Applied, TableError> {
    let service = service_of(edit)?;
    let mut next = doc.cloned().unwrap_or_else(|| ServiceDoc::empty(&service));
    if let Some(record) = next.edit(&edit.id) {
        return Ok(Applied::Duplicate(record.version));
    }
    for change in &edit.changes {
        check_unchanged(&next, change)?;
    }
    for change in &edit.changes {
        write(&mut next, &change.cell, &change.to)?;
    }
    next.version = next.version.max(seen) + 1;
    next.edits.push(EditRecord {
        id: edit.id.clone(),
        who: edit.who.clone(),
        at_ms,
        version: next.version,
        changes: edit.changes.clone(),
    });
    let surplus = next.edits.len().saturating_sub(MAX_EDIT_RECORDS);
    next.edits.drain(..surplus);
    next.validate()?;
    Ok(Applied::New(Box::new(next)))
}

/// Lists the changes that turn one document's rows into the other's.
pub fn diff(from: &ServiceDoc, to: &ServiceDoc) -> Vec<Change> {
    let service = &to.service;
    if from.removed || to.removed {
        return whole_rows(from, to);
    }
    let mut changes = row_changes(service, None, &as_value(&from.row), &as_value(&to.row));
    for (name, row) in &to.backends {
        match from.backends.get(name) {
            Some(old) => {
                let backend = Some(name.as_str());
                changes.extend(row_changes(service, backend, &as_value(old), &as_value(row)));
            }
            None => changes.push(row_change(service, Some(name), None, as_value(row))),
        }
    }
    let gone = from.backends.iter().filter(|(name, _)| !to.backends.contains_key(*name));
    changes.extend(
        gone.map(|(name, row)| row_change(service, Some(name), Some(as_value(row)), Value::Null)),
    );
    changes
}

/// Names the one service that an edit is about, after checking the edit's own form.
fn service_of(edit: &Edit) -> Result<String, TableError> {
    let invalid = |hint: &str| TableError::Invalid(Fault::new("edit", hint).into());
    let label_ok = |text: &str| !text.is_empty() && text.len() <= LABEL_LIMIT;
    if !label_ok(&edit.id) || !label_ok(&edit.who) {
        return Err(invalid("give an id and a name of 1 to 128 characters"));
    }
    let first = edit.changes.first().ok_or_else(|| invalid("name at least one cell"))?;
    let service = &first.cell.service;
    if edit.changes.iter().any(|change| change.cell.service != *service) {
        return Err(invalid("change one service at a time"));
    }
    Ok(service.clone())
}

/// Refuses a change whose cell no longer holds what the operator saw.
fn check_unchanged(doc: &ServiceDoc, change: &Change) -> Result<(), TableError> {
    let Some(was) = &change.was else { return Ok(()) };
    let now = read(doc, &change.cell)?;
    if now == *was {
        return Ok(());
    }
    let who = doc.last_edit_of(&change.cell).map(|record| record.who.clone());
    Err(TableError::Conflict {
        cell: change.cell.to_string(),
        who: who.unwrap_or_else(|| "an earlier edit".to_owned()),
        value: now,
    })
}

/// Reads a cell or row; a row that is not there reads as null.
fn read(doc: &ServiceDoc, cell: &Cell) -> Result<Value, TableError> {
    let row = match &cell.backend {
        Some(name) => doc.backends.get(name).map(as_value),
        None => (!doc.removed).then(|| as_value(&doc.row)),
    };
    match (&cell.column, row) {
        (None, row) => Ok(row.unwrap_or(Value::Null)),
        (Some(column), Some(row)) => {
            row.get(column).cloned().ok_or_else(|| TableError::Unknown(cell.to_string()))
        }
        (Some(_), None) => Err(TableError::Unknown(cell.to_string())),
    }
}

/// Writes a cell or row.
fn write(doc: &mut ServiceDoc, cell: &Cell, to: &Value) -> Result<(), TableError> {
    match (&cell.backend, &cell.column) {
        (None, None) => write_service(doc, cell, to),
        (Some(name), None) if to.is_null() => {
            doc.backends.remove(name).map(drop).ok_or_else(|| TableError::Unknown(cell.to_string()))
        }
        (Some(name), None) => {
            doc.backends.insert(name.clone(), typed(cell, to.clone())?);
            Ok(())
        }
        (None, Some(column)) => {
            doc.row = typed(cell, replaced(cell, read(doc, &row_of(cell))?, column, to)?)?;
            Ok(())
        }
        (Some(name), Some(column)) => {
            let row = replaced(cell, read(doc, &row_of(cell))?, column, to)?;
            doc.backends.insert(name.clone(), typed(cell, row)?);
            Ok(())
        }
    }
}

/// Writes or takes out a service's own row.
fn write_service(doc: &mut ServiceDoc, cell: &Cell, to: &Value) -> Result<(), TableError> {
    doc.removed = to.is_null();
    if doc.removed {
        doc.row = ServiceRow::default();
        doc.backends.clear();
    } else {
        doc.row = typed(cell, to.clone())?;
    }
    Ok(())
}

/// Puts a value into a row's column.
fn replaced(cell: &Cell, mut row: Value, column: &str, to: &Value) -> Result<Value, TableError> {
    let slot = row.get_mut(column).ok_or_else(|| TableError::Unknown(cell.to_string()))?;
    *slot = to.clone();
    Ok(row)
}

/// Reads a row's type out of a value.
fn typed<T: DeserializeOwned>(cell: &Cell, value: Value) -> Result<T, TableError> {
    serde_json::from_value(value).map_err(|error| {
        TableError::Invalid(Fault::new(cell.to_string(), error.to_string()).into())
    })
}

/// The row that a cell stands in.
fn row_of(cell: &Cell) -> Cell {
    Cell { column: None, ..cell.clone() }
}

/// Writes a row as a value.
fn as_value<T: Serialize>(row: &T) -> Value {
    serde_json::to_value(row).unwrap_or(Value::Null)
}

/// Lists the columns in which two rows differ.
fn row_changes(service: &str, backend: Option<&str>, from: &Value, to: &Value) -> Vec<Change> {
    let columns = to.as_object().into_iter().flatten();
    columns
        .filter(|(column, value)| from.get(column.as_str()) != Some(value))
        .map(|(column, value)| Change {
            cell: Cell {
                service: service.to_owned(),
                backend: backend.map(str::to_owned),
                column: Some(column.clone()),
            },
            was: from.get(column).cloned(),
            to: value.clone(),
        })
        .collect()
}

/// A change of a whole row.
fn row_change(service: &str, backend: Option<&str>, was: Option<Value>, to: Value) -> Change {
    let backend = backend.map(str::to_owned);
    let cell = Cell { service: service.to_owned(), backend, column: None };
    Change { cell, was: Some(was.unwrap_or(Value::Null)), to }
}

/// Lists the changes that add a service or take it out.
fn whole_rows(from: &ServiceDoc, to: &ServiceDoc) -> Vec<Change> {
    let service = &to.service;
    match (from.removed, to.removed) {
        (true, false) => {
            let mut changes = vec![row_change(service, None, None, as_value(&to.row))];
            let added = to.backends.iter();
            changes.extend(
                added.map(|(name, row)| row_change(service, Some(name), None, as_value(row))),
            );
            changes
        }
        (false, true) => {
            vec![row_change(service, None, Some(as_value(&from.row)), Value::Null)]
        }
        _ => Vec::new(),
    }
}

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::Cell;
use crate::doc::{EditRecord, MAX_EDIT_RECORDS, ServiceDoc};
use crate::error::{Fault, TableError};
use crate::row::ServiceRow;

/// The longest edit id and operator name, in bytes.
const MAX_LABEL_BYTES: usize = 128;

/// A set of changes to one service, applied all together or not at all.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Edit {
    /// A random id that the operator's client chooses and reuses for retries.
    pub id: String,
    /// The operator who makes it.
    pub who: String,
    /// The changes, all to the same service.
    pub changes: Vec<Change>,
}

/// A new value for one cell or row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// The cell or row to change.
    pub cell: Cell,
    /// The value that the operator saw; the edit is rejected if the cell now has another value.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub was: Option<Value>,
    /// The new value, or null to remove a row.
    pub to: Value,
}

/// The result of an accepted edit.
#[derive(Clone, Debug, PartialEq)]
pub enum Applied {
    /// The edit is new; this is the changed document, which must still be stored.
    New(Box<ServiceDoc>),
    /// The edit was accepted before and produced this version.
    Duplicate(u64),
}

/// Applies an edit to the document of a service, or creates the document of a new service.
///
/// `now_ms` is the time in milliseconds since the Unix epoch. `highest_seen_version` is the highest
/// version of the service known to any VM. The new version is higher, so that the VMs accept it even
/// if the platform was restored to an older state.
pub fn apply(
    doc: Option<&ServiceDoc>,
    edit: &Edit,
    highest_seen_version: u64,
    now_ms: u64,
) -> Result<Applied, TableError> {
    let service = service_of(edit)?;
    let mut next = doc.cloned().unwrap_or_else(|| ServiceDoc::empty(&service));
    if let Some(record) = next.edit(&edit.id) {
        return Ok(Applied::Duplicate(record.version));
    }
    for change in &edit.changes {
        check_expected_value(&next, change)?;
    }
    for change in &edit.changes {
        write_cell(&mut next, &change.cell, &change.to)?;
    }
    next.version = next.version.max(highest_seen_version) + 1;
    next.edits.push(EditRecord {
        id: edit.id.clone(),
        who: edit.who.clone(),
        at_ms: now_ms,
        version: next.version,
        changes: edit.changes.clone(),
    });
    let excess = next.edits.len().saturating_sub(MAX_EDIT_RECORDS);
    next.edits.drain(..excess);
    next.validate()?;
    Ok(Applied::New(Box::new(next)))
}

/// Lists the changes that turn the rows of one document into those of another.
pub fn diff(from: &ServiceDoc, to: &ServiceDoc) -> Vec<Change> {
    let service = &to.service;
    if from.removed || to.removed {
        return service_row_changes(from, to);
    }
    let mut changes =
        row_changes(service, None, &to_json_value(&from.row), &to_json_value(&to.row));
    for (name, row) in &to.backends {
        match from.backends.get(name) {
            Some(old) => {
                let backend = Some(name.as_str());
                changes.extend(row_changes(
                    service,
                    backend,
                    &to_json_value(old),
                    &to_json_value(row),
                ));
            }
            None => changes.push(row_change(service, Some(name), None, to_json_value(row))),
        }
    }
    let removed = from.backends.iter().filter(|(name, _)| !to.backends.contains_key(*name));
    changes.extend(
        removed.map(|(name, row)| {
            row_change(service, Some(name), Some(to_json_value(row)), Value::Null)
        }),
    );
    changes
}

/// Checks the form of an edit and returns the service that it changes.
fn service_of(edit: &Edit) -> Result<String, TableError> {
    let invalid = |hint: &str| TableError::Invalid(Fault::new("edit", hint).into());
    let is_valid_label = |text: &str| !text.is_empty() && text.len() <= MAX_LABEL_BYTES;
    if !is_valid_label(&edit.id) || !is_valid_label(&edit.who) {
        return Err(invalid("give an id and an operator name of 1 to 128 characters"));
    }
    let first = edit.changes.first().ok_or_else(|| invalid("change at least one cell"))?;
    let service = &first.cell.service;
    if edit.changes.iter().any(|change| change.cell.service != *service) {
        return Err(invalid("change one service at a time"));
    }
    Ok(service.clone())
}

/// Rejects a change if the cell no longer has the value that the operator saw.
fn check_expected_value(doc: &ServiceDoc, change: &Change) -> Result<(), TableError> {
    let Some(was) = &change.was else { return Ok(()) };
    let current = read_cell(doc, &change.cell)?;
    if current == *was {
        return Ok(());
    }
    let who = doc.last_edit_of(&change.cell).map(|record| record.who.clone());
    Err(TableError::Conflict {
        cell: change.cell.to_string(),
        who: who.unwrap_or_else(|| "an earlier edit".to_owned()),
        value: current,
    })
}

/// Reads a cell or row; a missing row reads as null.
fn read_cell(doc: &ServiceDoc, cell: &Cell) -> Result<Value, TableError> {
    let row = match &cell.backend {
        Some(name) => doc.backends.get(name).map(to_json_value),
        None => (!doc.removed).then(|| to_json_value(&doc.row)),
    };
    match (&cell.column, row) {
        (None, row) => Ok(row.unwrap_or(Value::Null)),
        (Some(column), Some(row)) => {
            row.get(column).cloned().ok_or_else(|| TableError::Unknown(cell.to_string()))
        }
        (Some(_), None) => Err(TableError::Unknown(cell.to_string())),
    }
}

/// Writes a cell or row, or removes a row if the value is null.
fn write_cell(doc: &mut ServiceDoc, cell: &Cell, to: &Value) -> Result<(), TableError> {
    match (&cell.backend, &cell.column) {
        (None, None) => write_service_row(doc, cell, to),
        (Some(name), None) if to.is_null() => {
            doc.backends.remove(name).map(drop).ok_or_else(|| TableError::Unknown(cell.to_string()))
        }
        (Some(name), None) => {
            doc.backends.insert(name.clone(), parse_row(cell, to.clone())?);
            Ok(())
        }
        (None, Some(column)) => {
            doc.row =
                parse_row(cell, with_column(cell, read_cell(doc, &row_of(cell))?, column, to)?)?;
            Ok(())
        }
        (Some(name), Some(column)) => {
            let row = with_column(cell, read_cell(doc, &row_of(cell))?, column, to)?;
            doc.backends.insert(name.clone(), parse_row(cell, row)?);
            Ok(())
        }
    }
}

/// Writes the row of the service itself, or removes the service if the value is null.
fn write_service_row(doc: &mut ServiceDoc, cell: &Cell, to: &Value) -> Result<(), TableError> {
    doc.removed = to.is_null();
    if doc.removed {
        doc.row = ServiceRow::default();
        doc.backends.clear();
    } else {
        doc.row = parse_row(cell, to.clone())?;
    }
    Ok(())
}

/// Returns a row with one column replaced.
fn with_column(cell: &Cell, mut row: Value, column: &str, to: &Value) -> Result<Value, TableError> {
    let value = row.get_mut(column).ok_or_else(|| TableError::Unknown(cell.to_string()))?;
    *value = to.clone();
    Ok(row)
}

/// Deserializes a row from JSON.
fn parse_row<T: DeserializeOwned>(cell: &Cell, value: Value) -> Result<T, TableError> {
    serde_json::from_value(value).map_err(|error| {
        TableError::Invalid(Fault::new(cell.to_string(), error.to_string()).into())
    })
}

/// Returns the address of the row that contains a cell.
fn row_of(cell: &Cell) -> Cell {
    Cell { column: None, ..cell.clone() }
}

/// Serializes a row to JSON.
fn to_json_value<T: Serialize>(row: &T) -> Value {
    serde_json::to_value(row).unwrap_or(Value::Null)
}

/// Lists the changes for the columns in which two rows differ.
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

/// Returns the change that adds, replaces or removes a whole row.
fn row_change(service: &str, backend: Option<&str>, was: Option<Value>, to: Value) -> Change {
    let backend = backend.map(str::to_owned);
    let cell = Cell { service: service.to_owned(), backend, column: None };
    Change { cell, was: Some(was.unwrap_or(Value::Null)), to }
}

/// Lists the changes that add or remove a service.
fn service_row_changes(from: &ServiceDoc, to: &ServiceDoc) -> Vec<Change> {
    let service = &to.service;
    match (from.removed, to.removed) {
        (true, false) => {
            let mut changes = vec![row_change(service, None, None, to_json_value(&to.row))];
            let backends = to.backends.iter();
            changes.extend(
                backends
                    .map(|(name, row)| row_change(service, Some(name), None, to_json_value(row))),
            );
            changes
        }
        (false, true) => {
            vec![row_change(service, None, Some(to_json_value(&from.row)), Value::Null)]
        }
        _ => Vec::new(),
    }
}

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::error::{Fault, Faults, TableError};
use crate::row::{BackendRow, ServiceRow, backend_faults, is_name};
use crate::{Cell, Change};

/// The largest valid document, in bytes of JSON; the platform stores up to 1 MB.
pub const MAX_DOC_BYTES: usize = 900_000;

/// How many of the latest edits a document keeps.
pub const MAX_EDIT_RECORDS: usize = 32;

/// The rows of a service and its backend servers with the latest edits, as the platform stores them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceDoc {
    /// The name of the service.
    pub service: String,
    /// The version; every accepted edit increases it, and it never decreases.
    pub version: u64,
    /// Whether the service was removed from the table; the document stays as a tombstone.
    #[serde(default)]
    pub removed: bool,
    /// The row of the service itself.
    #[serde(default)]
    pub row: ServiceRow,
    /// The rows of its backend servers, by name.
    #[serde(default)]
    pub backends: BTreeMap<String, BackendRow>,
    /// The latest edits, oldest first.
    #[serde(default)]
    pub edits: Vec<EditRecord>,
}

/// The record of an accepted edit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EditRecord {
    /// The id of the edit, by which a client whose answer was lost learns whether the edit was accepted.
    pub id: String,
    /// The operator who made it.
    pub who: String,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The document version that it produced.
    pub version: u64,
    /// The changes that it made.
    pub changes: Vec<Change>,
}

impl ServiceDoc {
    /// Creates the document of a service that has never been edited.
    pub fn empty(service: &str) -> ServiceDoc {
        ServiceDoc {
            service: service.to_owned(),
            version: 0,
            removed: true,
            row: ServiceRow::default(),
            backends: BTreeMap::new(),
            edits: Vec::new(),
        }
    }

    /// Validates the whole document and returns every fault.
    pub fn validate(&self) -> Result<(), TableError> {
        let mut faults = Vec::new();
        if !is_name(&self.service) {
            faults.push(Fault::new(
                &self.service,
                "use a name of 1 to 64 letters, digits, `-` and `_`",
            ));
        }
        if !self.removed {
            faults.extend(self.row.faults(&self.service));
            faults.extend(backend_faults(&self.service, &self.backends));
        }
        if self.to_json().len() > MAX_DOC_BYTES {
            faults.push(Fault::new(&self.service, "split the service: its rows exceed 900 kB"));
        }
        if faults.is_empty() { Ok(()) } else { Err(TableError::Invalid(Faults(faults))) }
    }

    /// Finds the record of an accepted edit by its id.
    pub fn edit(&self, id: &str) -> Option<&EditRecord> {
        self.edits.iter().find(|record| record.id == id)
    }

    /// Finds the latest edit that changed a cell or its row.
    pub fn last_edit_of(&self, cell: &Cell) -> Option<&EditRecord> {
        let has_changed_cell = |change: &Change| {
            change.cell.backend == cell.backend
                && (change.cell.column == cell.column
                    || change.cell.column.is_none()
                    || cell.column.is_none())
        };
        self.edits.iter().rev().find(|record| record.changes.iter().any(has_changed_cell))
    }

    /// Serializes the document to JSON, as the platform stores it.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Parses and validates a document from JSON.
    pub fn from_json(json: &[u8]) -> Result<ServiceDoc, String> {
        let doc: ServiceDoc = serde_json::from_slice(json).map_err(|error| error.to_string())?;
        doc.validate().map_err(|error| error.to_string())?;
        Ok(doc)
    }
}

/// Hashes the name and version of a service; VMs compare their tables by the sum of these hashes.
pub fn fingerprint(service: &str, version: u64) -> u64 {
    let mut bytes = service.as_bytes().to_vec();
    bytes.push(0);
    bytes.extend(version.to_le_bytes());
    xxh3_64(&bytes)
}

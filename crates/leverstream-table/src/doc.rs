use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::error::{Fault, Faults, TableError};
use crate::row::{BackendRow, ServiceRow, backend_faults, is_name};
use crate::{Cell, Change};

/// The largest document that is accepted, in bytes of JSON; the platform holds up to a megabyte.
pub const MAX_DOC_BYTES: usize = 900_000;

/// How many of the last edits a document remembers.
pub const MAX_EDIT_RECORDS: usize = 32;

/// A service's row with its backend servers and last edits, as the platform holds it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceDoc {
    /// The service's name.
    pub service: String,
    /// Raised by each accepted edit and never lowered.
    pub version: u64,
    /// Whether the service was taken out of the table; the document stays as a mark.
    #[serde(default)]
    pub removed: bool,
    /// The service's own row.
    #[serde(default)]
    pub row: ServiceRow,
    /// The rows of its backend servers by name.
    #[serde(default)]
    pub backends: BTreeMap<String, BackendRow>,
    /// The last edits, oldest first.
    #[serde(default)]
    pub edits: Vec<EditRecord>,
}

/// An edit as it was accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EditRecord {
    /// The edit's own id, by which a lost answer is resolved.
    pub id: String,
    /// Who made it.
    pub who: String,
    /// When it was accepted, in milliseconds since 1970.
    pub at_ms: u64,
    /// The version it made.
    pub version: u64,
    /// What it changed.
    pub changes: Vec<Change>,
}

impl ServiceDoc {
    /// A service that has never been edited.
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

    /// Checks the document as a whole and reports every fault.
    pub fn validate(&self) -> Result<(), TableError> {
        let mut faults = Vec::new();
        if !is_name(&self.service) {
            faults.push(Fault::new(&self.service, "name it in letters, digits, `-` and `_`"));
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

    /// Finds the record of an edit that has landed.
    pub fn edit(&self, id: &str) -> Option<&EditRecord> {
        self.edits.iter().find(|record| record.id == id)
    }

    /// Finds the last edit that touched a cell or its row.
    pub fn last_edit_of(&self, cell: &Cell) -> Option<&EditRecord> {
        let touches = |change: &Change| {
            change.cell.backend == cell.backend
                && (change.cell.column == cell.column
                    || change.cell.column.is_none()
                    || cell.column.is_none())
        };
        self.edits.iter().rev().find(|record| record.changes.iter().any(touches))
    }

    /// Writes the document in the form that the platform holds.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Reads a document in the form that the platform holds.
    pub fn from_json(json: &[u8]) -> Result<ServiceDoc, String> {
        let doc: ServiceDoc = serde_json::from_slice(json).map_err(|error| error.to_string())?;
        doc.validate().map_err(|error| error.to_string())?;
        Ok(doc)
    }
}

/// Hashes which version of a service is held, so that tables compare by a sum of these.
pub fn fingerprint(service: &str, version: u64) -> u64 {
    let mut bytes = service.as_bytes().to_vec();
    bytes.push(0);
    bytes.extend(version.to_le_bytes());
    xxh3_64(&bytes)
}

use std::collections::BTreeMap;

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use crate::doc::ServiceDoc;
use crate::error::Fault;
use crate::row::{BackendRow, ServiceRow};

/// The whole table or a part of it, as a TOML file holds it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TableFile {
    /// The services by name.
    #[serde(default)]
    pub services: BTreeMap<String, FileService>,
}

/// A service in a file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FileService {
    /// The version that the file was exported at, or 0.
    #[serde(default)]
    pub version: u64,
    /// The service's own row.
    #[serde(default)]
    pub row: ServiceRow,
    /// Its backend servers by name.
    #[serde(default)]
    pub backends: BTreeMap<String, BackendRow>,
}

/// Why a file could not be read.
#[derive(Clone, Debug, PartialEq, Display)]
pub enum FileError {
    /// {0}
    Toml(String),
    /// {0}
    Csv(Fault),
}

impl std::error::Error for FileError {}

impl TableFile {
    /// Takes the rows of documents that are not removed.
    pub fn from_docs<'a>(docs: impl IntoIterator<Item = &'a ServiceDoc>) -> TableFile {
        let services = docs
            .into_iter()
            .filter(|doc| !doc.removed)
            .map(|doc| {
                let (version, row) = (doc.version, doc.row.clone());
                (doc.service.clone(), FileService { version, row, backends: doc.backends.clone() })
            })
            .collect();
        TableFile { services }
    }

    /// Reads a TOML text.
    pub fn from_toml(text: &str) -> Result<TableFile, FileError> {
        toml::from_str(text).map_err(|error| FileError::Toml(error.to_string()))
    }

    /// Writes a TOML text.
    pub fn to_toml(&self) -> String {
        toml::to_string(self).unwrap_or_default()
    }

    /// Turns the rows into documents without history.
    pub fn into_docs(self) -> Vec<ServiceDoc> {
        self.services
            .into_iter()
            .map(|(service, file)| ServiceDoc {
                service,
                version: file.version,
                removed: false,
                row: file.row,
                backends: file.backends,
                edits: Vec::new(),
            })
            .collect()
    }
}

use std::collections::BTreeMap;

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use crate::doc::ServiceDoc;
use crate::error::Fault;
use crate::row::{BackendRow, ServiceRow};

/// The table or a part of it, as exported to and imported from a file.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TableFile {
    /// The services, by name.
    #[serde(default)]
    pub services: BTreeMap<String, FileService>,
}

/// A service in a table file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FileService {
    /// The version of the service at the export, or 0 if the file doesn't give one.
    #[serde(default)]
    pub version: u64,
    /// The row of the service itself.
    #[serde(default)]
    pub row: ServiceRow,
    /// The rows of its backend servers, by name.
    #[serde(default)]
    pub backends: BTreeMap<String, BackendRow>,
}

/// Why a table file could not be parsed.
#[derive(Clone, Debug, PartialEq, Display)]
pub enum FileError {
    /// {0}
    Toml(String),
    /// {0}
    Csv(Fault),
}

impl std::error::Error for FileError {}

impl TableFile {
    /// Builds a file from the documents, leaving out removed services.
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

    /// Parses a file from TOML.
    pub fn from_toml(text: &str) -> Result<TableFile, FileError> {
        toml::from_str(text).map_err(|error| FileError::Toml(error.to_string()))
    }

    /// Serializes the file to TOML.
    pub fn to_toml(&self) -> String {
        toml::to_string(self).unwrap_or_default()
    }

    /// Converts the services to documents without edit records.
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

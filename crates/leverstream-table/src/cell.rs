use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::error::TableError;

/// The address of a cell or row of the table.
///
/// It is written `service.column` or `service/backend.column`; without a column it addresses the whole row.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Cell {
    /// The service.
    pub service: String,
    /// The backend server; none addresses the row of the service itself.
    pub backend: Option<String>,
    /// The column; none addresses the whole row.
    pub column: Option<String>,
}

impl FromStr for Cell {
    type Err = TableError;

    fn from_str(text: &str) -> Result<Cell, TableError> {
        let (row, column) = match text.split_once('.') {
            Some((row, column)) => (row, Some(column.to_owned())),
            None => (text, None),
        };
        let (service, backend) = match row.split_once('/') {
            Some((service, backend)) => (service, Some(backend.to_owned())),
            None => (row, None),
        };
        let parts = [Some(service), backend.as_deref(), column.as_deref()];
        if parts.into_iter().flatten().any(|part| !crate::row::is_name(part)) {
            return Err(TableError::Unknown(text.to_owned()));
        }
        Ok(Cell { service: service.to_owned(), backend, column })
    }
}

impl TryFrom<String> for Cell {
    type Error = String;

    fn try_from(text: String) -> Result<Cell, String> {
        text.parse().map_err(|error: TableError| error.to_string())
    }
}

impl From<Cell> for String {
    fn from(cell: Cell) -> String {
        cell.to_string()
    }
}

impl std::fmt::Display for Cell {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.service)?;
        if let Some(backend) = &self.backend {
            write!(f, "/{backend}")?;
        }
        if let Some(column) = &self.column {
            write!(f, ".{column}")?;
        }
        Ok(())
    }
}

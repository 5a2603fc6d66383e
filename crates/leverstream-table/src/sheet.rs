use std::collections::BTreeMap;

use serde_json::{Map, Value};

use crate::doc::ServiceDoc;
use crate::error::Fault;
use crate::file::{FileError, FileService, TableFile};
use crate::row::{BackendRow, ServiceRow};

/// The columns that name a row in a sheet.
const ROW_COLUMNS: [&str; 3] = ["service", "backend", "version"];

/// Writes documents as a sheet: one line a row, one column a column.
///
/// Cells that a row does not have stay empty. Lists are written as JSON.
pub fn to_csv<'a>(docs: impl IntoIterator<Item = &'a ServiceDoc>) -> String {
    let lines: Vec<Line> = docs.into_iter().filter(|doc| !doc.removed).flat_map(lines_of).collect();
    let mut columns: Vec<String> = ROW_COLUMNS.map(str::to_owned).to_vec();
    for column in lines.iter().flat_map(|line| line.cells.keys()) {
        if !columns.contains(column) {
            columns.push(column.clone());
        }
    }
    let mut writer = csv::Writer::from_writer(Vec::new());
    let mut records = vec![columns.clone()];
    records.extend(lines.iter().map(|line| line.record(&columns)));
    for record in records {
        if writer.write_record(record).is_err() {
            return String::new();
        }
    }
    writer.into_inner().ok().and_then(|bytes| String::from_utf8(bytes).ok()).unwrap_or_default()
}

/// Reads a sheet.
pub fn from_csv(text: &str) -> Result<TableFile, FileError> {
    let mut reader = csv::Reader::from_reader(text.as_bytes());
    let columns = reader.headers().map_err(|error| fault("line 1", &error.to_string()))?.clone();
    let mut file = TableFile::default();
    let mut backends: BTreeMap<String, BTreeMap<String, BackendRow>> = BTreeMap::new();
    for (index, record) in reader.records().enumerate() {
        let place = format!("line {}", index + 2);
        let record = record.map_err(|error| fault(&place, &error.to_string()))?;
        let line = Line::read(&columns, &record);
        let cells = Value::Object(line.cells);
        if line.backend.is_empty() {
            let row: ServiceRow =
                serde_json::from_value(cells).map_err(|error| fault(&place, &error.to_string()))?;
            let entry = FileService { version: line.version, row, backends: BTreeMap::new() };
            file.services.insert(line.service, entry);
        } else {
            let row: BackendRow =
                serde_json::from_value(cells).map_err(|error| fault(&place, &error.to_string()))?;
            backends.entry(line.service).or_default().insert(line.backend, row);
        }
    }
    for (service, rows) in backends {
        let hint = "add a line for the service itself";
        let entry = file.services.get_mut(&service).ok_or_else(|| fault(&service, hint))?;
        entry.backends = rows;
    }
    Ok(file)
}

/// One line of a sheet.
struct Line {
    /// The service of the row.
    service: String,
    /// The backend server, or empty for the service's own row.
    backend: String,
    /// The service's version.
    version: u64,
    /// The cells by column.
    cells: Map<String, Value>,
}

impl Line {
    /// Writes the line's cells in the order of the columns.
    fn record(&self, columns: &[String]) -> Vec<String> {
        let cell = |column: &String| match column.as_str() {
            "service" => self.service.clone(),
            "backend" => self.backend.clone(),
            "version" => self.version.to_string(),
            name => self.cells.get(name).map(text_of).unwrap_or_default(),
        };
        columns.iter().map(cell).collect()
    }

    /// Reads a line's cells; empty ones are left out.
    fn read(columns: &csv::StringRecord, record: &csv::StringRecord) -> Line {
        let mut line =
            Line { service: String::new(), backend: String::new(), version: 0, cells: Map::new() };
        for (column, text) in columns.iter().zip(record.iter()) {
            match column {
                "service" => line.service = text.to_owned(),
                "backend" => line.backend = text.to_owned(),
                "version" => line.version = text.parse().unwrap_or(0),
                _ if text.is_empty() => {}
                name => {
                    line.cells.insert(name.to_owned(), value_of(text));
                }
            }
        }
        line
    }
}

/// Lists the lines of one service, its own first.
fn lines_of(doc: &ServiceDoc) -> Vec<Line> {
    let line = |backend: &str, row: Value| Line {
        service: doc.service.clone(),
        backend: backend.to_owned(),
        version: doc.version,
        cells: row.as_object().cloned().unwrap_or_default(),
    };
    let own = line("", serde_json::to_value(&doc.row).unwrap_or_default());
    let rows = doc.backends.iter();
    let rows = rows.map(|(name, row)| line(name, serde_json::to_value(row).unwrap_or_default()));
    std::iter::once(own).chain(rows).collect()
}

/// Writes a value as a cell's text.
fn text_of(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Reads a cell's text: JSON where it is some, else a plain string.
fn value_of(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or_else(|_| Value::String(text.to_owned()))
}

/// A fault in a sheet.
fn fault(place: &str, hint: &str) -> FileError {
    FileError::Csv(Fault::new(place, hint))
}

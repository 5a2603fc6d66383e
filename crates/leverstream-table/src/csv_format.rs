use std::collections::BTreeMap;

use serde_json::{Map, Value};

use crate::doc::ServiceDoc;
use crate::error::Fault;
use crate::file::{FileError, FileService, TableFile};
use crate::row::{BackendRow, ServiceRow};

/// The CSV columns that identify a row of the table.
const KEY_COLUMNS: [&str; 3] = ["service", "backend", "version"];

/// Serializes documents to CSV, with a header and one record per row.
///
/// A cell that a row does not have is empty. Lists are written as JSON.
pub fn to_csv<'a>(docs: impl IntoIterator<Item = &'a ServiceDoc>) -> String {
    let rows: Vec<CsvRow> =
        docs.into_iter().filter(|doc| !doc.removed).flat_map(csv_rows).collect();
    let mut columns: Vec<String> = KEY_COLUMNS.map(str::to_owned).to_vec();
    for column in rows.iter().flat_map(|row| row.cells.keys()) {
        if !columns.contains(column) {
            columns.push(column.clone());
        }
    }
    let mut writer = csv::Writer::from_writer(Vec::new());
    let mut records = vec![columns.clone()];
    records.extend(rows.iter().map(|row| row.to_record(&columns)));
    for record in records {
        if writer.write_record(record).is_err() {
            return String::new();
        }
    }
    writer.into_inner().ok().and_then(|bytes| String::from_utf8(bytes).ok()).unwrap_or_default()
}

/// Parses a table file from CSV.
pub fn from_csv(text: &str) -> Result<TableFile, FileError> {
    let mut reader = csv::Reader::from_reader(text.as_bytes());
    let columns =
        reader.headers().map_err(|error| csv_error("line 1", &error.to_string()))?.clone();
    let mut file = TableFile::default();
    let mut backends: BTreeMap<String, BTreeMap<String, BackendRow>> = BTreeMap::new();
    for (index, record) in reader.records().enumerate() {
        let place = format!("line {}", index + 2);
        let record = record.map_err(|error| csv_error(&place, &error.to_string()))?;
        let csv_row = CsvRow::parse(&columns, &record);
        let cells = Value::Object(csv_row.cells);
        if csv_row.backend.is_empty() {
            let row: ServiceRow = serde_json::from_value(cells)
                .map_err(|error| csv_error(&place, &error.to_string()))?;
            let entry = FileService { version: csv_row.version, row, backends: BTreeMap::new() };
            file.services.insert(csv_row.service, entry);
        } else {
            let row: BackendRow = serde_json::from_value(cells)
                .map_err(|error| csv_error(&place, &error.to_string()))?;
            backends.entry(csv_row.service).or_default().insert(csv_row.backend, row);
        }
    }
    for (service, rows) in backends {
        let hint = "add a line for the service itself";
        let entry = file.services.get_mut(&service).ok_or_else(|| csv_error(&service, hint))?;
        entry.backends = rows;
    }
    Ok(file)
}

/// One CSV record, which holds a row of the table.
struct CsvRow {
    /// The service that the row belongs to.
    service: String,
    /// The backend server, or empty for the row of the service itself.
    backend: String,
    /// The version of the service.
    version: u64,
    /// The cells, by column.
    cells: Map<String, Value>,
}

impl CsvRow {
    /// Returns the fields of the record in the order of the columns.
    fn to_record(&self, columns: &[String]) -> Vec<String> {
        let cell = |column: &String| match column.as_str() {
            "service" => self.service.clone(),
            "backend" => self.backend.clone(),
            "version" => self.version.to_string(),
            name => self.cells.get(name).map(field_text).unwrap_or_default(),
        };
        columns.iter().map(cell).collect()
    }

    /// Parses a record, leaving out empty cells.
    fn parse(columns: &csv::StringRecord, record: &csv::StringRecord) -> CsvRow {
        let mut row = CsvRow {
            service: String::new(),
            backend: String::new(),
            version: 0,
            cells: Map::new(),
        };
        for (column, text) in columns.iter().zip(record.iter()) {
            match column {
                "service" => row.service = text.to_owned(),
                "backend" => row.backend = text.to_owned(),
                "version" => row.version = text.parse().unwrap_or(0),
                _ if text.is_empty() => {}
                name => {
                    row.cells.insert(name.to_owned(), parse_field(text));
                }
            }
        }
        row
    }
}

/// Lists the records of one service: its own row first, then its backend servers.
fn csv_rows(doc: &ServiceDoc) -> Vec<CsvRow> {
    let csv_row = |backend: &str, row: Value| CsvRow {
        service: doc.service.clone(),
        backend: backend.to_owned(),
        version: doc.version,
        cells: row.as_object().cloned().unwrap_or_default(),
    };
    let service_row = csv_row("", serde_json::to_value(&doc.row).unwrap_or_default());
    let rows = doc.backends.iter();
    let rows = rows.map(|(name, row)| csv_row(name, serde_json::to_value(row).unwrap_or_default()));
    std::iter::once(service_row).chain(rows).collect()
}

/// Converts a value to the text of a CSV field; strings are written without quotes.
fn field_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Parses the text of a CSV field as JSON, or as a plain string if it is not valid JSON.
fn parse_field(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or_else(|_| Value::String(text.to_owned()))
}

/// Creates the error for a fault in a CSV file.
fn csv_error(place: &str, hint: &str) -> FileError {
    FileError::Csv(Fault::new(place, hint))
}

//! The commands that show and edit the table.

use std::path::Path;

use leverstream_node::EditReply;
use leverstream_table::{Cell, Change, ServiceDoc, TableError, TableFile, diff, from_csv, to_csv};
use serde_json::Value;

use crate::api::Api;
use crate::args::TableCommand;
use crate::error::CtlError;

/// Runs a table command.
pub async fn run(api: &Api, command: TableCommand, json: bool) -> Result<(), CtlError> {
    match command {
        TableCommand::Show { service } => show(api, service.as_deref(), json).await,
        TableCommand::Set { was, id, cells } => set(api, was, id, &cells, json).await,
        TableCommand::Remove { row } => remove(api, &row, json).await,
        TableCommand::Import { force, file } => import(api, force, &file, json).await,
        TableCommand::Export { csv, service } => export(api, csv, service.as_deref()).await,
        TableCommand::Diff { file } => show_diff(api, &file, json).await,
        TableCommand::History { service } => history(api, &service, json).await,
    }
}

/// Prints the rows with one cell per line.
async fn show(api: &Api, service: Option<&str>, json: bool) -> Result<(), CtlError> {
    let docs = api.docs(service).await?;
    if json {
        print_json(&docs);
        return Ok(());
    }
    for doc in docs.iter().filter(|doc| !doc.removed) {
        println!("# {} version {}", doc.service, doc.version);
        for change in diff(&ServiceDoc::empty(&doc.service), doc) {
            print_row(&change.cell.to_string(), &change.to);
        }
    }
    Ok(())
}

/// Prints the cells of a row.
fn print_row(row_name: &str, cells: &Value) {
    for (column, value) in cells.as_object().into_iter().flatten() {
        println!("{row_name}.{column}={value}");
    }
}

/// Sets cells as one edit. With `--was`, the edit is rejected unless the first cell still has that value.
async fn set(
    api: &Api,
    was: Option<String>,
    id: Option<String>,
    cells: &[String],
    json: bool,
) -> Result<(), CtlError> {
    let mut changes = cells.iter().map(|text| parse_change(text)).collect::<Result<Vec<_>, _>>()?;
    if let (Some(was), Some(first)) = (was, changes.first_mut()) {
        first.was = Some(parse_value(&was));
    }
    report(&api.edit(id, changes).await?, json);
    Ok(())
}

/// Removes a row.
async fn remove(api: &Api, row: &str, json: bool) -> Result<(), CtlError> {
    let cell: Cell = row.parse().map_err(CtlError::Table)?;
    if cell.column.is_some() {
        return Err(CtlError::Table(TableError::Unknown(row.to_owned())));
    }
    let change = Change { cell, was: None, to: Value::Null };
    report(&api.edit(None, vec![change]).await?, json);
    Ok(())
}

/// Replaces the table's rows by those of a file, with one edit per service.
async fn import(api: &Api, force: bool, file: &Path, json: bool) -> Result<(), CtlError> {
    for (current, imported) in compare(api, file).await? {
        let changes = diff(&current, &imported);
        if changes.is_empty() {
            continue;
        }
        if imported.version != current.version && !force {
            return Err(CtlError::VersionConflict(
                imported.service,
                current.version,
                imported.version,
            ));
        }
        report(&api.edit(None, changes).await?, json);
    }
    Ok(())
}

/// Prints the rows in the format of a TOML or CSV file.
async fn export(api: &Api, csv: bool, service: Option<&str>) -> Result<(), CtlError> {
    let docs = api.docs(service).await?;
    if csv {
        print!("{}", to_csv(&docs));
    } else {
        print!("{}", TableFile::from_docs(&docs).to_toml());
    }
    Ok(())
}

/// Prints what an import would change.
async fn show_diff(api: &Api, file: &Path, json: bool) -> Result<(), CtlError> {
    let pairs = compare(api, file).await?;
    let changes: Vec<Change> =
        pairs.iter().flat_map(|(current, imported)| diff(current, imported)).collect();
    if json {
        print_json(&changes);
        return Ok(());
    }
    for change in changes {
        let was = change.was.unwrap_or(Value::Null);
        println!("{}: {was} -> {}", change.cell, change.to);
    }
    Ok(())
}

/// Prints the latest edits of a service.
async fn history(api: &Api, service: &str, json: bool) -> Result<(), CtlError> {
    let doc = api.doc(service).await?;
    if json {
        print_json(&doc.edits);
        return Ok(());
    }
    for edit in &doc.edits {
        println!(
            "version {} by {} at {} ms (edit {})",
            edit.version, edit.who, edit.at_ms, edit.id
        );
        for change in &edit.changes {
            println!("  {} = {}", change.cell, change.to);
        }
    }
    Ok(())
}

/// Reads a file and returns each of its services as the table has it and as the file has it.
async fn compare(api: &Api, file: &Path) -> Result<Vec<(ServiceDoc, ServiceDoc)>, CtlError> {
    let name = file.display().to_string();
    let text =
        std::fs::read_to_string(file).map_err(|error| CtlError::ReadFile(name.clone(), error))?;
    let is_csv = file.extension().is_some_and(|extension| extension == "csv");
    let parsed = if is_csv { from_csv(&text) } else { TableFile::from_toml(&text) };
    let mut pairs = Vec::new();
    for imported in parsed.map_err(CtlError::File)?.into_docs() {
        imported.validate().map_err(CtlError::Table)?;
        pairs.push((api.doc(&imported.service).await?, imported));
    }
    Ok(pairs)
}

/// Parses `CELL=VALUE`.
fn parse_change(text: &str) -> Result<Change, CtlError> {
    let (cell, value) =
        text.split_once('=').ok_or_else(|| CtlError::CellSyntax(text.to_owned()))?;
    let cell = cell.trim().parse().map_err(CtlError::Table)?;
    Ok(Change { cell, was: None, to: parse_value(value) })
}

/// Parses a value as JSON; anything else is taken as a plain string.
fn parse_value(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or_else(|_| Value::String(text.to_owned()))
}

/// Prints the result of an edit.
fn report(reply: &EditReply, json: bool) {
    if json {
        print_json(reply);
    } else if reply.landed_before {
        println!("already applied with version {}", reply.version);
    } else {
        println!("accepted with version {}", reply.version);
    }
}

/// Prints a value as JSON.
pub fn print_json<T: serde::Serialize>(value: &T) {
    println!("{}", serde_json::to_string_pretty(value).unwrap_or_default());
}

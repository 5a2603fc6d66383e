use displaydoc::Display;
use leverstream_error::Kind;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// One invalid value: its place and a hint how to correct it.
#[derive(Clone, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[displaydoc("{place}: {hint}")]
pub struct Fault {
    /// The cell or line.
    pub place: String,
    /// What would mend it.
    pub hint: String,
}

impl Fault {
    /// Creates a fault from its place and hint.
    pub fn new(place: impl Into<String>, hint: impl Into<String>) -> Fault {
        Fault { place: place.into(), hint: hint.into() }
    }
}

/// Why an edit or a document is rejected.
#[derive(Clone, Debug, PartialEq, Display)]
pub enum TableError {
    /// `{0}` is not in the table
    Unknown(String),
    /// `{cell}` was changed by {who} in the meantime and is now {value}
    Conflict {
        /// The cell that both edits change.
        cell: String,
        /// The operator who changed it first.
        who: String,
        /// The current value.
        value: Value,
    },
    /// invalid table entries: {0}
    Invalid(Faults),
}

impl std::error::Error for TableError {}

impl TableError {
    /// Returns the error kind that the answer carries.
    pub fn kind(&self) -> Kind {
        match self {
            TableError::Unknown(_) => Kind::CellUnknown,
            TableError::Conflict { .. } => Kind::EditConflict,
            TableError::Invalid(_) => Kind::EditInvalid,
        }
    }
}

/// All faults found by a validation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Faults(pub Vec<Fault>);

impl std::fmt::Display for Faults {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let texts: Vec<String> = self.0.iter().map(ToString::to_string).collect();
        f.write_str(&texts.join("; "))
    }
}

impl From<Fault> for Faults {
    fn from(fault: Fault) -> Faults {
        Faults(vec![fault])
    }
}

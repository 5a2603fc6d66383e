use displaydoc::Display;
use leverstream_error::Kind;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// One thing that is wrong, where it is and what would mend it.
#[derive(Clone, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[displaydoc("{place}: {hint}")]
pub struct Fault {
    /// The cell or line.
    pub place: String,
    /// What would mend it.
    pub hint: String,
}

impl Fault {
    /// Names a place and a hint.
    pub fn new(place: impl Into<String>, hint: impl Into<String>) -> Fault {
        Fault { place: place.into(), hint: hint.into() }
    }
}

/// Why an edit was not applied.
#[derive(Clone, Debug, PartialEq, Display)]
pub enum TableError {
    /// there is no `{0}` in the table
    Unknown(String),
    /// `{cell}` was changed by {who} meanwhile and now holds {value}
    Conflict {
        /// The cell that both wanted to change.
        cell: String,
        /// Who changed it.
        who: String,
        /// What it holds now.
        value: Value,
    },
    /// the table would not hold together: {0}
    Invalid(Faults),
}

impl std::error::Error for TableError {}

impl TableError {
    /// The kind that answers it.
    pub fn kind(&self) -> Kind {
        match self {
            TableError::Unknown(_) => Kind::CellUnknown,
            TableError::Conflict { .. } => Kind::EditConflict,
            TableError::Invalid(_) => Kind::EditInvalid,
        }
    }
}

/// Every fault that a check has found.
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

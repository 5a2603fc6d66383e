//! The command line arguments.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;

/// Edits the table of a leverstream fleet and shows the fleet's state.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub struct Options {
    /// The operators' listener of any VM
    #[bpaf(argument("ADDRESS"), env("LEVERSTREAM_AT"), fallback(SocketAddr::from(([127, 0, 0, 1], 7002))), display_fallback)]
    pub at: SocketAddr,
    /// The operators' key
    #[bpaf(argument("KEY"), env("LEVERSTREAM_KEY"), fallback(String::new()))]
    pub key: String,
    /// Your name, as the table's history shows it
    #[bpaf(argument("NAME"), env("LEVERSTREAM_WHO"), fallback("operator".to_owned()))]
    pub who: String,
    /// Print JSON instead of text
    pub json: bool,
    /// What to do.
    #[bpaf(external(command))]
    pub command: Command,
}

/// What to do.
#[derive(Clone, Debug, Bpaf)]
pub enum Command {
    /// Shows and edits the table
    #[bpaf(command("table"))]
    Table(#[bpaf(external(table_command))] TableCommand),
    /// Shows the fleet and on how many VMs each version is in force
    #[bpaf(command("status"))]
    Status,
    /// Shows why each backend server of a service gets requests or not
    #[bpaf(command("health"))]
    Health {
        /// The service
        #[bpaf(positional("SERVICE"))]
        service: String,
    },
    /// Shows the backend servers of a service and refreshes the output
    #[bpaf(command("top"))]
    Top {
        /// The number of refreshes; 0 for no limit
        #[bpaf(argument("COUNT"), fallback(0))]
        rounds: u32,
        /// The time between two refreshes, in milliseconds
        #[bpaf(argument("MS"), fallback(1_000))]
        every_ms: u64,
        /// The service
        #[bpaf(positional("SERVICE"))]
        service: String,
    },
    /// Asks where to connect, as a caller
    #[bpaf(command("ask"))]
    Ask {
        /// The callers' listener of any VM
        #[bpaf(argument("ADDRESS"))]
        callers: SocketAddr,
        /// The data hall nearest to the caller
        #[bpaf(argument("HALL"), optional)]
        hall: Option<String>,
        /// The service
        #[bpaf(positional("SERVICE"))]
        service: String,
    },
    /// Makes a request, as a caller
    #[bpaf(command("request"))]
    Request(#[bpaf(external(request_args))] RequestArgs),
}

/// A request to make.
#[derive(Clone, Debug, Bpaf)]
pub struct RequestArgs {
    /// The callers' listener of any VM
    #[bpaf(argument("ADDRESS"))]
    pub callers: SocketAddr,
    /// The method
    #[bpaf(argument("METHOD"), fallback("GET".to_owned()))]
    pub method: String,
    /// The body
    #[bpaf(argument("TEXT"), fallback(String::new()))]
    pub body: String,
    /// The time limit for all tries together, in milliseconds
    #[bpaf(argument("MS"), fallback(10_000))]
    pub timeout_ms: u64,
    /// The service
    #[bpaf(positional("SERVICE"))]
    pub service: String,
    /// The path and query
    #[bpaf(positional("PATH"))]
    pub path: String,
}

/// What to do with the table.
#[derive(Clone, Debug, Bpaf)]
pub enum TableCommand {
    /// Shows the rows
    #[bpaf(command("show"))]
    Show {
        /// Only this service
        #[bpaf(positional("SERVICE"), optional)]
        service: Option<String>,
    },
    /// Sets cells of one service, all or none, such as `shop/b1.weight=50`
    #[bpaf(command("set"))]
    Set {
        /// Reject the edit unless the first cell still has this value
        #[bpaf(argument("VALUE"), optional)]
        was: Option<String>,
        /// Use this id, to repeat an earlier edit whose answer was lost
        #[bpaf(argument("ID"), optional)]
        id: Option<String>,
        /// The cells and their new values
        #[bpaf(positional("CELL=VALUE"), some("name a cell and its value"))]
        cells: Vec<String>,
    },
    /// Removes a row, such as `shop/b1`
    #[bpaf(command("remove"))]
    Remove {
        /// The row
        #[bpaf(positional("ROW"))]
        row: String,
    },
    /// Replaces the table's rows by those of a TOML or CSV file
    #[bpaf(command("import"))]
    Import {
        /// Import although the table has changed since the file was exported
        force: bool,
        /// The file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Prints the rows as TOML or CSV
    #[bpaf(command("export"))]
    Export {
        /// Print CSV
        csv: bool,
        /// Only this service
        #[bpaf(positional("SERVICE"), optional)]
        service: Option<String>,
    },
    /// Shows what an import of a file would change
    #[bpaf(command("diff"))]
    Diff {
        /// The file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Shows the latest edits of a service
    #[bpaf(command("history"))]
    History {
        /// The service
        #[bpaf(positional("SERVICE"))]
        service: String,
    },
}

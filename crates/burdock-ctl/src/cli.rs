//! Arguments of `burdockctl`.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use burdock_model::error::{Error, ErrorKind, Result};

use crate::client::Client;
use crate::load::{LoadSettings, load_settings};
use crate::{commands, load, trace};

/// How output is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Rows for people.
    Table,
    /// For programs.
    Json,
}

impl std::str::FromStr for Output {
    type Err = String;

    fn from_str(text: &str) -> std::result::Result<Self, String> {
        match text {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            other => Err(format!("`{other}` is neither `table` nor `json`")),
        }
    }
}

/// Operates burdockcroft through the administration API of any instance.
///
/// Exit codes: 0 done, 1 internal, 2 invalid, 3 refused, 4 not found, 5 conflict, 6 not now, 7 outcome
/// unknown, 8 store down.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, footer("Example: burdockctl set organisations/farm-dobele/settings/rate '\"5/s\"'"))]
pub struct Options {
    /// Address of the API, such as http://127.0.0.1:8082
    #[bpaf(long, env("BURDOCK_ADMIN"), argument("URL"), fallback("http://127.0.0.1:8082".to_owned()), display_fallback)]
    admin: String,
    /// Operator token
    #[bpaf(long, env("BURDOCK_TOKEN"), argument("TOKEN"), fallback(String::new()))]
    token: String,
    /// Output: table or json
    #[bpaf(long, argument("FORM"), fallback(Output::Table))]
    output: Output,
    #[bpaf(external)]
    command: Command,
}

/// What to do.
#[derive(Clone, Debug, Bpaf)]
pub enum Command {
    /// Replace the tree by a file. Example: burdockctl apply -f tree.jsonc --dry-run
    #[bpaf(command)]
    Apply {
        /// Tree file, JSON with comments
        #[bpaf(short('f'), long, argument("FILE"))]
        file: PathBuf,
        /// Only show what would change
        dry_run: bool,
        /// Tag that the tree must have
        #[bpaf(argument("TAG"), optional)]
        if_match: Option<String>,
    },
    /// Show what would change if a file were applied. Example: burdockctl diff -f tree.jsonc
    #[bpaf(command)]
    Diff {
        /// Tree file, JSON with comments
        #[bpaf(short('f'), long, argument("FILE"))]
        file: PathBuf,
    },
    /// Show the value at a path. Example: burdockctl get --resolved organisations/farm-dobele
    #[bpaf(command)]
    Get {
        /// Show each setting in force and its level
        resolved: bool,
        /// Path in the tree
        #[bpaf(positional("PATH"), fallback(String::new()))]
        path: String,
    },
    /// Set the value at a path to JSON. Example: burdockctl set settings/retries 1
    #[bpaf(command)]
    Set {
        /// Tag that the value must have
        #[bpaf(argument("TAG"), optional)]
        if_match: Option<String>,
        /// Path in the tree
        #[bpaf(positional("PATH"))]
        path: String,
        /// The value as JSON
        #[bpaf(positional("JSON"))]
        value: String,
    },
    /// Remove the value at a path. Example: burdockctl unset settings/retries
    #[bpaf(command)]
    Unset {
        /// Tag that the value must have
        #[bpaf(argument("TAG"), optional)]
        if_match: Option<String>,
        /// Path in the tree
        #[bpaf(positional("PATH"))]
        path: String,
    },
    /// Issue or withdraw keys. Example: burdockctl key issue farm-dobele
    #[bpaf(command)]
    Key {
        #[bpaf(external)]
        key_command: KeyCommand,
    },
    /// Drain backend servers, zones and regions. Example: burdockctl drain start zone riga-a
    #[bpaf(command)]
    Drain {
        #[bpaf(external)]
        drain_command: DrainCommand,
    },
    /// Replace the client blocks by a file of lines `prefix region`. Example: burdockctl blocks -f blocks.txt
    #[bpaf(command)]
    Blocks {
        /// File of blocks
        #[bpaf(short('f'), long, argument("FILE"))]
        file: PathBuf,
    },
    /// Show the state of the instance and of the fleet. Example: burdockctl --output json status
    #[bpaf(command)]
    Status,
    /// Show which instances have a change in force. Example: burdockctl change 5f0c2d9a11223344
    #[bpaf(command)]
    Change {
        /// Id of the change
        #[bpaf(positional("ID"))]
        id: String,
    },
    /// Explain what would happen to a request. Example: burdockctl explain --organisation farm-dobele /valves/7
    #[bpaf(command)]
    Explain {
        /// Organisation of the caller
        #[bpaf(argument("NAME"), optional)]
        organisation: Option<String>,
        /// Host of the request
        #[bpaf(argument("HOST"), optional)]
        host: Option<String>,
        /// Method of the request
        #[bpaf(argument("METHOD"), fallback("GET".to_owned()))]
        method: String,
        /// Path of the request
        #[bpaf(positional("PATH"))]
        path: String,
    },
    /// Ask an entry instance for a steering answer. Example: burdockctl steer --entry http://127.0.0.1:8080 --key bk.a.b quotes
    #[bpaf(command)]
    Steer {
        /// Address of an entry instance
        #[bpaf(argument("URL"))]
        entry: String,
        /// Key of an organisation
        #[bpaf(argument("KEY"))]
        key: String,
        /// The service
        #[bpaf(positional("SERVICE"))]
        service: String,
    },
    /// Tell the story of a request from the logs of instances. Example: burdockctl trace 9c41d07be2a35f68 edge-*.log
    #[bpaf(command)]
    Trace {
        /// Id of the request
        #[bpaf(positional("ID"))]
        id: String,
        /// Log files; standard input without any
        #[bpaf(positional("FILE"))]
        files: Vec<PathBuf>,
    },
    /// Send requests at a steady rate and report latency. Example: burdockctl load --entry 127.0.0.1:8080 --key bk.a.b --rate 500 /quotes/1
    #[bpaf(command)]
    Load {
        #[bpaf(external)]
        load_settings: LoadSettings,
    },
}

/// What to do with keys.
#[derive(Clone, Debug, Bpaf)]
pub enum KeyCommand {
    /// Issue a key. Its text is shown once.
    #[bpaf(command)]
    Issue {
        /// The organisation
        #[bpaf(positional("ORGANISATION"))]
        organisation: String,
    },
    /// Withdraw a key.
    #[bpaf(command)]
    Withdraw {
        /// The organisation
        #[bpaf(positional("ORGANISATION"))]
        organisation: String,
        /// Id of the key
        #[bpaf(positional("ID"))]
        id: String,
    },
}

/// What to do with drains.
#[derive(Clone, Debug, Bpaf)]
pub enum DrainCommand {
    /// Start a drain.
    #[bpaf(command)]
    Start {
        /// backend, zone or region
        #[bpaf(positional("KIND"))]
        kind: String,
        /// Its name
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// End a drain.
    #[bpaf(command)]
    Stop {
        /// backend, zone or region
        #[bpaf(positional("KIND"))]
        kind: String,
        /// Its name
        #[bpaf(positional("NAME"))]
        name: String,
    },
}

/// Runs the command line.
pub fn main() -> ExitCode {
    let options = options().run();
    let output = options.output;
    match execute(options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            match output {
                Output::Table => eprintln!("burdockctl: {e}"),
                Output::Json => eprintln!("{}", e.problem()),
            }
            ExitCode::from(e.kind.answer().exit_code)
        }
    }
}

fn execute(options: Options) -> Result<()> {
    if let Command::Trace { id, files } = &options.command {
        return trace::run(id, files, options.output);
    }
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let runtime = runtime.map_err(|e| Error::new(ErrorKind::Internal, e.to_string()))?;
    runtime.block_on(async move {
        if let Command::Load { load_settings } = options.command {
            return load::run(&load_settings, options.output).await;
        }
        let client = Client::new(&options.admin, &options.token);
        commands::run(&client, options.command, options.output).await
    })
}

#[cfg(test)]
#[path = "../tests/unit/cli.rs"]
mod tests;

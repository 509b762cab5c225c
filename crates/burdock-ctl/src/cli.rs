//! Command-line arguments of `burdockctl`, and the entry point that runs them.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use burdock_model::error::{Error, ErrorKind, Result};

use crate::client::Client;
use crate::load::{LoadSettings, load_settings};
use crate::{check, commands, load, trace};

/// Format of printed results and errors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputFormat {
    /// Aligned rows of text.
    Table,
    /// JSON, for programs.
    Json,
}

impl std::str::FromStr for OutputFormat {
    type Err = String;

    fn from_str(text: &str) -> std::result::Result<Self, String> {
        match text {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            other => Err(format!("`{other}` is not an output format, expected `table` or `json`")),
        }
    }
}

/// Maximum width of lines of the help text.
const MAX_HELP_WIDTH: usize = 100;

/// Operate burdockcroft through the administration API of any instance.
///
/// Exit codes: 0 done, 1 internal, 2 invalid, 3 refused, 4 not found, 5 conflict, 6 not now, 7 outcome
/// unknown, 8 store down. `check` exits with 0 for clean, 1 for warnings, 2 for errors.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, footer("Example: burdockctl set organisations/farm-dobele/settings/rate '\"5/s\"'"))]
pub struct Options {
    /// Address of the administration API, such as http://127.0.0.1:8082
    #[bpaf(
        long,
        env("BURDOCK_ADMIN"),
        argument("URL"),
        fallback("http://127.0.0.1:8082".to_owned()),
        display_fallback
    )]
    admin: String,
    /// Operator token for the administration API
    #[bpaf(long, env("BURDOCK_TOKEN"), argument("TOKEN"), fallback(String::new()))]
    token: String,
    /// Output format: table or json
    #[bpaf(long, argument("FORM"), fallback(OutputFormat::Table))]
    output: OutputFormat,
    #[bpaf(external)]
    command: Command,
}

/// Commands:
#[derive(Clone, Debug, Bpaf)]
pub enum Command {
    /// Replace the settings tree with a file. Example: burdockctl apply -f tree.jsonc --dry-run
    #[bpaf(command)]
    Apply {
        /// File with the settings tree, JSON with comments
        #[bpaf(short('f'), long, argument("FILE"))]
        file: PathBuf,
        /// Show what would change without applying it
        dry_run: bool,
        /// Apply only if the tree has this entity tag
        #[bpaf(argument("TAG"), optional)]
        if_match: Option<String>,
    },
    /// Show what applying a file would change. Example: burdockctl diff -f tree.jsonc
    #[bpaf(command)]
    Diff {
        /// File with the settings tree, JSON with comments
        #[bpaf(short('f'), long, argument("FILE"))]
        file: PathBuf,
    },
    /// Show the value at a path. Example: burdockctl get --resolved organisations/farm-dobele
    #[bpaf(command)]
    Get {
        /// Show every effective setting and the level that sets it
        resolved: bool,
        /// Path in the settings tree
        #[bpaf(positional("PATH"), fallback(String::new()))]
        path: String,
    },
    /// Set the value at a path. Example: burdockctl set settings/retries 1
    #[bpaf(command)]
    Set {
        /// Set the value only if it has this entity tag
        #[bpaf(argument("TAG"), optional)]
        if_match: Option<String>,
        /// Path in the settings tree
        #[bpaf(positional("PATH"))]
        path: String,
        /// New value as JSON
        #[bpaf(positional("JSON"))]
        value: String,
    },
    /// Remove the value at a path. Example: burdockctl unset settings/retries
    #[bpaf(command)]
    Unset {
        /// Remove the value only if it has this entity tag
        #[bpaf(argument("TAG"), optional)]
        if_match: Option<String>,
        /// Path in the settings tree
        #[bpaf(positional("PATH"))]
        path: String,
    },
    /// Issue or withdraw API keys of organisations. Example: burdockctl key issue farm-dobele
    #[bpaf(command)]
    Key {
        #[bpaf(external)]
        key_command: KeyCommand,
    },
    /// Start or stop draining a backend server, zone or region. Example: burdockctl drain start zone riga-a
    #[bpaf(command)]
    Drain {
        #[bpaf(external)]
        drain_command: DrainCommand,
    },
    /// Replace the client address blocks with a file. Example: burdockctl blocks -f blocks.txt
    #[bpaf(command)]
    Blocks {
        /// File of client address blocks, one `prefix region` on each line
        #[bpaf(short('f'), long, argument("FILE"))]
        file: PathBuf,
    },
    /// Show the state of the instance and the fleet. Example: burdockctl --output json status
    #[bpaf(command)]
    Status,
    /// Show which instances have applied a change. Example: burdockctl change 5f0c2d9a11223344
    #[bpaf(command)]
    Change {
        /// Id of the change
        #[bpaf(positional("ID"))]
        id: String,
    },
    /// Explain how a request is handled. Example: burdockctl explain --organisation farm-dobele /valves/7
    #[bpaf(command)]
    Explain {
        /// Organisation that sends the request
        #[bpaf(argument("NAME"), optional)]
        organisation: Option<String>,
        /// Host header of the request
        #[bpaf(argument("HOST"), optional)]
        host: Option<String>,
        /// Method of the request
        #[bpaf(argument("METHOD"), fallback("GET".to_owned()))]
        method: String,
        /// Path of the request
        #[bpaf(positional("PATH"))]
        path: String,
    },
    /// Ask an entry instance where to send requests. Example: burdockctl steer --entry http://127.0.0.1:8080 --key bk.a.b quotes
    #[bpaf(command)]
    Steer {
        /// Address of the entry instance
        #[bpaf(argument("URL"))]
        entry: String,
        /// API key of an organisation
        #[bpaf(argument("KEY"))]
        key: String,
        /// Name of the service
        #[bpaf(positional("SERVICE"))]
        service: String,
    },
    /// Trace a request through the logs of instances. Example: burdockctl trace 9c41d07be2a35f68 edge-*.log
    #[bpaf(command)]
    Trace {
        /// Id of the request
        #[bpaf(positional("ID"))]
        id: String,
        /// Log files; standard input if none is given
        #[bpaf(positional("FILE"))]
        files: Vec<PathBuf>,
    },
    /// Check a configuration before it is sent. Example: burdockctl check --platform-config new.json --in-force old.json
    ///
    /// Exit codes: 0 clean, 1 warnings, 2 errors.
    #[bpaf(command)]
    Check {
        /// File with the platform's configuration
        #[bpaf(long, argument("FILE"))]
        platform_config: PathBuf,
        /// File with the version in force, to compare with
        #[bpaf(long, argument("FILE"), optional)]
        in_force: Option<PathBuf>,
    },
    /// Send requests at a steady rate and report latency. Example: burdockctl load --entry 127.0.0.1:8080 --key bk.a.b --rate 500 /quotes/1
    #[bpaf(command)]
    Load {
        #[bpaf(external)]
        load_settings: LoadSettings,
    },
}

/// Commands for keys:
#[derive(Clone, Debug, Bpaf)]
pub enum KeyCommand {
    /// Issue a key. The key is shown only once.
    #[bpaf(command)]
    Issue {
        /// Name of the organisation
        #[bpaf(positional("ORGANISATION"))]
        organisation: String,
    },
    /// Withdraw a key.
    #[bpaf(command)]
    Withdraw {
        /// Name of the organisation
        #[bpaf(positional("ORGANISATION"))]
        organisation: String,
        /// Id of the key
        #[bpaf(positional("ID"))]
        id: String,
    },
}

/// Commands for drains:
#[derive(Clone, Debug, Bpaf)]
pub enum DrainCommand {
    /// Start draining.
    #[bpaf(command)]
    Start {
        /// Kind of the drained item: backend, zone or region
        #[bpaf(positional("KIND"))]
        kind: String,
        /// Name of the backend server, zone or region
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Stop draining.
    #[bpaf(command)]
    Stop {
        /// Kind of the drained item: backend, zone or region
        #[bpaf(positional("KIND"))]
        kind: String,
        /// Name of the backend server, zone or region
        #[bpaf(positional("NAME"))]
        name: String,
    },
}

/// Parses the arguments, runs the command and returns its exit code.
pub fn main() -> ExitCode {
    let options = match options().run_inner(bpaf::Args::current_args()) {
        Ok(options) => options,
        Err(failure) => {
            failure.print_message(MAX_HELP_WIDTH);
            return ExitCode::from(usage_exit_code(&failure));
        }
    };
    let output = options.output;
    match execute(options) {
        Ok(code) => code,
        Err(e) => {
            match output {
                OutputFormat::Table => eprintln!("burdockctl: {e}"),
                OutputFormat::Json => eprintln!("{}", e.problem()),
            }
            ExitCode::from(e.kind.answer().exit_code)
        }
    }
}

/// Returns the exit code of arguments that can't be parsed: that of invalid input, since `check` exits with 1
/// for warnings. A request for help succeeds.
fn usage_exit_code(failure: &bpaf::ParseFailure) -> u8 {
    let is_error = matches!(failure, bpaf::ParseFailure::Stderr(_));
    if is_error { ErrorKind::InvalidTree.answer().exit_code } else { 0 }
}

fn execute(options: Options) -> Result<ExitCode> {
    match &options.command {
        Command::Trace { id, files } => {
            return trace::run(id, files, options.output).map(|()| ExitCode::SUCCESS);
        }
        Command::Check { platform_config, in_force } => {
            return check::run(platform_config, in_force.as_deref(), options.output);
        }
        _ => {}
    }
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let runtime = runtime.map_err(|e| Error::new(ErrorKind::Internal, e.to_string()))?;
    runtime.block_on(async move {
        if let Command::Load { load_settings } = options.command {
            return load::run(&load_settings, options.output).await;
        }
        let client = Client::new(&options.admin, &options.token);
        commands::run(&client, options.command, options.output).await
    })?;
    Ok(ExitCode::SUCCESS)
}

#[cfg(test)]
#[path = "../tests/unit/cli.rs"]
mod tests;

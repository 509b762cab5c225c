//! Commands that call the administration API.

use std::path::Path;

use burdock_model::error::{Error, ErrorKind, Result};
use burdock_model::jsonc;
use bytes::Bytes;
use http::Method;
use serde_json::{Value, json};

use crate::cli::{Command, DrainCommand, KeyCommand, OutputFormat};
use crate::client::{Call, Client};
use crate::print;

/// Runs a command and prints its result.
///
/// # Errors
/// Fails if a file or value is invalid, if the instance refuses the call, or if it can't be reached.
pub async fn run(client: &Client, command: Command, output: OutputFormat) -> Result<()> {
    let result = match command {
        Command::Apply { file, dry_run, if_match } => {
            apply_tree(client, &file, dry_run, if_match.as_deref()).await?
        }
        Command::Diff { file } => apply_tree(client, &file, true, None).await?,
        Command::Get { resolved, path } => {
            let query = if resolved { "?resolved=true" } else { "" };
            client.call(Call::json(Method::GET, &format!("/v1/tree/{path}{query}"), None)).await?
        }
        Command::Set { if_match, path, value } => {
            let value = jsonc::parse(&value, ErrorKind::InvalidTree)
                .map_err(|e| e.hint("the value must be JSON; put text in quotes, such as '\"5/s\"'"))?;
            let path = format!("/v1/tree/{path}");
            let call = Call::json(Method::PUT, &path, Some(&value));
            client.call(Call { if_match: if_match.as_deref(), ..call }).await?
        }
        Command::Unset { if_match, path } => {
            let path = format!("/v1/tree/{path}");
            let call = Call::json(Method::DELETE, &path, None);
            client.call(Call { if_match: if_match.as_deref(), ..call }).await?
        }
        Command::Key { key_command } => run_key_command(client, &key_command).await?,
        Command::Drain { drain_command } => run_drain_command(client, &drain_command).await?,
        Command::Blocks { file } => replace_blocks(client, &file).await?,
        Command::Status => {
            let status = client.call(Call::json(Method::GET, "/v1/status", None)).await?;
            print::status(&status, output);
            return Ok(());
        }
        Command::Change { id } => {
            client.call(Call::json(Method::GET, &format!("/v1/changes/{id}"), None)).await?
        }
        Command::Explain { organisation, host, method, path } => {
            let mut query = format!("/v1/explain?path={path}&method={method}");
            for (name, value) in [("organisation", organisation), ("host", host)] {
                if let Some(value) = value {
                    query.push_str(&format!("&{name}={value}"));
                }
            }
            client.call(Call::json(Method::GET, &query, None)).await?
        }
        Command::Steer { entry, key, service } => {
            let entry = Client::new(&entry, &key);
            entry
                .call(Call::json(Method::GET, &format!("/.burdock/v1/steer?service={service}"), None))
                .await?
        }
        Command::Load { .. } | Command::Trace { .. } | Command::Check { .. } => {
            return Err(Error::from(ErrorKind::Internal));
        }
    };
    print::value(&result, output);
    Ok(())
}

async fn apply_tree(client: &Client, file: &Path, dry_run: bool, if_match: Option<&str>) -> Result<Value> {
    let tree = jsonc::parse(&read_file(file)?, ErrorKind::InvalidTree).map_err(|e| e.at(file.display()))?;
    let path = if dry_run { "/v1/tree?dry_run=true" } else { "/v1/tree" };
    client.call(Call { if_match, ..Call::json(Method::PUT, path, Some(&tree)) }).await
}

async fn run_key_command(client: &Client, command: &KeyCommand) -> Result<Value> {
    match command {
        KeyCommand::Issue { organisation } => {
            let path = format!("/v1/organisations/{organisation}/keys");
            client.call(Call::json(Method::POST, &path, None)).await
        }
        KeyCommand::Withdraw { organisation, id } => {
            let path = format!("/v1/organisations/{organisation}/keys/{id}");
            client.call(Call::json(Method::DELETE, &path, None)).await
        }
    }
}

async fn run_drain_command(client: &Client, command: &DrainCommand) -> Result<Value> {
    match command {
        DrainCommand::Start { kind, name } => {
            let body = json!({"kind": kind, "name": name});
            client.call(Call::json(Method::POST, "/v1/drains", Some(&body))).await
        }
        DrainCommand::Stop { kind, name } => {
            client.call(Call::json(Method::DELETE, &format!("/v1/drains/{kind}/{name}"), None)).await
        }
    }
}

async fn replace_blocks(client: &Client, file: &Path) -> Result<Value> {
    let body = Some(Bytes::from(read_file(file)?));
    let call =
        Call { method: Method::PUT, path: "/v1/blocks", body, if_match: None, content_type: "text/plain" };
    client.call(call).await
}

fn read_file(file: &Path) -> Result<String> {
    std::fs::read_to_string(file)
        .map_err(|e| Error::new(ErrorKind::InvalidTree, e.to_string()).at(file.display()))
}

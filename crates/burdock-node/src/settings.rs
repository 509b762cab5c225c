//! The settings file of one instance.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

use burdock_model::error::{Error, ErrorKind, Result};
use burdock_model::ids::{InstanceId, RegionName, ZoneName};
use burdock_model::jsonc;
use burdock_model::units::Millis;
use serde::{Deserialize, Serialize};

/// The shortest operator token accepted, in bytes.
const MIN_TOKEN_BYTES: usize = 16;

/// Everything that one instance is told at its start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceSettings {
    /// Its name, unique in the fleet.
    pub instance: InstanceId,
    /// Its region.
    pub region: RegionName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it listens.
    pub listen: Listen,
    /// The platform's store.
    pub store: StoreSettings,
    /// Operators by name, with their tokens.
    pub operators: BTreeMap<String, String>,
    /// Threads.
    #[serde(default)]
    pub threads: Threads,
    /// Metrics; none are sent where left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub metrics: Option<MetricsSettings>,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
    /// Traces.
    #[serde(default)]
    pub traces: TraceSettings,
}

/// Where an instance listens, as `ip:port`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For other instances.
    pub peers: SocketAddr,
    /// For operators.
    pub admin: SocketAddr,
}

/// The platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Its address.
    pub address: SocketAddr,
    /// The longest that one call may take.
    #[serde(default = "default_time_limit")]
    pub time_limit: Millis,
    /// Calls a second that this instance may make.
    #[serde(default = "default_calls")]
    pub calls_per_second: u32,
}

/// Threads of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Threads {
    /// For callers and everything else.
    pub workers: usize,
    /// For sessions with other instances.
    pub peers: usize,
}

/// Where metrics are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MetricsSettings {
    /// A StatsD address, over UDP.
    pub statsd: SocketAddr,
}

/// How logs are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Text or JSON.
    pub format: LogFormat,
}

/// The form of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// For programs.
    Json,
}

/// Which requests are traced.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TraceSettings {
    /// Thousandths of requests that are traced though their caller did not ask for it.
    pub sample_per_mille: u32,
}

impl Default for Threads {
    fn default() -> Self {
        Self { workers: 2, peers: 1 }
    }
}

impl InstanceSettings {
    /// Reads and checks a settings file as a whole.
    ///
    /// # Errors
    /// [`ErrorKind::InvalidSettings`] with file, place, what was found and what is allowed.
    pub fn load(path: &Path) -> Result<Self> {
        let at = |e: Error| e.at(path.display());
        let text = std::fs::read_to_string(path)
            .map_err(|e| Error::new(ErrorKind::InvalidSettings, e.to_string()).at(path.display()))?;
        Self::parse(&text).map_err(at)
    }

    /// Reads and checks the text of a settings file.
    ///
    /// ```
    /// use burdock_node::settings::InstanceSettings;
    /// let err = InstanceSettings::parse(r#"{ "instnce": "riga-1" }"#).unwrap_err();
    /// assert!(err.to_string().contains("did you mean `instance`"), "{err}");
    /// ```
    ///
    /// # Errors
    /// [`ErrorKind::InvalidSettings`] with the place, what was found and what is allowed.
    pub fn parse(text: &str) -> Result<Self> {
        let value = jsonc::parse(text, ErrorKind::InvalidSettings)?;
        let settings: Self = jsonc::from_value(&value, ErrorKind::InvalidSettings)?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<()> {
        if self.operators.is_empty() {
            return Err(invalid("operators: none found", "name at least one operator with a token"));
        }
        if let Some((name, _)) = self.operators.iter().find(|(_, token)| token.len() < MIN_TOKEN_BYTES) {
            let hint = format!("use a token of {MIN_TOKEN_BYTES} bytes or more");
            return Err(invalid(&format!("operators.{name}: token too short"), &hint));
        }
        let listen = [self.listen.callers, self.listen.peers, self.listen.admin];
        let twice = |ix: usize| listen[ix].port() != 0 && listen[..ix].contains(&listen[ix]);
        if (1..listen.len()).any(twice) {
            return Err(invalid(
                "listen: one address stands twice",
                "give callers, peers and admin their own",
            ));
        }
        if self.threads.workers == 0 || self.threads.peers == 0 {
            return Err(invalid("threads: found 0", "write 1 or more"));
        }
        if self.store.calls_per_second == 0 {
            return Err(invalid("store.calls_per_second: found 0", "write 1 or more"));
        }
        Ok(())
    }
}

fn invalid(detail: &str, hint: &str) -> Error {
    Error::new(ErrorKind::InvalidSettings, detail).hint(hint)
}

const fn default_time_limit() -> Millis {
    Millis(1000)
}

const fn default_calls() -> u32 {
    60
}

//! The settings file of one instance.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

use burdock_model::error::{Error, ErrorKind, Result};
use burdock_model::ids::{InstanceId, RegionName, ZoneName};
use burdock_model::jsonc;
use burdock_model::units::Millis;
use serde::{Deserialize, Serialize};

/// Minimum length of an operator's token in bytes.
const MIN_TOKEN_BYTES: usize = 16;

/// Settings of one instance, read once at its start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceSettings {
    /// Id of the instance, unique in the fleet.
    pub instance: InstanceId,
    /// Region that the instance runs in.
    pub region: RegionName,
    /// Availability zone that the instance runs in.
    pub zone: ZoneName,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Access to the platform's store.
    pub store: StoreSettings,
    /// Operators' tokens by operator name.
    pub operators: BTreeMap<String, String>,
    /// Number of threads.
    #[serde(default)]
    pub threads: Threads,
    /// Destination of metrics; without it none are sent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub metrics: Option<MetricsSettings>,
    /// Format of log lines.
    #[serde(default)]
    pub log: LogSettings,
    /// Selection of traced requests.
    #[serde(default)]
    pub traces: TraceSettings,
}

/// Addresses that an instance listens on, as `ip:port`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other instances.
    pub peers: SocketAddr,
    /// Address of the operators' API.
    pub admin: SocketAddr,
}

/// Access to the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Address of the store.
    pub address: SocketAddr,
    /// Timeout of one call.
    #[serde(default = "default_time_limit")]
    pub time_limit: Millis,
    /// Calls per second that this instance may make.
    #[serde(default = "default_calls")]
    pub calls_per_second: u32,
}

/// Number of threads of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Threads {
    /// Threads for callers and background tasks.
    pub workers: usize,
    /// Threads for sessions with other instances.
    pub peers: usize,
}

/// Destination of metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MetricsSettings {
    /// UDP address of a StatsD server.
    pub statsd: SocketAddr,
}

/// Settings of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Format of log lines.
    pub format: LogFormat,
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Text for people.
    #[default]
    Text,
    /// JSON for programs.
    Json,
}

/// Selection of traced requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TraceSettings {
    /// Thousandths of the requests that are traced although their caller did not ask for it.
    pub sample_per_mille: u32,
}

impl Default for Threads {
    fn default() -> Self {
        Self { workers: 2, peers: 1 }
    }
}

impl InstanceSettings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// [`ErrorKind::InvalidSettings`] with the file, the setting, its value and the allowed ones.
    pub fn load(path: &Path) -> Result<Self> {
        let at = |e: Error| e.at(path.display());
        let text = std::fs::read_to_string(path)
            .map_err(|e| Error::new(ErrorKind::InvalidSettings, e.to_string()).at(path.display()))?;
        Self::parse(&text).map_err(at)
    }

    /// Parses and validates the text of a settings file.
    ///
    /// ```
    /// use burdock_node::settings::InstanceSettings;
    /// let err = InstanceSettings::parse(r#"{ "instnce": "riga-1" }"#).unwrap_err();
    /// assert!(err.to_string().contains("did you mean `instance`"), "{err}");
    /// ```
    ///
    /// # Errors
    /// [`ErrorKind::InvalidSettings`] with the setting, its value and the allowed ones.
    pub fn parse(text: &str) -> Result<Self> {
        let value = jsonc::parse(text, ErrorKind::InvalidSettings)?;
        let settings: Self = jsonc::from_value(&value, ErrorKind::InvalidSettings)?;
        settings.validate()?;
        Ok(settings)
    }

    fn validate(&self) -> Result<()> {
        if self.operators.is_empty() {
            return Err(invalid("operators: no operator is set", "set at least one operator with a token"));
        }
        if let Some((name, _)) = self.operators.iter().find(|(_, token)| token.len() < MIN_TOKEN_BYTES) {
            let hint = format!("use a token of at least {MIN_TOKEN_BYTES} bytes");
            return Err(invalid(&format!("operators.{name}: the token is too short"), &hint));
        }
        let listen = [self.listen.callers, self.listen.peers, self.listen.admin];
        let is_duplicate = |ix: usize| listen[ix].port() != 0 && listen[..ix].contains(&listen[ix]);
        if (1..listen.len()).any(is_duplicate) {
            return Err(invalid(
                "listen: two addresses are equal",
                "use a different address for each of callers, peers and admin",
            ));
        }
        if self.threads.workers == 0 || self.threads.peers == 0 {
            return Err(invalid("threads: a number of threads is 0", "use 1 or more"));
        }
        if self.store.calls_per_second == 0 {
            return Err(invalid("store.calls_per_second: the value is 0", "use 1 or more"));
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

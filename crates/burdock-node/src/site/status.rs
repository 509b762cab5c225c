//! Status of an instance on the platform, for `burdockctl status`.

use serde_json::{Value, json};

use crate::phase::Phase;
use crate::site::{SiteNode, admission, plan};

/// Returns the status of the instance, with the reason if no configuration is in force or the newest one was
/// rejected. Its fields are those of the project's own interface where both have them.
#[must_use]
pub fn status(node: &SiteNode) -> Value {
    let now = node.clock.now();
    let rejected = node.rejected_config.load();
    let view = node.fleet.view();
    json!({
        "instance": node.incarnation.to_string(),
        "region": node.settings.region,
        "zone": node.settings.zone,
        "phase": format!("{:?}", node.phase()),
        "revision": node.config.load().published.version,
        "config_age_s": node.config_age(now).map(|age| age.as_secs_f64()),
        "config_missing": (node.phase() == Phase::Starting).then(|| node.missing_config_reason()),
        "config_rejected": rejected.as_ref().map(|r| json!({
            "revision": r.revision,
            "reason": r.reason.to_string(),
        })),
        "store_age_s": node.mirror.confirmed_at().map(|at| now.since(at).as_secs_f64()),
        "store_position": node.mirror.position().map(|p| json!({ "era": p.era, "revision": p.revision })),
        "in_flight": node.in_flight(),
        "services": admission::pressures(node, now).iter().map(|(name, pressure)| {
            let figures = pressure.figures().map(|(figure, value)| (figure.to_owned(), json!(value)));
            let name = ("name".to_owned(), json!(name));
            Value::Object(figures.into_iter().chain([name]).collect())
        }).collect::<Vec<_>>(),
        "region_plans": plan::status(node),
        "fleet": view.listed.iter().map(|i| json!({
            "instance": i.id,
            "region": i.region,
            "zone": i.zone,
        })).collect::<Vec<_>>(),
    })
}

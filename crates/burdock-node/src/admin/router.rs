//! Routes of the operators' API.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use axum::error_handling::HandleErrorLayer;
use axum::extract::{DefaultBodyLimit, Path, Query, Request, State};
use axum::middleware::{Next, from_fn_with_state};
use axum::response::{IntoResponse, Response};
use axum::routing::{delete, get, post, put};
use axum::{Extension, Json, Router};
use burdock_model::error::{Error, ErrorKind, Result};
use burdock_model::ids::{BackendId, ChangeId, KeyId, OrganisationName, RegionName, ZoneName};
use burdock_model::key::{format_key, hash_secret};
use burdock_model::resolve::{Scope, resolve};
use burdock_model::treepath::{self, Edit, entity_tag};
use burdock_platform::config::write_blob;
use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE, ETAG, IF_MATCH};
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tower::{BoxError, ServiceBuilder};

use crate::admin::change::{ChangeRequest, make_change, preview_change};
use crate::admin::explain::{ExplainQuery, explain};
use crate::admin::{blocks, status};
use crate::node::Node;

/// Maximum number of concurrent requests.
const MAX_CONCURRENT_REQUESTS: usize = 32;

/// Time within which a request must be answered.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum size of a body in bytes, enough for a file of client blocks.
const MAX_BODY_BYTES: usize = 128 << 20;

/// OpenAPI description of the API.
const OPENAPI: &str = include_str!("openapi.json");

type Shared = State<Arc<Node>>;
type Authenticated = Extension<Operator>;

/// Name of an authenticated operator.
#[derive(Clone, Debug)]
pub struct Operator(String);

/// An error that is answered as a problem document.
struct Problem(Error);

impl IntoResponse for Problem {
    fn into_response(self) -> Response {
        let answer = self.0.kind.answer();
        let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let headers = [
            (CONTENT_TYPE, HeaderValue::from_static("application/problem+json")),
            (crate::entry::answer::OUTCOME, HeaderValue::from_static(answer.outcome.as_str())),
        ];
        (status, headers, self.0.problem().to_string()).into_response()
    }
}

impl From<Error> for Problem {
    fn from(e: Error) -> Self {
        Self(e)
    }
}

type ApiResult<T> = std::result::Result<T, Problem>;

#[derive(Debug, Default, Deserialize)]
struct TreeQuery {
    #[serde(default)]
    resolved: bool,
    #[serde(default)]
    dry_run: bool,
}

/// Kind of resource that is drained.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DrainKind {
    /// A backend server.
    Backend,
    /// An availability zone.
    Zone,
    /// A region.
    Region,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct DrainBody {
    kind: DrainKind,
    name: String,
}

/// Creates the router of an instance's API for operators.
pub fn router(node: &Arc<Node>) -> Router {
    // Requests over the limit are refused at once instead of queued.
    let guard = ServiceBuilder::new()
        .layer(HandleErrorLayer::new(async |_: BoxError| Problem(Error::from(ErrorKind::Overloaded))))
        .load_shed()
        .concurrency_limit(MAX_CONCURRENT_REQUESTS)
        .timeout(REQUEST_TIMEOUT);
    Router::new()
        .route("/v1/tree", get(read_root).put(change_root).patch(change_root))
        .route("/v1/tree/", get(read_root).put(change_root).patch(change_root))
        .route("/v1/tree/{*path}", get(read).put(change).patch(change).delete(change))
        .route("/v1/organisations/{organisation}/keys", post(issue_key))
        .route("/v1/organisations/{organisation}/keys/{id}", delete(withdraw_key))
        .route("/v1/drains", post(drain))
        .route("/v1/drains/{kind}/{name}", delete(undrain))
        .route("/v1/blocks", put(put_blocks))
        .route("/v1/status", get(async |State(node): Shared| Json(status::status(&node))))
        .route("/v1/changes/{id}", get(read_change))
        .route("/v1/explain", get(read_explanation))
        .layer(from_fn_with_state(Arc::clone(node), authenticate))
        .route("/v1/openapi.json", get(async || ([(CONTENT_TYPE, "application/json")], OPENAPI)))
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .layer(guard)
        .with_state(Arc::clone(node))
}

async fn authenticate(State(node): Shared, mut req: Request, next: Next) -> Response {
    match find_operator(&node, req.headers()) {
        Some(operator) => {
            req.extensions_mut().insert(operator);
            next.run(req).await
        }
        None => Problem(
            Error::from(ErrorKind::OperatorRefused)
                .hint("send `Authorization: Bearer TOKEN` with a token of `operators`"),
        )
        .into_response(),
    }
}

// Compares every token, so that the duration does not depend on which one matches.
fn find_operator(node: &Node, headers: &HeaderMap) -> Option<Operator> {
    let presented = headers.get(AUTHORIZATION)?.to_str().ok()?.strip_prefix("Bearer ")?;
    let matches = |token: &str| burdock_model::hash::secrets_match(presented, token);
    let names: Vec<&String> =
        node.settings.operators.iter().filter(|(_, token)| matches(token)).map(|(name, _)| name).collect();
    names.first().map(|name| Operator((*name).clone()))
}

async fn read_root(state: Shared, query: Query<TreeQuery>) -> ApiResult<Response> {
    read(state, Path(String::new()), query).await
}

async fn read(
    State(node): Shared,
    Path(path): Path<String>,
    Query(query): Query<TreeQuery>,
) -> ApiResult<Response> {
    if query.resolved {
        return Ok(Json(resolve_level(&node, &path)?).into_response());
    }
    let tree = node.config.tree()?;
    let value = treepath::get(&tree, &path)?;
    let headers = [(ETAG, format!("\"{}\"", entity_tag(value)))];
    Ok((headers, Json(value.clone())).into_response())
}

// Resolves the settings at `organisations/O[/services/S[/routes/R]]`, or the fleet's for an empty path.
fn resolve_level(node: &Node, path: &str) -> Result<Value> {
    let active_config = node.active_config.load();
    let tree = &active_config.snapshot.tree;
    let names: Vec<&str> = path.split('/').filter(|s| !s.is_empty()).collect();
    let (organisation, service, route) = match names[..] {
        [] => (None, None, None),
        ["organisations", o] => (Some(o), None, None),
        ["organisations", o, "services", s] => (Some(o), Some(s), None),
        ["organisations", o, "services", s, "routes", r] => (Some(o), Some(s), Some(r)),
        _ => {
            return Err(Error::new(
                ErrorKind::NoSuchPath,
                format!("`{path}` is not a level that settings are resolved for"),
            )
            .hint("use `organisations/O`, `.../services/S` or `.../routes/R`"));
        }
    };
    if organisation.is_some_and(|o| !tree.organisations.contains_key(o)) {
        return Err(Error::new(ErrorKind::NoSuchPath, format!("nothing at `{path}`")));
    }
    let organisation = organisation.map(OrganisationName::new).transpose()?;
    let service = service.map(burdock_model::ids::ServiceName::new).transpose()?;
    let route = route.map(burdock_model::ids::RouteName::new).transpose()?;
    let scope =
        Scope { organisation: organisation.as_ref(), service: service.as_ref(), route: route.as_ref() };
    serde_json::to_value(resolve(tree, scope)).map_err(|e| Error::new(ErrorKind::Internal, e.to_string()))
}

async fn change_root(
    state: Shared,
    operator: Authenticated,
    query: Query<TreeQuery>,
    method: Method,
    headers: HeaderMap,
    body: Bytes,
) -> ApiResult<Response> {
    change(state, operator, Path(String::new()), query, method, headers, body).await
}

async fn change(
    State(node): Shared,
    Extension(operator): Authenticated,
    Path(path): Path<String>,
    Query(query): Query<TreeQuery>,
    method: Method,
    headers: HeaderMap,
    body: Bytes,
) -> ApiResult<Response> {
    let if_match = headers.get(IF_MATCH).and_then(|v| v.to_str().ok());
    let edit = parse_edit(&method, &body)?;
    let req = ChangeRequest { operator: &operator.0, path: &path, edit, if_match, rebase: false };
    if query.dry_run {
        return Ok(Json(preview_change(&node, &req).await?).into_response());
    }
    Ok(Json(make_change(&node, &req).await?).into_response())
}

fn parse_edit(method: &Method, body: &[u8]) -> Result<Edit> {
    if *method == Method::DELETE {
        return Ok(Edit::Delete);
    }
    let value = serde_json::from_slice(body)
        .map_err(|e| Error::new(ErrorKind::InvalidTree, format!("the body is not JSON: {e}")))?;
    Ok(if *method == Method::PATCH { Edit::Merge(value) } else { Edit::Put(value) })
}

async fn issue_key(
    State(node): Shared,
    Extension(operator): Authenticated,
    Path(organisation): Path<String>,
) -> ApiResult<Response> {
    let organisation = OrganisationName::new(&organisation)?;
    let tree = node.config.tree()?;
    treepath::get(&tree, &format!("organisations/{organisation}"))?;
    let id = KeyId::new(&format!("{:012x}", rand::random::<u64>() >> 16))?;
    let secret: [u8; 32] = rand::random();
    let path = format!("organisations/{organisation}/keys/{id}");
    let value = json!({"hash": hex::encode(hash_secret(&secret))});
    let req = ChangeRequest {
        operator: &operator.0,
        path: &path,
        edit: Edit::Put(value),
        if_match: None,
        rebase: true,
    };
    let accepted = make_change(&node, &req).await?;
    let body = json!({
        "id": id, "key": format_key(&id, &secret), "change": accepted.change, "revision": accepted.revision,
    });
    Ok((StatusCode::CREATED, Json(body)).into_response())
}

async fn withdraw_key(
    State(node): Shared,
    Extension(operator): Authenticated,
    Path((organisation, id)): Path<(String, String)>,
) -> ApiResult<Response> {
    let path = format!("organisations/{organisation}/keys/{id}");
    let req = ChangeRequest {
        operator: &operator.0,
        path: &path,
        edit: Edit::Delete,
        if_match: None,
        rebase: true,
    };
    Ok(Json(make_change(&node, &req).await?).into_response())
}

async fn drain(
    State(node): Shared,
    Extension(operator): Authenticated,
    Json(body): Json<DrainBody>,
) -> ApiResult<Response> {
    set_drain(&node, &operator, body.kind, &body.name, true).await
}

async fn undrain(
    State(node): Shared,
    Extension(operator): Authenticated,
    Path((kind, name)): Path<(DrainKind, String)>,
) -> ApiResult<Response> {
    set_drain(&node, &operator, kind, &name, false).await
}

async fn set_drain(
    node: &Arc<Node>,
    operator: &Operator,
    kind: DrainKind,
    name: &str,
    is_drained: bool,
) -> ApiResult<Response> {
    let path = match kind {
        DrainKind::Backend => "drains/backends",
        DrainKind::Zone => "drains/zones",
        DrainKind::Region => "drains/regions",
    };
    check_drain(node, kind, name)?;
    let tree = node.config.tree()?;
    let present = treepath::get(&tree, path).ok().and_then(Value::as_array).cloned().unwrap_or_default();
    let mut list: Vec<Value> = present.iter().filter(|v| v.as_str() != Some(name)).cloned().collect();
    if is_drained {
        list.push(json!(name));
    }
    // The tag ensures that a concurrent drain in the same list is not overwritten.
    let tag = treepath::get(&tree, path).map(entity_tag).ok();
    let req = ChangeRequest {
        operator: &operator.0,
        path,
        edit: Edit::Put(json!(list)),
        if_match: tag.as_deref(),
        rebase: false,
    };
    Ok(Json(make_change(node, &req).await?).into_response())
}

fn check_drain(node: &Node, kind: DrainKind, name: &str) -> Result<()> {
    let active_config = node.active_config.load();
    let mut backends = active_config.snapshot.services.iter().flat_map(|s| &s.backends);
    let exists = match kind {
        DrainKind::Backend => BackendId::new(name).is_ok_and(|id| backends.any(|b| b.id == id)),
        DrainKind::Zone => ZoneName::new(name).is_ok_and(|zone| backends.any(|b| b.zone == zone)),
        DrainKind::Region => RegionName::new(name).is_ok_and(|region| backends.any(|b| b.region == region)),
    };
    if exists {
        return Ok(());
    }
    Err(Error::new(ErrorKind::NoSuchPath, format!("no backend server has the id, zone or region `{name}`")))
}

async fn put_blocks(
    State(node): Shared,
    Extension(operator): Authenticated,
    body: String,
) -> ApiResult<Response> {
    let chunks = tokio::task::spawn_blocking(move || blocks::split_into_chunks(&body)).await;
    let chunks = chunks.map_err(|e| Error::new(ErrorKind::Internal, e.to_string()))??;
    let stored_blobs: HashMap<String, String> = node.config.head().head.manifest.into_iter().collect();
    let mut names = Vec::new();
    for chunk in &chunks {
        let name = burdock_model::hash::sha256_hex(chunk.as_bytes());
        if !stored_blobs.values().any(|stored| *stored == name) {
            write_blob(&node.store, chunk).await?;
        }
        names.push(name);
    }
    let req = ChangeRequest {
        operator: &operator.0,
        path: "blocks",
        edit: Edit::Put(json!(names)),
        if_match: None,
        rebase: false,
    };
    Ok(Json(make_change(&node, &req).await?).into_response())
}

async fn read_change(State(node): Shared, Path(id): Path<String>) -> ApiResult<Json<Value>> {
    Ok(Json(status::change(&node, &ChangeId::new(&id)?)?))
}

async fn read_explanation(State(node): Shared, Query(query): Query<ExplainQuery>) -> ApiResult<Json<Value>> {
    Ok(Json(explain(&node.active_config.load(), &query)?))
}

//! Asking another holder for tokens.

use std::sync::Arc;
use std::time::Duration;

use burdock_decide::limit::{choose_lender, tokens_to_request};
use burdock_decide::time::Time;
use burdock_model::error::{Error, ErrorKind, Result};
use burdock_model::ids::OrganisationName;
use burdock_wire::messages::{Loan, PeerAddress};

use crate::limits::Limits;
use crate::node::Node;
use crate::observe::counters::Counter;

/// Holders asked for one request.
const MAX_ASKED: usize = 3;

/// The longest wait for a holder in the own region.
const LOCAL_LIMIT: Duration = Duration::from_millis(50);

/// The longest wait for a holder elsewhere.
const REMOTE_LIMIT: Duration = Duration::from_millis(400);

/// Takes a token for a request: of the own share, or of another holder's.
///
/// # Errors
/// [`ErrorKind::OverRate`] when none is to be had.
pub async fn admit(node: &Arc<Node>, organisation: &OrganisationName, deadline: Time) -> Result<()> {
    if node.limits.take(organisation, node.clock.now()) {
        return Ok(());
    }
    let mut tried = Vec::new();
    while tried.len() < MAX_ASKED && node.clock.now() < deadline {
        let Some((ix, peer, local, wanted)) = node.limits.lender(organisation, &tried, node.clock.now())
        else {
            break;
        };
        tried.push(ix);
        if ask(node, organisation, &peer, local, wanted).await
            && node.limits.take(organisation, node.clock.now())
        {
            return Ok(());
        }
    }
    node.counters.add(Counter::OverRate);
    Err(over_rate(node, organisation))
}

async fn ask(
    node: &Arc<Node>,
    organisation: &OrganisationName,
    peer: &PeerAddress,
    local: bool,
    wanted: u32,
) -> bool {
    node.counters.add(Counter::LoansRequested);
    let limit = if local { LOCAL_LIMIT } else { REMOTE_LIMIT };
    let loan = node.peers.borrow_tokens(peer, organisation.as_str().to_owned(), wanted, limit).await;
    // Without an answer the holder counts as empty for a moment; what it may have given is lost.
    let loan = loan.unwrap_or(Loan { is_refused: true, ..Loan::default() });
    node.counters.add_many(Counter::TokensBorrowed, u64::from(loan.granted));
    node.limits.borrowed(organisation, peer, &loan, node.clock.now());
    loan.granted > 0
}

fn over_rate(node: &Node, organisation: &OrganisationName) -> Error {
    let wait = node.limits.next_token_ms(organisation, node.clock.now());
    let hint = wait.map_or_else(
        || "raise the organisation's rate or send less".to_owned(),
        |ms| format!("wait {ms} ms, or raise the organisation's rate"),
    );
    Error::new(ErrorKind::OverRate, format!("`{organisation}` is over its rate")).hint(hint)
}

impl Limits {
    // The lender to ask next: its index, address, whether it is local, and how much to ask for.
    fn lender(
        &self,
        organisation: &OrganisationName,
        tried: &[usize],
        now: Time,
    ) -> Option<(usize, PeerAddress, bool, u32)> {
        self.with(organisation, now, |limit| {
            let lenders: Vec<_> = limit.lenders.iter().map(|(_, l)| *l).collect();
            let ix = choose_lender(&lenders, tried, now)?;
            let (peer, lender) = &limit.lenders[ix];
            Some((ix, peer.clone(), lender.local, tokens_to_request(limit.window.last_second)))
        })
    }

    fn borrowed(&self, organisation: &OrganisationName, peer: &PeerAddress, loan: &Loan, now: Time) {
        self.with(organisation, now, |limit| {
            limit.bucket.borrow(loan.granted, now);
            if let Some((_, lender)) = limit.lenders.iter_mut().find(|(p, _)| p == peer) {
                lender.remaining_tokens = Some(loan.remaining);
                lender.asked_at = now;
            }
        });
    }
}

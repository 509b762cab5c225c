//! Admission of a request by the organisation's rate, with loans of tokens from other share holders.

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

/// Maximum number of holders asked for a loan on behalf of one request.
const MAX_LENDERS: usize = 3;

/// Timeout of a loan request to a holder in the local region.
const LOCAL_TIMEOUT: Duration = Duration::from_millis(50);

/// Timeout of a loan request to a holder in another region.
const REMOTE_TIMEOUT: Duration = Duration::from_millis(400);

/// Takes a token for a request from this instance's own share, or else borrows from another holder.
///
/// # Errors
/// [`ErrorKind::OverRate`] if neither has a token.
pub async fn acquire_token(node: &Arc<Node>, organisation: &OrganisationName, deadline: Time) -> Result<()> {
    if node.limits.take_token(organisation, node.clock.now()) {
        return Ok(());
    }
    let mut tried = Vec::new();
    while tried.len() < MAX_LENDERS && node.clock.now() < deadline {
        let Some((ix, peer, local, wanted)) = node.limits.next_lender(organisation, &tried, node.clock.now())
        else {
            break;
        };
        tried.push(ix);
        if request_loan(node, organisation, &peer, local, wanted).await
            && node.limits.take_token(organisation, node.clock.now())
        {
            return Ok(());
        }
    }
    node.counters.add(Counter::OverRate);
    Err(over_rate(node, organisation))
}

async fn request_loan(
    node: &Arc<Node>,
    organisation: &OrganisationName,
    peer: &PeerAddress,
    local: bool,
    wanted: u32,
) -> bool {
    node.counters.add(Counter::LoansRequested);
    let timeout = if local { LOCAL_TIMEOUT } else { REMOTE_TIMEOUT };
    let loan = node.peers.borrow_tokens(peer, organisation.as_str().to_owned(), wanted, timeout).await;
    // A holder that does not answer counts as empty for a short time; tokens that it may have lent are lost.
    let loan = loan.unwrap_or(Loan { is_refused: true, ..Loan::default() });
    node.counters.add_many(Counter::TokensBorrowed, u64::from(loan.granted));
    node.limits.record_loan(organisation, peer, &loan, node.clock.now());
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
    // The lender to ask next: its index, address, whether it is local, and the number of tokens to ask for.
    fn next_lender(
        &self,
        organisation: &OrganisationName,
        tried: &[usize],
        now: Time,
    ) -> Option<(usize, PeerAddress, bool, u32)> {
        self.with(organisation, now, |limit| {
            let lenders: Vec<_> = limit.lenders.iter().map(|(_, l)| *l).collect();
            let ix = choose_lender(&lenders, tried, now)?;
            let (peer, lender) = &limit.lenders[ix];
            Some((ix, peer.clone(), lender.local, tokens_to_request(limit.window.last_second_count)))
        })
    }

    fn record_loan(&self, organisation: &OrganisationName, peer: &PeerAddress, loan: &Loan, now: Time) {
        self.with(organisation, now, |limit| {
            limit.bucket.borrow(loan.granted, now);
            if let Some((_, lender)) = limit.lenders.iter_mut().find(|(p, _)| p == peer) {
                lender.remaining_tokens = Some(loan.remaining);
                lender.asked_at = now;
            }
        });
    }
}

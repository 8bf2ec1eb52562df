//! A request's way through one attempt or several.

use std::sync::Arc;

use cactuswheel_model::{Code, Ran, Refusal};
use cactuswheel_routing::{Exchange, Upstream};
use hyper::body::Incoming;
use hyper::{Request, Response};
use tokio::time::Instant;

use super::attempt::{self, Failure};
use super::conns::Conns;
use super::held::Permit;
use super::job::Job;
use super::lines::{Grant, enter};
use super::live::Live;
use super::payload::Payload;
use super::request::check_key;
use super::slot::Slot;

/// What is known of a request while it is being sent.
#[derive(Debug)]
pub(super) struct Forward {
    job: Job,
    exchange: Exchange,
    /// The slot for the first attempt.
    first: Option<Slot>,
    /// Upstreams that failed.
    tried: Vec<Arc<Upstream<Conns>>>,
    /// Why the last attempt failed.
    last: Option<Refusal>,
}

impl Forward {
    /// A request that was not sent yet.
    pub(super) fn new(job: Job, first: Slot) -> Self {
        Self {
            exchange: Exchange::new(job.idempotent, job.deadline),
            job,
            first: Some(first),
            tried: Vec::new(),
            last: None,
        }
    }

    /// Sends the request until an answer comes or nothing more may be tried; the head of the
    /// answer, its body to follow.
    pub(super) async fn send(
        mut self,
        permit: Permit,
        request: Request<Payload>,
    ) -> Result<(Response<Incoming>, Live), Refusal> {
        let done = self.try_all(permit, request).await;
        done.map_err(|refusal| self.honest(refusal))
    }

    async fn try_all(
        &mut self,
        mut permit: Permit,
        mut request: Request<Payload>,
    ) -> Result<(Response<Incoming>, Live), Refusal> {
        loop {
            let (unit, lease) = self.place(permit).await?;
            let upstream = lease.upstream().clone();
            self.job.address(&mut request, upstream.addr)?;
            let copy = copy(&request);
            self.exchange.start_attempt();
            self.job.progress.hand_over();
            let until = Instant::now() + self.job.left();
            match attempt::send(&self.job.shared, request, unit, lease, until).await {
                Ok(answered) => return Ok(answered),
                Err(failure) => (permit, request) = self.again(failure, copy).await?,
            }
            self.tried.push(upstream);
        }
    }

    /// A slot, with the unit for it; waits its turn again while the upstreams are merely full.
    async fn place(&mut self, permit: Permit) -> Result<(Permit, Slot), Refusal> {
        if let Some(slot) = self.first.take() {
            slot.budget().deposit();
            return Ok((permit, slot));
        }
        let refusal = match self.pick() {
            Ok(slot) => return Ok((permit, slot)),
            Err(refusal) => refusal,
        };
        let full = self.last.as_ref().is_some_and(|r| r.code == Code::Declined);
        if !full || !self.is_usable() {
            return Err(self.last.take().unwrap_or(refusal));
        }
        // Whoever waits has nothing running: the unit is there for the team's other requests.
        drop(permit);
        // What was full may have a slot again.
        self.tried.clear();
        let Grant { permit, slot } = enter(&self.job).await?;
        check_key(&self.job)?;
        Ok((permit, slot))
    }

    /// Whether the pool has an upstream that could take a request, were it not full.
    fn is_usable(&self) -> bool {
        let shared = &self.job.shared;
        let routes = shared.routes.load();
        routes.usable(&self.job.service.pool, shared.now()) > 0
    }

    fn pick(&self) -> Result<Slot, Refusal> {
        let routes = self.job.shared.routes.load();
        let pool = &self.job.service.pool;
        let (now, draw) = (self.job.shared.now(), rand::random());
        let lease = routes.pick(pool, &self.tried, now, draw)?;
        Ok(Slot::new(lease, self.job.shared.clone()))
    }

    /// What another attempt needs, if there may be one.
    async fn again(
        &mut self,
        failure: Failure,
        copy: Option<Request<Payload>>,
    ) -> Result<(Permit, Request<Payload>), Refusal> {
        let code = failure.refusal.code;
        if self.exchange.ran(failure.ran) == Ran::NotRun {
            self.job.progress.take_back();
        }
        let request = failure.request.map(|r| *r).or(copy);
        if !self.may_retry(code, failure.ran, request.is_some()) {
            return Err(failure.refusal);
        }
        let Some(request) = request else {
            return Err(failure.refusal);
        };
        // An attempt that may still be running keeps its unit; another attempt beside it needs
        // one more, or the team would have more running than its limit.
        let permit = match failure.permit {
            Some(permit) => *permit,
            None => match Permit::another(&self.job.shared, &self.job.team.id) {
                Ok(permit) => permit,
                Err(_) => return Err(failure.refusal),
            },
        };
        self.job.shared.metrics.requests.retried();
        self.last = Some(failure.refusal);
        Ok((permit, request))
    }

    fn may_retry(&mut self, code: Code, ran: Ran, whole: bool) -> bool {
        let shared = &self.job.shared;
        if code == Code::Declined {
            return self.exchange.retry_after_decline(whole, shared.now());
        }
        let routes = shared.routes.load();
        let Some(budget) = routes.budget(&self.job.service.pool) else {
            return false;
        };
        self.exchange
            .retry_after_failure(ran, whole, shared.now(), budget)
    }

    /// The refusal, not claiming more than all attempts together prove.
    fn honest(&self, refusal: Refusal) -> Refusal {
        let ran = refusal.code.ran();
        if self.exchange.ran(ran) == ran {
            return refusal;
        }
        Refusal {
            code: Code::Lost,
            retry: None,
            ..refusal
        }
    }
}

/// The same request for another attempt, if its body is at hand.
fn copy(request: &Request<Payload>) -> Option<Request<Payload>> {
    let mut copy = Request::new(request.body().again()?);
    *copy.method_mut() = request.method().clone();
    *copy.uri_mut() = request.uri().clone();
    *copy.headers_mut() = request.headers().clone();
    Some(copy)
}
